/**
 * Tails the configuration stream of the platform log and keeps the configuration in force on this
 * node. Every reader applies the same rule to the same records, so all nodes agree, and the offset
 * in force only increases. A reader that starts after older records expired begins at a checkpoint.
 */
import {
  type Clock,
  DisposableOwner,
  Emitter,
  ErrorKind,
  type InvariantMonitor,
  keepRunning,
  type Logger,
  LogLevel,
  type ServiceError,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { LogPage, PlatformLog } from '@tanagerdyke/contracts';
import type { Membership } from '@tanagerdyke/mesh';
import { CheckpointAssembler } from './Checkpoint.js';
import {
  applyRecord,
  CONFIGURATION_STREAM,
  type ConfigurationInForce,
  NO_OFFSET,
  NOTHING_IN_FORCE,
  Verdict,
} from './ConfigurationRule.js';
import type { EffectiveRecord } from './Messages.js';
import type { ObjectSet } from './ObjectSet.js';
import type { Configuration, ProcessedRecord } from './services/Services.js';

/** Long-poll time of a read at the tail of the stream. */
const READ_WAIT_MS = 1_500;
const MAX_READ_RECORDS = 100;
const READ_RETRY_DELAY_MS = 300;
/** Effective records retained for peers that are behind. */
const MAX_RETAINED_RECORDS = 1_000;
/**
 * Records deferred until a checkpoint or a peer supplies the set that they are based on; beyond
 * this the oldest are dropped.
 */
const MAX_DEFERRED_RECORDS = 5_000;

/** Length of the digest prefix that probes carry; enough to distinguish sets at the same offset. */
const DIGEST_PREFIX_CHARACTERS = 16;

export interface FollowerOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly membership: Membership;
  readonly timeLine: TimeLine;
  readonly logger: Logger;
  readonly invariants: InvariantMonitor;
}

/** Provides the configuration in force, read from the log or pulled from peers. */
export class ConfigurationFollower extends DisposableOwner implements Configuration {
  private readonly _onChange = this.register(new Emitter<ConfigurationInForce>());
  public readonly onChange = this._onChange.event;
  private readonly _onRecord = this.register(new Emitter<ProcessedRecord>());
  public readonly onRecord = this._onRecord.event;
  private readonly _checkpoints = new CheckpointAssembler();
  private readonly _retainedRecords: EffectiveRecord[] = [];
  /** Records that couldn't be applied to the set in force when they were read. */
  private readonly _deferredRecords: EffectiveRecord[] = [];
  private _inForce = NOTHING_IN_FORCE;
  private _nextOffset = 0;
  private _isReady = false;
  /** Whether the last successful read reached the tail of the stream. */
  private _isAtTail = false;
  private _hasDiverged = false;
  /** Whether records expired before this node read them, so that its set may be incomplete. */
  private _isBaseMissing = false;
  private _isLogDown = false;
  private _logReadStartedAt = Number.NEGATIVE_INFINITY;
  private _checkpointSeenAt: number;

