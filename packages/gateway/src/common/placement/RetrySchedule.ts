/**
 * When refused callers should return. Load pattern: many callers are refused in a burst; if all
 * were given the time at which the next engine is free, they would return together and all but one
 * would be refused again. So each gets a turn after the one that was given before it.
 */

/** Bounds of the time after which a refused caller should retry. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;

/** Hands out the times at which refused callers should retry. */
export class RetrySchedule {
  private _lastTurnAt = Number.NEGATIVE_INFINITY;

  /**
   * Returns the time until the turn of a caller that is refused now.
   *
   * @param earliestMs time until capacity is expected
   * @param turnMs time for which the caller's request will take that capacity
   */
  public next(now: number, earliestMs: number, turnMs: number): number {
    const retryMs = this.peek(now, earliestMs, turnMs);
    const turnAt = this._turnAt(now, earliestMs, turnMs);
    this._lastTurnAt = Math.min(turnAt, now + MAX_RETRY_MS);
    return retryMs;
  }

  /** Returns what `next` would, without handing out the turn. */
  public peek(now: number, earliestMs: number, turnMs: number): number {
    const turnMsFromNow = this._turnAt(now, earliestMs, turnMs) - now;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, turnMsFromNow));
  }

  private _turnAt(now: number, earliestMs: number, turnMs: number): number {
    return Math.max(now + earliestMs, this._lastTurnAt + turnMs);
  }
}
