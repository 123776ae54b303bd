/**
 * Keeps this node at the configuration in force by tailing the platform log. Every reader applies
 * the same rule to the same records, so all nodes agree, and the offset in force only grows. A reader
 * that starts after older records expired begins at a checkpoint.
 */
import {
  type Clock,
  DisposableOwner,
  Emitter,
  ErrorKind,
  type InvariantMonitor,
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
  type InForce,
  NO_OFFSET,
  NOTHING_IN_FORCE,
  Verdict,
} from './ConfigurationRule.js';
import type { EffectiveRecord } from './Messages.js';
import type { ObjectSet } from './ObjectSet.js';
import type { Configuration, RecordVerdict } from './services/Services.js';

/** Long poll of the log. */
const READ_WAIT_MS = 1_500;
const READ_LIMIT = 100;
/** Pause after a failed read. */
const READ_RETRY_MS = 300;
/** Effective records kept for peers that are behind. */
const KEPT_RECORDS = 1_000;
/** Records kept that may follow from a checkpoint that is still to come. */
const MAX_UNPLACED = 5_000;

/** Characters of the digest that ride on probes; enough to tell sets of one offset apart. */
const PUBLISHED_DIGEST_CHARACTERS = 16;

/** What a follower needs. */
export interface FollowerOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly membership: Membership;
  readonly timeLine: TimeLine;
  readonly logger: Logger;
  readonly invariants: InvariantMonitor;
}

/** The configuration of one node. */
export class ConfigurationFollower extends DisposableOwner implements Configuration {
  private readonly _onChange = this.register(new Emitter<InForce>());
  public readonly onChange = this._onChange.event;
  private readonly _onRecord = this.register(new Emitter<RecordVerdict>());
  public readonly onRecord = this._onRecord.event;
  private readonly _checkpoints = new CheckpointAssembler();
  private readonly _records: EffectiveRecord[] = [];
  /** Records that didn't follow from the set in force when they were read. */
  private readonly _unplaced: EffectiveRecord[] = [];
  private _inForce = NOTHING_IN_FORCE;
  private _next = 0;
  private _isReady = false;
  /** Whether the stream was read to its tail. */
  private _hasReadTail = false;
  private _hasDiverged = false;
  /** Whether older records expired before this reader had a set to start from. */
  private _lacksBase = false;
  private _isLogDown = false;
  private _logReadAt = Number.NEGATIVE_INFINITY;
  private _checkpointSeenAt: number;

  constructor(private readonly _options: FollowerOptions) {
    super();
    this._checkpointSeenAt = _options.clock.now();
  }

  public start(): void {
    void this._logTask();
  }

  public get inForce(): InForce {
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

  /** When the last question that the log answered was asked; the answer may have waited in a pause. */
  public get logReadAt(): number {
    return this._logReadAt;
  }

  /** When a whole checkpoint of the set in force was last read, or this reader started. */
  public get checkpointSeenAt(): number {
    return this._checkpointSeenAt;
  }

  /** Applies a record from the log or a peer; records at or before the one in force are skipped. */
  public takeRecord({ offset, payload }: EffectiveRecord): void {
    if (offset <= this._inForce.offset) {
      return;
    }
    const outcome = applyRecord(this._inForce, offset, payload);
    if (outcome.verdict === Verdict.Effective) {
      this._putInForce(outcome.inForce);
      this._keep({ offset, payload });
      this._gainBase();
    } else {
      this._hasDiverged ||= outcome.verdict === Verdict.Diverged;
      this._setAside({ offset, payload });
      const { verdict, detail } = outcome;
      this._options.timeLine.record('configuration.ignored', { offset, verdict, detail });
    }
    this._onRecord.fire({ offset, outcome });
  }

  /** Takes over a whole set that a checkpoint or a peer carries, unless it is older. */
  public adopt(inForce: InForce): void {
    const isRepair = this._hasDiverged && inForce.offset >= this._inForce.offset;
    if (inForce.offset <= this._inForce.offset && !isRepair) {
      return;
    }
    this._hasDiverged = false;
    this._lacksBase = false;
    this._records.length = 0;
    this._putInForce(inForce);
    this._replayUnplaced();
    this._checkReady();
  }

  /** Accepts what peers gave as the start, because the log is down. */
  public acceptPeersAsStart(): void {
    this._becomeReady('peers');
  }

  /** Effective records after an offset; `undefined` when they aren't all held any more. */
  public recordsAfter(offset: number): readonly EffectiveRecord[] | undefined {
    if (offset >= this._inForce.offset) {
      return [];
    }
    const start = this._records.findIndex((record) => record.offset > offset);
    const previous = this._records[start - 1]?.offset;
    const isContinuous = previous === offset || (start === 0 && offset === this._firstBase);
    return isContinuous ? this._records.slice(start) : undefined;
  }

  /** The offset in force before the first kept record. */
  private _firstBase = NO_OFFSET;

  private async _logTask(): Promise<void> {
    const { clock, log, logger } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      const waitMs = this._hasReadTail && !this._isLogDown ? READ_WAIT_MS : 0;
      const askedAt = clock.now();
      const page = await log.read(CONFIGURATION_STREAM, this._next, READ_LIMIT, waitMs);
      this._isLogDown = page.isErr && page.error.kind !== ErrorKind.RecordsExpired;
      if (page.isOk) {
        this._logReadAt = askedAt;
        this._takePage(page.value);
      } else {
        logger.log(LogLevel.Debug, page.error.message, { kind: page.error.kind });
        await this._recover(page.error);
      }
    }
  }

