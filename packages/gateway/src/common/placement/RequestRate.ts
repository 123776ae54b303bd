/**
 * Paces the requests to a target that limits their rate, by the generic cell rate algorithm. After a
 * pause, as many requests may follow each other at once as the limit allows in the time of which
 * unused requests may be made up for.
 */

/** Time of which unused requests may be made up for, if the target states its limit itself. */
const MAX_CREDIT_MS = 1_000;
/** A target that gets no request can't state that its limit has ended. */
const MIN_REQUESTS_PER_SECOND = 0.1;
const MS_PER_SECOND = 1_000;

/** The pace of the requests of all nodes to one target. */
export class RequestRate {
  /** When the next request is due, if each is sent as late as the limit allows. */
  private _dueAt: number;

  constructor(
    public requestsPerSecond: number,
    now: number,
    private readonly _maxCreditMs = MAX_CREDIT_MS,
  ) {
    this._dueAt = now;
  }

  /** Time between two requests if this node may use `share` of the limit, from 0 to 1. */
  public intervalMs(share: number): number {
    return MS_PER_SECOND / Math.max(MIN_REQUESTS_PER_SECOND, this.requestsPerSecond * share);
  }

  /** Time until a request may be sent after `ahead` others; 0 if it may be sent now. */
  public waitMs(now: number, share: number, ahead = 0): number {
    return Math.max(0, this._dueAt + ahead * this.intervalMs(share) - now);
  }

  /** Counts a request that was sent, whether or not it was due. */
  public count(now: number, share: number): void {
    this._dueAt = Math.max(this._dueAt, now - this._maxCreditMs) + this.intervalMs(share);
  }
}
