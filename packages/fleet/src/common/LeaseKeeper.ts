/**
 * Holds, or waits for, one lease. The holder counts its term from before it sent the last renewal; a
 * successor waits the whole term from when it read the last record. Both run in one task, written
 * straight down, beside the task that tails the stream.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
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
} from './LeaseRule.js';

/** Time for which a lease holds. */
export const LEASE_TERM_MS = 10_000;
/** Renewals within one term. */
const RENEWALS_PER_TERM = 3;
/** Taken off the holder's end of the term, against pauses between the check and the send. */
const PAUSE_MARGIN_MS = 2_000;
/** Offset before any record. */
const NO_LEASE_OFFSET = -1;
const READ_WAIT_MS = 1_500;
const READ_LIMIT = 100;
const READ_RETRY_MS = 300;
/** Pause of the holding task between two looks. */
const TICK_MS = 250;

/** What a keeper needs. */
export interface KeeperOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: PlatformLog;
  readonly logger: Logger;
  readonly timeLine: TimeLine;
  readonly stream: string;
  readonly node: string;
  readonly startedAt: number;
  /** How much longer than the term this node waits; ranks candidates. */
  readonly extraWaitMs: () => number;
}

/** One lease at one node. */
export class LeaseKeeper extends DisposableOwner {
  /** When own records were about to be sent, by their id. */
  private readonly _sentAt = new Map<string, number>();
  private _state: LeaseState | undefined;
  private _next = 0;
  private _first = 0;
  private _isReplayed = false;
  private _readAt = Number.NEGATIVE_INFINITY;
  private _validUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly _options: KeeperOptions) {
    super();
  }

  public start(): void {
    void this._readTask();
    void this._holdTask();
  }

  /** The fencing number while this node may give orders right now, else `undefined`. */
  public get fencing(): number | undefined {
    const { clock, node, startedAt } = this._options;
    const isHeld = isHeldBy(this._state, node, startedAt);
    const isInTime = clock.now() < this._validUntil - PAUSE_MARGIN_MS;
    return isHeld && isInTime ? this._state?.fencing : undefined;
  }

  /** Gives the lease back, so that a successor needn't wait. */
  public async release(): Promise<void> {
    if (this.fencing !== undefined) {
      this._validUntil = Number.NEGATIVE_INFINITY;
      await this._append(LeaseRecordKind.Release);
    }
    this.dispose();
  }

  private async _holdTask(): Promise<void> {
    const { clock, node, startedAt } = this._options;
    const { disposal: signal } = this;
    let renewedAt = Number.NEGATIVE_INFINITY;
    while (!signal.aborted) {
      await clock.sleep(TICK_MS, signal);
      const now = clock.now();
      const isDue = now - renewedAt >= LEASE_TERM_MS / RENEWALS_PER_TERM;
      if (!this._isReplayed || !isDue) {
        continue;
      }
      if (isHeldBy(this._state, node, startedAt) && now < this._validUntil) {
        renewedAt = now;
        await this._append(LeaseRecordKind.Renew);
      } else if (this._mayAcquire(now)) {
        renewedAt = now;
        await this._append(LeaseRecordKind.Acquire);
      }
    }
  }

  private _mayAcquire(now: number): boolean {
    const { extraWaitMs } = this._options;
    const isFree = this._state === undefined ? this._next === 0 : this._state.isReleased;
    const termMs = isFree ? 0 : (this._state?.termMs ?? LEASE_TERM_MS);
    return now - this._readAt >= termMs + extraWaitMs();
  }

  private async _append(kind: LeaseRecordKind): Promise<void> {
    const { clock, log, logger, node, random, startedAt, stream } = this._options;
    const id = random.identifier();
    const fencing = this._state?.fencing ?? NO_LEASE_OFFSET;
    const after = this._next - 1;
    const record = { kind, id, node, startedAt, after, fencing, termMs: LEASE_TERM_MS };
    this._sentAt.set(id, clock.now());
    const appended = await log.append(stream, JSON.stringify(record));
    if (appended.isErr && appended.error.kind !== ErrorKind.AppendUnknown) {
      this._sentAt.delete(id);
      logger.log(LogLevel.Debug, appended.error.message, { stream });
    }
  }

  private async _readTask(): Promise<void> {
    const { clock, log } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      const waitMs = this._isReplayed ? READ_WAIT_MS : 0;
      const page = await log.read(this._options.stream, this._next, READ_LIMIT, waitMs);
      if (page.isOk) {
        for (const { offset, payload } of page.value.records) {
          this._next = offset + 1;
          this._takeRecord(offset, payload);
        }
        this._isReplayed ||= this._next >= page.value.tail;
        if (this._readAt === Number.NEGATIVE_INFINITY) {
          this._readAt = clock.now();
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
      this._next = Math.max(this._next, bounds.value.first);
      this._first = this._state === undefined ? this._next : this._first;
    } else {
      await clock.sleep(READ_RETRY_MS, this.disposal);
    }
  }

  private _takeRecord(offset: number, payload: string): void {
    const { clock, node, startedAt, stream, timeLine } = this._options;
    const before = this._state;
    this._state = applyLeaseRecord(before, { offset, first: this._first }, payload);
    if (this._state === before) {
      return;
    }
    this._readAt = clock.now();
    const sentAt = this._sentAt.get(parseLeaseRecord(payload)?.id ?? '');
    if (sentAt !== undefined && isHeldBy(this._state, node, startedAt)) {
      this._sentAt.clear();
      this._validUntil = sentAt + LEASE_TERM_MS;
    }
    if (this._state?.fencing !== before?.fencing) {
      const { node: holder = '', fencing = NO_LEASE_OFFSET } = this._state ?? {};
      timeLine.record('lease.changed', { stream, holder, fencing });
    }
  }
}
