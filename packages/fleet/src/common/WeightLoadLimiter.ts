/** Limits loads from the weight store to its rate by a token bucket. */
import type { Clock } from '@tanagerdyke/kernel';

const MS_PER_MINUTE = 60_000;

/**
 * The token bucket of one lease holder. It starts empty, because the previous holder may have used
 * up the share of the lease.
 */
export class WeightLoadLimiter {
  private _availableLoads = 0;
  private _refilledAt: number;

  constructor(
    private readonly _clock: Clock,
    private _loadsPerMinute: number,
  ) {
    this._refilledAt = _clock.now();
  }

  public setRate(loadsPerMinute: number): void {
    this._refill();
    this._loadsPerMinute = loadsPerMinute;
  }

  /** Whether the rate allows a load now; if so, the load is deducted. */
  public tryTake(): boolean {
    this._refill();
    if (this._availableLoads < 1) {
      return false;
    }
    this._availableLoads--;
    return true;
  }

  private _refill(): void {
    const now = this._clock.now();
    const newLoads = ((now - this._refilledAt) / MS_PER_MINUTE) * this._loadsPerMinute;
    this._refilledAt = now;
    this._availableLoads = Math.min(1, this._availableLoads + newLoads);
  }
}
