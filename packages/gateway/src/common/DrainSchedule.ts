/**
 * When a leaving node does what. Callers keep addresses for some seconds, so it still takes requests
 * at first; it stops early enough that the longest usual answers end before the process must.
 */

/** How long new requests are taken, as a share of the time until the forced end. */
const ACCEPT_SHARE = 0.3;
/** Callers learn of other addresses within this time. */
const MIN_DRAIN_MS = 2_500;
/** A node without requests for this long may end. */
const QUIET_MS = 1_000;
/** Time before the forced end at which the node ends by itself. */
const SHUTDOWN_MARGIN_MS = 700;

/** What a leaving node has to do. */
export interface DrainLoad {
  readonly running: number;
  /** When the last request came, on the clock. */
  readonly lastRequestAt: number;
}

/** The schedule of one drain; all times are on the node's clock. */
export class DrainSchedule {
  constructor(
    private readonly _startedAt: number,
    /** Time from the termination signal to the forced end. */
    private readonly _shutdownMs: number,
  ) {}

  /** Whether new requests are still taken. */
  public accepts(now: number): boolean {
    return now - this._startedAt < this._shutdownMs * ACCEPT_SHARE;
  }

  /** Whether the node ends, with or without work left. */
  public isOver(now: number, { lastRequestAt, running }: DrainLoad): boolean {
    if (now >= this._startedAt + this._shutdownMs - SHUTDOWN_MARGIN_MS) {
      return true;
    }
    const isQuiet = running === 0 && now - lastRequestAt > QUIET_MS;
    return isQuiet && now - this._startedAt > MIN_DRAIN_MS;
  }
}
