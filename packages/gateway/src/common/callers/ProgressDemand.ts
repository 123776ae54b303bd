/**
 * Demands that bytes move at a least rate, with a grace period for pauses.
 *
 * Load pattern: crowds that send or read a byte now and then, or stop half-way and stay. What counts
 * is how many bytes moved, so a byte now and then does not keep a connection.
 */

/** Rate and pause that are demanded. */
export interface ProgressLimits {
  readonly graceMs: number;
  readonly bytesPerSecond: number;
}

const MS_PER_SECOND = 1_000;

/** The time that is left to one transfer; bytes that move extend it, up to the grace period. */
export class ProgressDemand {
  private _leftMs: number;

  /** @param _bytes bytes that moved before the transfer */
  constructor(
    private readonly _limits: ProgressLimits,
    private _bytes = 0,
  ) {
    this._leftMs = _limits.graceMs;
  }

  /**
   * Records the bytes of the transfer so far. Returns false when it has been too slow.
   *
   * @param elapsedMs time since the last call in which the process ran
   */
  public advance(elapsedMs: number, bytes: number): boolean {
    const { bytesPerSecond, graceMs } = this._limits;
    const gainedMs = ((bytes - this._bytes) * MS_PER_SECOND) / bytesPerSecond;
    this._bytes = bytes;
    this._leftMs = Math.min(graceMs, this._leftMs - elapsedMs + gainedMs);
    return this._leftMs > 0;
  }
}
