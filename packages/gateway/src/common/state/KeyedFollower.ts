/**
 * Follows one keyed topic of the platform: a snapshot first, then long polls from its end, and a
 * snapshot again when the records in between have expired. Every call has a time limit of its own,
 * since a connection may go silent for good.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  type Metrics,
  type RandomSource,
  type ServiceError,
} from '@tanagerdyke/kernel';
import type { KeyedTopic } from '../services/Services.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedTable } from './KeyedTable.js';

/** Short calls answer in a few ms; a lost one must not hold up a start. */
const SNAPSHOT_TIMEOUT_MS = 800;
/** Long enough to be cheap, short enough that a silent connection is replaced within seconds. */
const POLL_WAIT_MS = 3_000;
/** Time beyond the wait that an answer may take. */
const POLL_MARGIN_MS = 1_000;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** How often a node that does not poll looks whether it should; a fifth of a poller's silence. */
const IDLE_MS = 500;
const READ_TIMEOUT_MS = 800;

/** What a follower needs. */
export interface FollowerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly topic: KeyedTopic;
  readonly table: KeyedTable;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  /** Whether this node polls for changes, or leaves that to others. */
  readonly isPolling: () => boolean;
}

/** The follower of one topic. */
export class KeyedFollower extends DisposableOwner {
  private _answeredAt = Number.NEGATIVE_INFINITY;
  private _failedAt = Number.NEGATIVE_INFINITY;
  private _failures = 0;

  constructor(private readonly _options: FollowerOptions) {
    super();
  }

  /** Name of the topic. */
  public get name(): string {
    return this._options.topic.name;
  }

  /** When the platform last answered, on this node's clock. */
  public get answeredAt(): number {
    return this._answeredAt;
  }

  /** When a call to the platform last failed. */
  public get failedAt(): number {
    return this._failedAt;
  }

  public start(): void {
    void this._run();
  }

  private async _run(): Promise<void> {
    const { clock, random } = this._options;
    const { disposal: signal } = this;
    let needsSnapshot = true;
    while (!signal.aborted) {
      if (!needsSnapshot && !this._options.isPolling()) {
        await clock.sleep(IDLE_MS, signal);
        continue;
      }
      const outcome = needsSnapshot ? await this._takeSnapshot() : await this._poll();
      if (outcome === undefined) {
        this._noteAnswer();
        needsSnapshot = false;
        continue;
      }
      if (outcome.kind === ErrorKind.RecordsExpired) {
        needsSnapshot = true;
        continue;
      }
      this._noteFailure(outcome);
      const limitMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(this._failures, 8));
      await clock.sleep(limitMs * (0.5 + random.next() / 2), signal);
    }
  }

  private async _takeSnapshot(): Promise<ServiceError | undefined> {
    const { table, topic } = this._options;
    const answer = await topic.newest(SNAPSHOT_TIMEOUT_MS);
    this._count('newest', answer.isOk);
    if (answer.isErr) {
      return answer.error;
    }
    table.replace(answer.value);
    return undefined;
  }

  /** Reads what the platform has beyond the table's end, without waiting. */
  public async catchUp(): Promise<void> {
    const error = await this._read(0, READ_TIMEOUT_MS);
    if (error !== undefined && error.kind !== ErrorKind.RecordsExpired) {
      this._noteFailure(error);
    }
  }

  private _poll(): Promise<ServiceError | undefined> {
    return this._read(POLL_WAIT_MS, POLL_WAIT_MS + POLL_MARGIN_MS);
  }

  private async _read(waitMs: number, timeoutMs: number): Promise<ServiceError | undefined> {
    const { table, topic } = this._options;
    const answer = await topic.read(table.end, waitMs, timeoutMs);
    this._count('read', answer.isOk);
    if (answer.isErr) {
      return answer.error;
    }
    table.apply(answer.value.records, answer.value.end);
    return undefined;
  }

  private _count(call: string, isAnswered: boolean): void {
    const outcome = isAnswered ? 'answered' : 'failed';
    this._options.metrics.increment('tanager_platform_calls_total', { call, outcome });
  }

  private _noteAnswer(): void {
    const { clock, log, table } = this._options;
    this._answeredAt = clock.now();
    if (this._failures > 0) {
      const lostMs = Math.round(clock.now() - this._failedAt);
      log.note('platform.regained', { topic: table.name, failures: this._failures, lostMs });
    }
    this._failures = 0;
  }

  private _noteFailure(error: ServiceError): void {
    const { clock, log, table } = this._options;
    this._failures++;
    this._failedAt = clock.now();
    if (this._failures === 1) {
      log.note('platform.lost', { topic: table.name, end: table.end, cause: error.message });
    }
  }
}
