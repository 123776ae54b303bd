/**
 * Decides when a draining node stops accepting requests and when it exits. Callers cache addresses
 * for some seconds, so the node still accepts requests at first. It stops early enough for the
 * longest usual answers to complete before the process is killed.
 */

/** Share of the time until the process is killed during which new requests are accepted. */
const ACCEPT_TIME_SHARE = 0.3;
/** Callers switch to other addresses within this time. */
const MIN_DRAIN_MS = 2_500;
/** A node without requests for this long may exit. */
const MIN_IDLE_MS = 1_000;
/** The node exits by itself this long before it would be killed. */
const SHUTDOWN_MARGIN_MS = 700;

/** The request activity of a draining node. */
export interface DrainActivity {
  /** Requests in flight. */
  readonly running: number;
  /** When the last request arrived, on the node's clock; negative infinity when none did. */
  readonly lastRequestAt: number;
}

/** The schedule of one drain. All times are on the node's clock. */
export class DrainSchedule {
  constructor(
    private readonly _startedAt: number,
    /** Time from the termination signal until the process is killed. */
    private readonly _shutdownTimeoutMs: number,
  ) {}

  /** Whether new requests are still accepted. */
  public acceptsRequests(now: number): boolean {
    return now - this._startedAt < this._shutdownTimeoutMs * ACCEPT_TIME_SHARE;
  }

  /** Whether the node should exit, even if requests are still in flight. */
  public isOver(now: number, { lastRequestAt, running }: DrainActivity): boolean {
    if (now >= this._startedAt + this._shutdownTimeoutMs - SHUTDOWN_MARGIN_MS) {
      return true;
    }
    const isIdle = running === 0 && now - lastRequestAt > MIN_IDLE_MS;
    return isIdle && now - this._startedAt > MIN_DRAIN_MS;
  }
}
