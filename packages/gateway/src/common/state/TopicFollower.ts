/**
 * Follows one keyed topic of the platform: loads a snapshot, then long-polls from its end offset,
 * and loads a new snapshot when records expired before they were read, or when the log was restored
 * from an older copy. Every call is repeated when its answer is late, since a connection may stop
 * responding without being closed; the late answer counts as well if it arrives. While nothing is
 * answered, short reads are repeated at an interval that the callers' bound on a change allows.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  keepRunning,
  type Metrics,
  type RandomSource,
  ServiceError,
} from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { CallAttempt, KeyedPage, KeyedRecord, KeyedTopic } from '../services/Services.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedTable } from './KeyedTable.js';
import { CallPace, type RequestedWait } from './CallPace.js';
import { OPEN_CALL_TIMEOUT_MS, OpenCalls } from './OpenCalls.js';

/** Snapshots usually begin within a few ms; a lost call must not delay the start of a node. */
const SNAPSHOT_MARGIN_MS = 800;
/** Long, to keep calls few, but a silent connection must be replaced within 2.5 s. */
const POLL_WAIT_MS = 1_200;
/** Time beyond the requested wait after which a poll is repeated. */
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
const READ_MARGIN_MS = 800;
/** Failures in a row after which the time until a call is repeated is not raised any more. */
const MAX_TIMEOUT_DOUBLINGS = 2;
/**
 * Longest time between two probes of a poller while the platform does not answer. It bounds how long
 * all nodes go on without the newest records after its return.
 */
const PROBE_INTERVAL_MS = 800;
/**
 * A node whose poll was answered this recently before an outage probes like a poller: the appointed
 * ones may have got no answers before. Longer than a late poll takes.
 */
const RECENT_POLL_MS = 6_000;
/** Share of it by which an interval may be shorter, so that the pollers probe at different times. */
const PROBE_JITTER = 0.4;
/** Limit of the pages that are read for removals after a restore. */
const MAX_TAIL_PAGES = 20;
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

/** What became of a call to the platform. */
enum Outcome {
  Answered = 'answered',
  Failed = 'failed',
  /** Another call for the same was answered first. */
  Superseded = 'superseded',
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
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _lastFailureAt = Number.NEGATIVE_INFINITY;
  private _lastPollAt = Number.NEGATIVE_INFINITY;
  /** Whether a poll of this node was answered shortly before the platform was lost. */
  private _wasPoller = false;
  private _failures = 0;
  private _needsSnapshot = true;
  /** Snapshots that were asked for since the last one was loaded. */
  private _lateSnapshots = 0;
  /** How long the call that was answered last had been open, in ms. */
  private _answeredMs = 0;
  private readonly _pace: CallPace;
  private readonly _snapshots: OpenCalls<void>;
  /** Calls that return whether there were records. */
  private readonly _polls: OpenCalls<boolean>;
  private readonly _catchUps: OpenCalls<void>;
  /** Whether the newest records are shorter than those that were not read yet. */
  private _isFarBehind = false;
  /** Calls in a row that failed since the platform no longer holds the records. */
  private _expirations = 0;

  constructor(private readonly _options: TopicFollowerOptions) {
    super();
    const { clock } = _options;
    this._pace = this.register(new CallPace(clock));
    this._snapshots = this.register(new OpenCalls(clock, this._pace));
    // A poll without records leaves open those that began later.
    this._polls = this.register(new OpenCalls(clock, this._pace, (hasRecords) => hasRecords));
    this._catchUps = this.register(new OpenCalls(clock, this._pace));
  }

  /** Name of the topic. */
  public get name(): string {
    return this._options.topic.name;
  }

  /** When the platform last responded, on this node's clock. */
  public get lastResponseAt(): number {
    return this._lastResponseAt;
  }

  /**
   * Latest time, on this node's clock, up to which the table is known to have had all records. An
   * answer may be seconds old when it arrives, so it confirms only the time of its call.
   */
  public get confirmedAt(): number {
    return this._confirmedAt;
  }

  /** When a call to the platform last failed, on this node's clock. */
  public get lastFailureAt(): number {
    return this._lastFailureAt;
  }

