/**
 * Follows one keyed topic of the platform: loads a snapshot, then long-polls from its end offset,
 * and loads a new snapshot when records expired before they were read. Every call has its own
 * timeout, since a connection may stop responding without being closed.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  type Metrics,
  type RandomSource,
  type ServiceError,
} from '@tanagerdyke/kernel';
import type { KeyedPage, KeyedSnapshot, KeyedTopic } from '../services/Services.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedTable } from './KeyedTable.js';

/** Snapshots usually arrive within a few ms; a lost call must not delay the start of a node. */
const SNAPSHOT_TIMEOUT_MS = 800;
/** Long, to keep calls few, but an unresponsive connection must be replaced within seconds. */
const POLL_WAIT_MS = 3_000;
/** Time that the response to a poll may take beyond the requested wait. */
const POLL_MARGIN_MS = 1_000;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Applies to a node that polls only while no poller is connected; it receives records from peers. */
const MAX_SUBSTITUTE_RETRY_MS = 3_000;
/**
 * How often a node that does not poll checks whether it should: a fifth of the time after which the
 * pollers of its zone count as disconnected.
 */
const POLLING_CHECK_INTERVAL_MS = 500;
const READ_TIMEOUT_MS = 800;

export interface TopicFollowerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly topic: KeyedTopic;
  readonly table: KeyedTable;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  /** Whether this node polls for changes; otherwise it relies on peers after the first snapshot. */
  readonly shouldPoll: () => boolean;
  /** Whether other nodes rely on this one to poll. */
  readonly isAppointedPoller: () => boolean;
}

/** Keeps a table up to date with a topic, and records when the platform responded or failed. */
export class TopicFollower extends DisposableOwner {
  private _lastResponseAt = Number.NEGATIVE_INFINITY;
  private _lastFailureAt = Number.NEGATIVE_INFINITY;
  private _failures = 0;
  private _epoch: number | undefined;

  constructor(private readonly _options: TopicFollowerOptions) {
    super();
  }

  /** Name of the topic. */
  public get name(): string {
    return this._options.topic.name;
  }

  /** When the platform last responded, on this node's clock. */
  public get lastResponseAt(): number {
    return this._lastResponseAt;
  }

  /** When a call to the platform last failed, on this node's clock. */
  public get lastFailureAt(): number {
    return this._lastFailureAt;
  }

  public start(): void {
    void this._run();
  }

  private async _run(): Promise<void> {
    const { clock, random } = this._options;
    const { disposalSignal: signal } = this;
    let needsSnapshot = true;
    while (!signal.aborted) {
      if (!needsSnapshot && !this._options.shouldPoll()) {
        await clock.sleep(POLLING_CHECK_INTERVAL_MS, signal);
        continue;
      }
      const error = needsSnapshot ? await this._loadSnapshot() : await this._poll();
      if (error === undefined) {
        this._recordSuccess();
        needsSnapshot = false;
        continue;
      }
      if (error.kind === ErrorKind.RecordsExpired) {
        needsSnapshot = true;
        continue;
      }
      this._recordFailure(error);
      const isSubstitute = !needsSnapshot && !this._options.isAppointedPoller();
      const maxRetryMs = isSubstitute ? MAX_SUBSTITUTE_RETRY_MS : MAX_RETRY_MS;
      const maxDelayMs = Math.min(maxRetryMs, FIRST_RETRY_MS * 2 ** Math.min(this._failures, 8));
      await clock.sleep(maxDelayMs * (0.5 + random.next() / 2), signal);
    }
  }

  private async _loadSnapshot(): Promise<ServiceError | undefined> {
    const { table, topic } = this._options;
    const snapshot = await topic.readSnapshot(SNAPSHOT_TIMEOUT_MS);
    this._countCall('newest', snapshot.isOk);
    if (snapshot.isErr) {
      return snapshot.error;
    }
    this._recordEpoch(snapshot.value);
    table.applySnapshot(snapshot.value);
    return undefined;
  }

  /** Reads the records beyond the table's end offset, without waiting for new ones. */
  public async catchUp(): Promise<void> {
    const error = await this._readRecords(0, READ_TIMEOUT_MS);
    if (error !== undefined && error.kind !== ErrorKind.RecordsExpired) {
      this._recordFailure(error);
    }
  }

  private _poll(): Promise<ServiceError | undefined> {
    return this._readRecords(POLL_WAIT_MS, POLL_WAIT_MS + POLL_MARGIN_MS);
  }

  private async _readRecords(waitMs: number, timeoutMs: number): Promise<ServiceError | undefined> {
    const { table, topic } = this._options;
    const page = await topic.read(table.end, waitMs, timeoutMs);
    this._countCall('read', page.isOk);
    if (page.isErr) {
      return page.error;
    }
    this._recordEpoch(page.value);
    table.apply(page.value.records, page.value.end);
    return undefined;
  }

  private _recordEpoch({ end, epoch }: KeyedSnapshot | KeyedPage): void {
    if (epoch !== undefined && epoch !== this._epoch) {
      const { log, table } = this._options;
      const { end: tableEnd, name: topic } = table;
      log.write('platform.epoch', { topic, epoch, before: this._epoch, end, tableEnd });
      this._epoch = epoch;
    }
  }

  private _countCall(call: string, isAnswered: boolean): void {
    const outcome = isAnswered ? 'answered' : 'failed';
    this._options.metrics.increment('tanager_platform_calls_total', { call, outcome });
  }

  private _recordSuccess(): void {
    const { clock, log, table } = this._options;
    this._lastResponseAt = clock.now();
    if (this._failures > 0) {
      const lostMs = Math.round(clock.now() - this._lastFailureAt);
      log.write('platform.regained', { topic: table.name, failures: this._failures, lostMs });
    }
    this._failures = 0;
  }

  private _recordFailure(error: ServiceError): void {
    const { clock, log, table } = this._options;
    this._failures++;
    this._lastFailureAt = clock.now();
    if (this._failures === 1) {
      log.write('platform.lost', { topic: table.name, end: table.end, cause: error.message });
    }
  }
}
