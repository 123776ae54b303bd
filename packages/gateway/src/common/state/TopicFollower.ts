/**
 * Follows one keyed topic of the platform: loads a snapshot, then long-polls from its end offset,
 * and loads a new snapshot when records expired before they were read, or when the log was restored
 * from an older copy. Every call has its own timeout, since a connection may stop responding without
 * being closed.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  type Metrics,
  type RandomSource,
  ServiceError,
} from '@tanagerdyke/kernel';
import type { KeyedPage, KeyedRecord, KeyedTopic } from '../services/Services.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedTable } from './KeyedTable.js';

/** Snapshots usually begin within a few ms; a lost call must not delay the start of a node. */
const SNAPSHOT_TIMEOUT_MS = 800;
/** Long, to keep calls few, but a silent connection must be replaced within 2.5 s. */
const POLL_WAIT_MS = 1_200;
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
/** Failed calls in a row after which the time limit of a snapshot is not raised any more. */
const MAX_TIMEOUT_DOUBLINGS = 2;
/** Bytes of a snapshot for each byte of its values. */
const SNAPSHOT_EXPANSION = 4 / 3;

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

/** Records that a call to the platform returned. */
interface ReadSummary {
  /** End offset of the table before. */
  readonly after: number;
  readonly end: number;
  readonly records: readonly KeyedRecord[];
  readonly startedAt: number;
}

/** Keeps a table up to date with a topic, and records when the platform responded or failed. */
export class TopicFollower extends DisposableOwner {
  private _lastResponseAt = Number.NEGATIVE_INFINITY;
  private _lastFailureAt = Number.NEGATIVE_INFINITY;
  private _failures = 0;
  /** Whether the newest records are shorter than those that were not read yet. */
  private _isFarBehind = false;
  /** Calls in a row that failed since the platform no longer holds the records. */
  private _expirations = 0;

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
        needsSnapshot = this._isFarBehind;
        continue;
      }
      if (error.kind === ErrorKind.RecordsExpired) {
        needsSnapshot = true;
        this._expirations++;
        // A snapshot is of no use if the records after it are not there either.
        if (this._expirations > 1) {
          await clock.sleep(retryDelayMs(this._expirations, MAX_RETRY_MS, random), signal);
        }
        continue;
      }
      this._recordFailure(error);
      const isSubstitute = !needsSnapshot && !this._options.isAppointedPoller();
      const maxRetryMs = isSubstitute ? MAX_SUBSTITUTE_RETRY_MS : MAX_RETRY_MS;
      await clock.sleep(retryDelayMs(this._failures, maxRetryMs, random), signal);
    }
  }

  private async _loadSnapshot(): Promise<ServiceError | undefined> {
    const { table, topic } = this._options;
    const { clock } = this._options;
    const startedAt = clock.now();
    // An answer that is slow to begin for many nodes at once must not be asked for again and again.
    const doublings = Math.min(this._failures, MAX_TIMEOUT_DOUBLINGS);
    const snapshot = await topic.readSnapshot(SNAPSHOT_TIMEOUT_MS * 2 ** doublings);
    this._isFarBehind = false;
    this._countCall('newest', snapshot.isOk, clock.now() - startedAt);
    if (snapshot.isErr) {
      return snapshot.error;
    }
    const { end, records } = snapshot.value;
    this._logRead('newest', { after: table.end, end, records, startedAt });
    return table.applySnapshot(snapshot.value) ? undefined : restoredError(table.name);
  }

  /**
   * Reads the records beyond the table's end offset, without waiting for new ones. Returns whether
   * the platform answered.
   */
  public async catchUp(): Promise<boolean> {
    let error = await this._readRecords(0, READ_TIMEOUT_MS);
    if (error?.kind === ErrorKind.RecordsExpired || this._isFarBehind) {
      error = await this._loadSnapshot();
    }
    if (error !== undefined && error.kind !== ErrorKind.RecordsExpired) {
      this._recordFailure(error);
    }
    return error === undefined;
  }

  private _poll(): Promise<ServiceError | undefined> {
    return this._readRecords(POLL_WAIT_MS, POLL_WAIT_MS + POLL_MARGIN_MS);
  }

  private async _readRecords(waitMs: number, timeoutMs: number): Promise<ServiceError | undefined> {
    const { table, topic } = this._options;
    const { end: from, epoch: epochBefore } = table;
    const { clock } = this._options;
    const startedAt = clock.now();
    const page = await topic.read(from, waitMs, timeoutMs);
    this._countCall('read', page.isOk, clock.now() - startedAt - waitMs);
    if (page.isErr) {
      return page.error;
    }
    const { end, epoch = epochBefore, records } = page.value;
    this._logRead('read', { after: from, end, records, startedAt });
    if (epoch > table.epoch) {
      return restoredError(table.name);
    }
    this._expirations = 0;
    // Otherwise the records begin at an offset of another epoch.
    if (epoch === epochBefore) {
      table.apply(records, end, epoch);
      this._isFarBehind = this._isSnapshotShorter(page.value);
    }
    return undefined;
  }

  /** Whether a snapshot has fewer bytes than the records after a page, if they are as long. */
  private _isSnapshotShorter({ end, logEnd, records }: KeyedPage): boolean {
    const bytesAfter = (bytesOf(records) / records.length) * (logEnd - end);
    return bytesAfter > bytesOf(this._options.table.records) * SNAPSHOT_EXPANSION;
  }

  /** Logs a call that brought records. `tookMs` includes the wait for the first one. */
  private _logRead(call: string, { after, end, records, startedAt }: ReadSummary): void {
    const { clock, log, table } = this._options;
    if (records.length > 0) {
      const bytes = bytesOf(records);
      const tookMs = Math.round(clock.now() - startedAt);
      const topic = table.name;
      log.write('platform.read', {
        topic,
        call,
        after,
        end,
        records: records.length,
        bytes,
        tookMs,
      });
    }
  }

  /** Counts a call. `lateMs` is how much longer than the requested wait it took. */
  private _countCall(call: string, isAnswered: boolean, lateMs: number): void {
    const outcome = isAnswered ? 'answered' : 'failed';
    const { metrics } = this._options;
    metrics.increment('tanager_platform_calls_total', { call, outcome });
    metrics.observe('tanager_platform_late_ms', lateMs, { call, outcome });
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

function bytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

function retryDelayMs(failures: number, maxDelayMs: number, random: RandomSource): number {
  const delayMs = Math.min(maxDelayMs, FIRST_RETRY_MS * 2 ** Math.min(failures, 8));
  return delayMs * (0.5 + random.next() / 2);
}

function restoredError(topic: string): ServiceError {
  return new ServiceError(
    ErrorKind.RecordsExpired,
    `the log of '${topic}' was restored from an older copy`,
    { remedy: 'none needed; the newest record of each key is read again' },
  );
}