  /** Ages of the open calls that load a snapshot or poll, in ms, for the log. */
  private get _openMs(): string {
    return [...this._snapshots.agesMs, ...this._polls.agesMs].join(' ');
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'platform.topic', () => this._run());
  }

  private async _run(): Promise<void> {
    const { clock } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      if (!this._needsSnapshot && !this._options.shouldPoll()) {
        await clock.sleep(POLLING_CHECK_INTERVAL_MS, signal);
        continue;
      }
      const answer = await this._callNext();
      if (answer.isErr) {
        await this._recover(answer.error);
      }
    }
  }

  private _callNext(): Promise<Result<unknown, ServiceError>> {
    if (this._pace.isLost) {
      return this._probe();
    }
    return this._needsSnapshot ? this._loadSnapshot() : this._poll();
  }

  /**
   * Waits until the next call, but not longer than until the answer to a late one. Calls that are
   * repeated because they are late are far enough apart without a wait.
   */
  private async _recover(error: ServiceError): Promise<void> {
    const { random } = this._options;
    if (error.kind === ErrorKind.RecordsExpired) {
      this._needsSnapshot = true;
      this._expirations++;
      // A snapshot is of no use if the records after it are not there either.
      if (this._expirations > 1) {
        await this._pause(retryDelayMs(this._expirations, MAX_RETRY_MS, random));
      }
      return;
    }
    this._recordFailure(error);
    const isSubstitute = !this._needsSnapshot && !this._probesLikePoller;
    if (error.kind === ErrorKind.DeadlineExceeded && !isSubstitute) {
      return;
    }
    const maxRetryMs = isSubstitute ? MAX_SUBSTITUTE_RETRY_MS : MAX_RETRY_MS;
    await this._pause(retryDelayMs(this._failures, maxRetryMs, random));
  }

  private async _pause(delayMs: number): Promise<void> {
    const returned = new AbortController();
    const subscription = this._pace.onReturn(() => {
      returned.abort();
    });
    const signal = AbortSignal.any([this.disposalSignal, returned.signal]);
    await this._options.clock.sleep(delayMs, signal);
    subscription.dispose();
  }

  private _loadSnapshot(): Promise<Result<void, ServiceError>> {
    // An answer that is slow to begin for many nodes at once must not be asked for again and again.
    const minMs = doubled(SNAPSHOT_MARGIN_MS, this._lateSnapshots);
    this._lateSnapshots++;
    return this._snapshots.ask({ limitMs: () => this._pace.marginMs(minMs) }, async (attempt) => {
      const loaded = await this._readSnapshot(attempt);
      return loaded.map(() => {
        this._lateSnapshots = 0;
        this._recordSuccess();
      });
    });
  }

  /**
   * A short read, which shows whether the platform answers again. A snapshot may be long, and a poll
   * waits, so neither is made before.
   */
  private _probe(): Promise<Result<boolean, ServiceError>> {
    const limitMs = this._probeLimitMs();
    return this._polls.ask({ limitMs: () => limitMs }, async (attempt) => {
      const read = await this._readRecords(0, attempt);
      const isExpired = read.isErr && read.error.kind === ErrorKind.RecordsExpired;
      if (read.isErr && !isExpired) {
        return Result.err(read.error);
      }
      this._needsSnapshot ||= isExpired || this._isFarBehind;
      this._recordSuccess();
      return Result.ok(read.unwrapOr(0) > 0);
    });
  }

  private get _probesLikePoller(): boolean {
    return this._options.isAppointedPoller() || this._wasPoller;
  }

  private _probeLimitMs(): number {
    const { random } = this._options;
    if (this._probesLikePoller) {
      return PROBE_INTERVAL_MS * (1 - PROBE_JITTER * random.next());
    }
    // Nodes that do not poll get the records from peers.
    return this._needsSnapshot ? doubled(PROBE_INTERVAL_MS, this._failures) : PROBE_INTERVAL_MS;
  }

  private async _readSnapshot(attempt: CallAttempt): Promise<Result<void, ServiceError>> {
    const { clock, table, topic } = this._options;
    const startedAt = clock.now();
    const snapshot = await topic.readSnapshot(OPEN_CALL_TIMEOUT_MS, attempt);
    this._recordCall('newest', snapshot, { startedAt, waitMs: 0 }, attempt);
    if (snapshot.isErr) {
      return Result.err(snapshot.error);
    }
    this._isFarBehind = false;
    const { end, records } = snapshot.value;
    const { end: endBefore, epoch: epochBefore, hasSnapshot } = table;
    this._logRead('newest', { after: endBefore, end, records, startedAt });
    if (!table.applySnapshot(snapshot.value)) {
      return Result.err(restoredError(table.name));
    }
    if (hasSnapshot && table.epoch > epochBefore) {
      await this._readRemovals(endBefore, end, attempt);
    }
    this._needsSnapshot = false;
    this._confirmedAt = Math.max(this._confirmedAt, startedAt);
    return Result.ok(undefined);
  }

  /**
   * Reads the records that were written between the table's end in the epoch before and the snapshot
   * that began this one. The snapshot does not show which of its missing keys were removed there,
   * and which the restore has lost.
   */
  private async _readRemovals(from: number, end: number, attempt: CallAttempt): Promise<void> {
    const { log, table, topic } = this._options;
    const { epoch } = table;
    let at = from;
    for (let pages = 0; at < end && pages < MAX_TAIL_PAGES; pages++) {
      const page = await topic.read(at, 0, OPEN_CALL_TIMEOUT_MS, attempt);
      if (page.isErr || (page.value.epoch ?? epoch) !== epoch || page.value.end <= at) {
        const cause = page.isErr ? page.error.message : 'the log was restored again';
        log.write('platform.tail-unread', { topic: table.name, at, end, cause });
        return;
      }
      table.apply(page.value.records, page.value.end, epoch);
      at = page.value.end;
    }
  }

  /**
   * Reads the records beyond the table's end offset, without waiting for new ones. Returns whether
   * the platform answered in time; records that arrive later are applied as well.
   */
  public async catchUp(): Promise<boolean> {
    const limitMs = (): number => this._pace.marginMs(READ_MARGIN_MS);
    const answer = await this._catchUps.ask({ limitMs }, async (attempt) => {
      if (!this._options.table.hasSnapshot) {
        return this._readSnapshot(attempt);
      }
      const read = await this._readRecords(0, attempt);
      const isExpired = read.isErr && read.error.kind === ErrorKind.RecordsExpired;
      return isExpired || this._isFarBehind
        ? this._readSnapshot(attempt)
        : read.map(() => undefined);
    });
    if (answer.isErr && answer.error.kind !== ErrorKind.RecordsExpired) {
      this._recordFailure(answer.error);
    }
    return answer.isOk;
  }

  private _poll(): Promise<Result<boolean, ServiceError>> {
    const limitMs = (): number => POLL_WAIT_MS + this._pace.marginMs(POLL_MARGIN_MS);
    return this._polls.ask({ waitMs: POLL_WAIT_MS, limitMs }, async (attempt) => {
      const read = await this._readRecords(POLL_WAIT_MS, attempt);
      return read.map((count) => {
        this._needsSnapshot = this._isFarBehind;
        this._lastPollAt = this._options.clock.now();
        this._recordSuccess();
        return count > 0;
      });
    });
  }

  /** Reads and applies a page of records; returns their number. */
  private async _readRecords(
    waitMs: number,
    attempt: CallAttempt,
  ): Promise<Result<number, ServiceError>> {
    const { clock, table, topic } = this._options;
    const { end: from, epoch: epochBefore } = table;
    const startedAt = clock.now();
    const page = await topic.read(from, waitMs, waitMs + OPEN_CALL_TIMEOUT_MS, attempt);
    this._recordCall('read', page, { startedAt, waitMs }, attempt);
    if (page.isErr) {
      return Result.err(page.error);
    }
    const { end, epoch = epochBefore, records } = page.value;
    this._logRead('read', { after: from, end, records, startedAt });
    if (epoch > table.epoch) {
      return Result.err(restoredError(table.name));
    }
    this._expirations = 0;
    // Otherwise the records begin at an offset of another epoch, or older ones are missing.
    if (epoch === epochBefore && table.hasSnapshot) {
      table.apply(records, end, epoch);
      this._isFarBehind = this._isSnapshotShorter(page.value);
      if (page.value.logEnd <= table.end) {
        // Without records, the platform has waited for them.
        const confirmedAt = startedAt + (records.length === 0 ? waitMs : 0);
        this._confirmedAt = Math.max(this._confirmedAt, Math.min(clock.now(), confirmedAt));
      }
    }
    return Result.ok(records.length);
  }

  /** Whether a snapshot has fewer bytes than the records after a page, if they are as long. */
  private _isSnapshotShorter({ end, logEnd, records }: KeyedPage): boolean {
    const { table } = this._options;
    // A late page ends before records that have arrived since.
    const missing = logEnd - Math.max(end, table.end);
    const bytesAfter = (bytesOf(records) / records.length) * missing;
    return bytesAfter > bytesOf(table.records) * SNAPSHOT_EXPANSION;
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

  private _recordCall(
    call: string,
    answer: Result<unknown, ServiceError>,
    { startedAt, waitMs }: RequestedWait,
    { signal }: CallAttempt,
  ): void {
    const { clock, metrics } = this._options;
    const tookMs = clock.now() - startedAt;
    const lateMs = tookMs - waitMs;
    const outcome = answer.isOk ? Outcome.Answered : Outcome.Failed;
    const labels = { call, outcome: signal.aborted ? Outcome.Superseded : outcome };
    metrics.increment('tanager_platform_calls_total', labels);
    metrics.observe('tanager_platform_late_ms', lateMs, labels);
    if (answer.isOk) {
      this._answeredMs = Math.round(tookMs);
    }
  }

  private _recordSuccess(): void {
    const { clock, log, table } = this._options;
    this._lastResponseAt = clock.now();
    if (this._failures > 0) {
      const lostMs = Math.round(clock.now() - this._lastFailureAt);
      const topic = table.name;
      const failures = this._failures;
      const answeredMs = this._answeredMs;
      const openMs = this._openMs;
      log.write('platform.regained', { topic, failures, lostMs, answeredMs, openMs });
    }
    this._failures = 0;
  }

  private _recordFailure(error: ServiceError): void {
    const { clock, log, table } = this._options;
    this._failures++;
    this._lastFailureAt = clock.now();
    if (this._failures === 1) {
      this._wasPoller = clock.now() - this._lastPollAt < RECENT_POLL_MS;
      const { end, name: topic } = table;
      log.write('platform.lost', { topic, end, cause: error.message, openMs: this._openMs });
    }
  }
}

function bytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

function doubled(delayMs: number, times: number): number {
  return delayMs * 2 ** Math.min(times, MAX_TIMEOUT_DOUBLINGS);
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