  constructor(private readonly _options: FollowerOptions) {
    super();
    this._checkpointSeenAt = _options.clock.now();
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'configuration.log', () =>
      this._tailLog(),
    );
  }

  public get inForce(): ConfigurationInForce {
    return this._inForce;
  }

  public get set(): ObjectSet {
    return this._inForce.set;
  }

  public get isReady(): boolean {
    return this._isReady && !this._hasDiverged;
  }

  public get hasDiverged(): boolean {
    return this._hasDiverged;
  }

  public get isLogDown(): boolean {
    return this._isLogDown;
  }

  /**
   * When the last successful read of the log was sent. The time of the response is not used,
   * because the response may have waited while this process was paused.
   */
  public get logReadStartedAt(): number {
    return this._logReadStartedAt;
  }

  /**
   * When a complete checkpoint of the set in force, or of a newer one, was last read; until then,
   * when this reader was created.
   */
  public get checkpointSeenAt(): number {
    return this._checkpointSeenAt;
  }

  /** Applies a record from the log or a peer; skips records up to the offset in force. */
  public applyRecord({ offset, payload }: EffectiveRecord): void {
    if (offset <= this._inForce.offset) {
      return;
    }
    const outcome = applyRecord(this._inForce, offset, payload);
    if (outcome.verdict === Verdict.Effective) {
      this._setInForce(outcome.inForce);
      this._retainRecord({ offset, payload });
      this._markBaseFound();
    } else {
      this._hasDiverged ||= outcome.verdict === Verdict.Diverged;
      this._deferRecord({ offset, payload });
      const { verdict, detail } = outcome;
      this._options.timeLine.record('configuration.ignored', { offset, verdict, detail });
    }
    this._onRecord.fire({ offset, outcome });
  }

  /**
   * Replaces the set in force by that of a checkpoint or a peer if it is newer. A diverged set is
   * also replaced by one at the same offset.
   */
  public installSnapshot(inForce: ConfigurationInForce): void {
    const isRepair = this._hasDiverged && inForce.offset >= this._inForce.offset;
    if (inForce.offset <= this._inForce.offset && !isRepair) {
      return;
    }
    this._hasDiverged = false;
    this._isBaseMissing = false;
    this._retainedRecords.length = 0;
    this._setInForce(inForce);
    this._applyDeferredRecords();
    this._updateReadiness();
  }

  /** Marks this node ready with the configuration received from peers while the log is down. */
  public markReadyFromPeers(): void {
    this._markReady('peers');
  }

  /** Effective records after an offset; `undefined` if some of them are no longer retained. */
  public recordsAfter(offset: number): readonly EffectiveRecord[] | undefined {
    if (offset >= this._inForce.offset) {
      return [];
    }
    const start = this._retainedRecords.findIndex((record) => record.offset > offset);
    const previous = this._retainedRecords[start - 1]?.offset;
    const isContinuous = previous === offset || (start === 0 && offset === this._retainedBase);
    return isContinuous ? this._retainedRecords.slice(start) : undefined;
  }

  /** The offset in force before the first retained record. */
  private _retainedBase = NO_OFFSET;

  private async _tailLog(): Promise<void> {
    const { clock, log, logger } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      const waitMs = this._isAtTail && !this._isLogDown ? READ_WAIT_MS : 0;
      const startedAt = clock.now();
      const page = await log.read(CONFIGURATION_STREAM, this._nextOffset, MAX_READ_RECORDS, waitMs);
      this._isLogDown = page.isErr && page.error.kind !== ErrorKind.RecordsExpired;
      if (page.isOk) {
        this._logReadStartedAt = startedAt;
        this._applyPage(page.value);
      } else {
        logger.log(LogLevel.Debug, page.error.message, { kind: page.error.kind });
        await this._handleReadError(page.error);
      }
    }
  }

  private _applyPage(page: LogPage): void {
    for (const { offset, payload } of page.records) {
      this._nextOffset = offset + 1;
      this._applyLogRecord({ offset, payload });
    }
    this._isAtTail = this._nextOffset >= page.tail;
    this._updateReadiness();
  }

  private _applyLogRecord(record: EffectiveRecord): void {
    const checkpoint = this._checkpoints.add(record.payload);
    if (checkpoint === undefined) {
      this.applyRecord(record);
      return;
    }
    if (checkpoint.offset >= this._inForce.offset) {
      this._checkpointSeenAt = this._options.clock.now();
    }
    this.installSnapshot(checkpoint);
  }

  private async _handleReadError(error: ServiceError): Promise<void> {
    const { clock, log } = this._options;
    if (error.kind === ErrorKind.RecordsExpired) {
      // A read past the tail returns no records, only the bounds of the stream.
      const bounds = await log.read(CONFIGURATION_STREAM, Number.MAX_SAFE_INTEGER, 1, 0);
      if (bounds.isOk) {
        this._isBaseMissing = true;
        this._nextOffset = Math.max(this._nextOffset, bounds.value.first);
        this._options.timeLine.record('configuration.expired', { next: this._nextOffset });
        return;
      }
    }
    await clock.sleep(READ_RETRY_DELAY_MS, this.disposalSignal);
  }

  private _setInForce(inForce: ConfigurationInForce): void {
    const { invariants, membership, timeLine } = this._options;
    const before = this._inForce.offset;
    const { offset, set } = inForce;
    // A snapshot that replaces a diverged set may have its offset; retained records are gone then.
    const isForward = offset > before || (offset === before && this._retainedRecords.length === 0);
    invariants.check(isForward, 'configuration-never-reverts', { before, after: offset });
    this._inForce = inForce;
    timeLine.record('configuration.in-force', { offset, digest: set.digest });
    const configurationDigest = set.digest.slice(0, DIGEST_PREFIX_CHARACTERS);
    membership.publish({ configurationOffset: offset, configurationDigest });
    this._onChange.fire(inForce);
  }

  private _retainRecord(record: EffectiveRecord): void {
    if (this._retainedRecords.length === 0) {
      this._retainedBase = baseOf(record.payload);
    }
    this._retainedRecords.push(record);
    if (this._retainedRecords.length > MAX_RETAINED_RECORDS) {
      this._retainedBase = this._retainedRecords.shift()?.offset ?? NO_OFFSET;
    }
  }

  private _deferRecord(record: EffectiveRecord): void {
    if (this._isBaseMissing || this._hasDiverged) {
      this._deferredRecords.push(record);
      this._deferredRecords.splice(0, this._deferredRecords.length - MAX_DEFERRED_RECORDS);
    }
  }

  /** A record that takes effect has a matching base digest, so the set before it was complete. */
  private _markBaseFound(): void {
    if (this._isBaseMissing) {
      this._isBaseMissing = false;
      this._applyDeferredRecords();
      this._updateReadiness();
    }
  }

  private _applyDeferredRecords(): void {
    const records = this._deferredRecords.splice(0);
    for (const record of records) {
      this.applyRecord(record);
    }
  }

  private _updateReadiness(): void {
    if (this._isAtTail && !this._isBaseMissing) {
      this._markReady('log');
    }
  }

  private _markReady(source: string): void {
    if (!this._isReady) {
      this._isReady = true;
      const { offset } = this._inForce;
      this._options.timeLine.record('configuration.ready', { source, offset });
    }
  }
}

/** The base offset of an effective record, whose payload is known to be valid. */
function baseOf(payload: string): number {
  const { base } = JSON.parse(payload) as { base: number };
  return base;
}