  private _takePage(page: LogPage): void {
    for (const { offset, payload } of page.records) {
      this._next = offset + 1;
      this._takeLogRecord({ offset, payload });
    }
    this._hasReadTail = this._next >= page.tail;
    this._checkReady();
  }

  private _takeLogRecord(record: EffectiveRecord): void {
    const checkpoint = this._checkpoints.take(record.payload);
    if (checkpoint === undefined) {
      this.takeRecord(record);
      return;
    }
    if (checkpoint.offset >= this._inForce.offset) {
      this._checkpointSeenAt = this._options.clock.now();
    }
    this.adopt(checkpoint);
  }

  private async _recover(error: ServiceError): Promise<void> {
    const { clock, log } = this._options;
    if (error.kind === ErrorKind.RecordsExpired) {
      const bounds = await log.read(CONFIGURATION_STREAM, Number.MAX_SAFE_INTEGER, 1, 0);
      if (bounds.isOk) {
        this._lacksBase = true;
        this._next = Math.max(this._next, bounds.value.first);
        this._options.timeLine.record('configuration.expired', { next: this._next });
        return;
      }
    }
    await clock.sleep(READ_RETRY_MS, this.disposal);
  }

  private _putInForce(inForce: InForce): void {
    const { invariants, membership, timeLine } = this._options;
    const before = this._inForce.offset;
    const { offset, set } = inForce;
    const isForward = offset > before || (offset === before && this._records.length === 0);
    invariants.check(isForward, 'configuration-never-reverts', { before, after: offset });
    this._inForce = inForce;
    timeLine.record('configuration.in-force', { offset, digest: set.digest });
    const configurationDigest = set.digest.slice(0, PUBLISHED_DIGEST_CHARACTERS);
    membership.publish({ configurationOffset: offset, configurationDigest });
    this._onChange.fire(inForce);
  }

  private _keep(record: EffectiveRecord): void {
    if (this._records.length === 0) {
      this._firstBase = baseOf(record.payload);
    }
    this._records.push(record);
    if (this._records.length > KEPT_RECORDS) {
      this._firstBase = this._records.shift()?.offset ?? NO_OFFSET;
    }
  }

  private _setAside(record: EffectiveRecord): void {
    if (this._lacksBase || this._hasDiverged) {
      this._unplaced.push(record);
      this._unplaced.splice(0, this._unplaced.length - MAX_UNPLACED);
    }
  }

  /** A record that takes effect shows that the set it follows from was whole. */
  private _gainBase(): void {
    if (this._lacksBase) {
      this._lacksBase = false;
      this._replayUnplaced();
      this._checkReady();
    }
  }

  private _replayUnplaced(): void {
    const records = this._unplaced.splice(0);
    for (const record of records) {
      this.takeRecord(record);
    }
  }

  private _checkReady(): void {
    if (this._hasReadTail && !this._lacksBase) {
      this._becomeReady('log');
    }
  }

  private _becomeReady(source: string): void {
    if (!this._isReady) {
      this._isReady = true;
      const { offset } = this._inForce;
      this._options.timeLine.record('configuration.ready', { source, offset });
    }
  }
}

/** The base of an effective record. */
function baseOf(payload: string): number {
  const { base } = JSON.parse(payload) as { base: number };
  return base;
}
