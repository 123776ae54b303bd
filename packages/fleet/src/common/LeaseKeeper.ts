/**
 * Acquires and renews one lease. The holder counts its term from before it sent the last renewal; a
 * successor waits a whole term from when it read the last record, so that two nodes never hold the
 * lease at the same time. One task acquires and renews, another one tails the stream.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  keepRunning,
  type Logger,
  LogLevel,
  type RandomSource,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { PlatformLog } from '@tanagerdyke/contracts';
import {
  applyLeaseRecord,
  isHeldBy,
  LeaseRecordKind,
  type LeaseState,
  parseLeaseRecord,
} from './LeaseState.js';

/** How long a lease is valid without a renewal. */
export const LEASE_TERM_MS = 10_000;
/** Number of renewals within one term. */
const RENEWALS_PER_TERM = 3;
/** The holder stops this long before its term ends, as it may pause between a check and a send. */
const PAUSE_MARGIN_MS = 2_000;
/** The fencing number that is written when there is no lease; lower than any offset. */
const NO_FENCING_NUMBER = -1;
const READ_WAIT_MS = 1_500;
const MAX_RECORDS_PER_READ = 100;
const READ_RETRY_MS = 300;
/** How often to check whether the lease must be renewed or may be acquired. */
const CHECK_INTERVAL_MS = 250;

export interface LeaseKeeperOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: PlatformLog;
  readonly logger: Logger;
  readonly timeLine: TimeLine;
  readonly stream: string;
  readonly node: string;
  readonly startedAt: number;
  /** Wait beyond the term; longer for lower-ranked candidates, so that they acquire in order. */
  readonly extraWaitMs: () => number;
}

/** Holds one lease for this node, or waits until it may acquire it. */
export class LeaseKeeper extends DisposableOwner {
  /** Times right before the records of this node were sent, by record id. */
  private readonly _sentAtById = new Map<string, number>();
  private _state: LeaseState | undefined;
  private _nextOffset = 0;
  /** Offset from which the stream could be read; earlier records have expired. */
  private _firstReadOffset = 0;
  private _isReplayed = false;
  /** When the last effective record was read, or before any, when the stream was first read. */
  private _stateReadAt = Number.NEGATIVE_INFINITY;
  /** End of the term of this node's last effective record, counted from before it was sent. */
  private _validUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly _options: LeaseKeeperOptions) {
    super();
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'lease.log', () => this._readTask());
    keepRunning(this._options.clock, this.disposalSignal, 'lease.renewal', () =>
      this._acquireOrRenewTask(),
    );
  }

  /** The fencing number while this node may send orders, else `undefined`. */
  public get fencingNumber(): number | undefined {
    const { clock, node, startedAt } = this._options;
    const isHeld = isHeldBy(this._state, node, startedAt);
    const isInTime = clock.now() < this._validUntil - PAUSE_MARGIN_MS;
    return isHeld && isInTime ? this._state?.fencing : undefined;
  }

  /** Releases the lease, so that a successor doesn't have to wait for the end of the term. */
  public async release(): Promise<void> {
    if (this.fencingNumber !== undefined) {
      this._validUntil = Number.NEGATIVE_INFINITY;
      await this._append(LeaseRecordKind.Release);
    }
    this.dispose();
  }

  private async _acquireOrRenewTask(): Promise<void> {
    const { clock, node, startedAt } = this._options;
    const { disposalSignal: signal } = this;
    let lastAppendAt = Number.NEGATIVE_INFINITY;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      const now = clock.now();
      const isDue = now - lastAppendAt >= LEASE_TERM_MS / RENEWALS_PER_TERM;
      if (!this._isReplayed || !isDue) {
        continue;
      }
      if (isHeldBy(this._state, node, startedAt) && now < this._validUntil) {
        lastAppendAt = now;
        await this._append(LeaseRecordKind.Renew);
      } else if (this._mayAcquire(now)) {
        lastAppendAt = now;
        await this._append(LeaseRecordKind.Acquire);
      }
    }
  }

  private _mayAcquire(now: number): boolean {
    const { extraWaitMs } = this._options;
    // Without a state, only an empty stream shows that no node holds the lease; in any other, the
    // effective records may have expired.
    const isFree = this._state === undefined ? this._nextOffset === 0 : this._state.isReleased;
    const termMs = isFree ? 0 : (this._state?.termMs ?? LEASE_TERM_MS);
    return now - this._stateReadAt >= termMs + extraWaitMs();
  }

  private async _append(kind: LeaseRecordKind): Promise<void> {
    const { clock, log, logger, node, random, startedAt, stream } = this._options;
    const id = random.identifier();
    const fencing = this._state?.fencing ?? NO_FENCING_NUMBER;
    const after = this._nextOffset - 1;
    const record = { kind, id, node, startedAt, after, fencing, termMs: LEASE_TERM_MS };
    this._sentAtById.set(id, clock.now());
    const appended = await log.append(stream, JSON.stringify(record));
    // A record whose append has an unknown outcome may still be read back.
    if (appended.isErr && appended.error.kind !== ErrorKind.AppendUnknown) {
      this._sentAtById.delete(id);
      logger.log(LogLevel.Debug, appended.error.message, { stream });
    }
  }

  private async _readTask(): Promise<void> {
    const { clock, log } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      const waitMs = this._isReplayed ? READ_WAIT_MS : 0;
      const page = await log.read(
        this._options.stream,
        this._nextOffset,
        MAX_RECORDS_PER_READ,
        waitMs,
      );
      if (page.isOk) {
        for (const { offset, payload } of page.value.records) {
          this._nextOffset = offset + 1;
          this._applyRecord(offset, payload);
        }
        this._isReplayed ||= this._nextOffset >= page.value.tail;
        if (this._stateReadAt === Number.NEGATIVE_INFINITY) {
          this._stateReadAt = clock.now();
        }
      } else if (page.error.kind === ErrorKind.RecordsExpired) {
        await this._skipExpired();
      } else {
        await clock.sleep(READ_RETRY_MS, signal);
      }
    }
  }

  private async _skipExpired(): Promise<void> {
    const { clock, log, stream } = this._options;
    const bounds = await log.read(stream, Number.MAX_SAFE_INTEGER, 1, 0);
    if (bounds.isOk) {
      this._nextOffset = Math.max(this._nextOffset, bounds.value.first);
      this._firstReadOffset = this._state === undefined ? this._nextOffset : this._firstReadOffset;
    } else {
      await clock.sleep(READ_RETRY_MS, this.disposalSignal);
    }
  }

  private _applyRecord(offset: number, payload: string): void {
    const { clock, node, startedAt, stream, timeLine } = this._options;
    const before = this._state;
    this._state = applyLeaseRecord(
      before,
      { offset, firstReadOffset: this._firstReadOffset },
      payload,
    );
    if (this._state === before) {
      return;
    }
    this._stateReadAt = clock.now();
    const sentAt = this._sentAtById.get(parseLeaseRecord(payload)?.id ?? '');
    if (sentAt !== undefined && isHeldBy(this._state, node, startedAt)) {
      this._sentAtById.clear();
      this._validUntil = sentAt + LEASE_TERM_MS;
    }
    if (this._state?.fencing !== before?.fencing) {
      const { node: holder = '', fencing = NO_FENCING_NUMBER } = this._state ?? {};
      timeLine.record('lease.changed', { stream, holder, fencing });
    }
  }
}
