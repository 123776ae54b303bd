/**
 * How late the platform answers the calls for one topic, which decides when a call is repeated. An
 * answer that ends an outage has been open for as long as that lasted, which says nothing of how
 * soon the next one is due, and calls that began before it may have been lost with the outage. So
 * lateness counts from the return of the platform at the earliest, and the return is announced.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';

/** Limit of the time until a call is repeated, however late the answers are. */
const MAX_MARGIN_MS = 4_000;
/** Answers may take this many times as long as recent ones until their calls are repeated. */
const MARGIN_FACTOR = 2;
/** Weight of the longest recent time when an answer is on time. */
const LATENESS_DECAY = 0.7;

/** When a call was made, and how long the platform was to wait for records. */
export interface RequestedWait {
  readonly startedAt: number;
  readonly waitMs: number;
}

/** Follows the answers and the failures of the calls for one topic. */
export class CallPace extends DisposableOwner {
  private _isLost = false;
  private _returnedAt = Number.NEGATIVE_INFINITY;
  /** Longest recent time of an answer beyond the requested wait, in ms. */
  private _latenessMs = 0;
  private readonly _onReturn = this.register(new Emitter<void>());
  /** Fires with the first answer after a call that was late or failed. */
  public readonly onReturn = this._onReturn.event;

  constructor(private readonly _clock: Clock) {
    super();
  }

  /** Whether a call was late or failed, and none has been answered since. */
  public get isLost(): boolean {
    return this._isLost;
  }

  /** Time beyond the requested wait after which a call is repeated, in ms; at least `minMs`. */
  public marginMs(minMs: number): number {
    return Math.max(minMs, Math.min(MARGIN_FACTOR * this._latenessMs, MAX_MARGIN_MS));
  }

  /** Records that a call was late, or failed before. */
  public recordFailure(): void {
    this._isLost = true;
  }

  public recordAnswer({ startedAt, waitMs }: RequestedWait): void {
    const isReturn = this._isLost;
    const now = this._clock.now();
    if (isReturn) {
      this._isLost = false;
      this._returnedAt = now;
    }
    const lateMs = now - Math.max(startedAt + waitMs, this._returnedAt);
    this._latenessMs = Math.max(lateMs, LATENESS_DECAY * this._latenessMs);
    if (isReturn) {
      this._onReturn.fire();
    }
  }
}
