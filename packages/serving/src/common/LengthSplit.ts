/**
 * Divides the engines of a version between short and long prompts. All nodes compute the same order
 * of the engines, of which the first ones are for long prompts. Their number follows the share of
 * long prompts in the prefill work, with hysteresis, so that small changes in the mix don't change
 * it.
 */
import type { Clock } from '@tanagerdyke/kernel';
import { LengthClass, TargetRole } from '@tanagerdyke/contracts';
import type { HostedTarget } from '@tanagerdyke/configuration';
import { rankByRendezvous } from '@tanagerdyke/mesh';

/** Time constant of the exponential average of the prefill work. */
const AVERAGE_TIME_CONSTANT_MS = 60_000;
/** Initial value of the averaged work, and the share of long prompts in it. */
const INITIAL_TOKENS = 1_000_000;
const INITIAL_LONG_SHARE = 0.5;
/** Capacity for long prompts relative to their share of the work. */
const LONG_CAPACITY_FACTOR = 1.1;
/** Difference from the ideal number of engines above which the split changes. */
const HYSTERESIS_ENGINES = 0.8;
/** Smallest share of the engines that remains for short prompts. */
const MIN_SHORT_SHARE = 0.25;

/** Computes the split from the requests of one entry node. */
export class LengthSplit {
  private _shortTokens = INITIAL_TOKENS * (1 - INITIAL_LONG_SHARE);
  private _longTokens = INITIAL_TOKENS * INITIAL_LONG_SHARE;
  private _decayedAt: number;
  private readonly _longEngineCounts = new Map<string, number>();

  constructor(private readonly _clock: Clock) {
    this._decayedAt = _clock.now();
  }

  /** Adds the prefill work of a request to the averages. */
  public recordRequest(lengthClass: LengthClass, prefillTokens: number): void {
    this._decay();
    if (isLongClass(lengthClass)) {
      this._longTokens += prefillTokens;
    } else {
      this._shortTokens += prefillTokens;
    }
  }

  /** Names of the engines for long prompts: all with that role, and general ones as needed. */
  public longTargets(version: string, engines: readonly HostedTarget[]): ReadonlySet<string> {
    const dedicated = engines.filter(({ target }) => target.role === TargetRole.Long);
    const general = engines
      .filter(({ target }) => target.role === TargetRole.General)
      .map(({ target }) => target.name);
    const missingCount = this._longEngineCount(version, engines.length) - dedicated.length;
    const selected = rankByRendezvous(`${version}/long`, general).slice(
      0,
      Math.max(0, missingCount),
    );
    return new Set([...dedicated.map(({ target }) => target.name), ...selected]);
  }

  private _longEngineCount(version: string, engineCount: number): number {
    this._decay();
    const share = this._longTokens / (this._longTokens + this._shortTokens);
    const maxLong = Math.floor(engineCount * (1 - MIN_SHORT_SHARE));
    const idealCount = Math.min(maxLong, Math.max(1, engineCount * share * LONG_CAPACITY_FACTOR));
    const currentCount = this._longEngineCounts.get(version) ?? Math.round(idealCount);
    const exceedsHysteresis = Math.abs(idealCount - currentCount) > HYSTERESIS_ENGINES;
    const nextCount = Math.min(
      engineCount,
      exceedsHysteresis ? Math.round(idealCount) : currentCount,
    );
    this._longEngineCounts.set(version, nextCount);
    return nextCount;
  }

  private _decay(): void {
    const now = this._clock.now();
    const factor = Math.exp((this._decayedAt - now) / AVERAGE_TIME_CONSTANT_MS);
    this._decayedAt = now;
    this._longTokens *= factor;
    this._shortTokens *= factor;
  }
}

/** Whether a length class counts as long for the split. */
export function isLongClass(lengthClass: LengthClass): boolean {
  return lengthClass === LengthClass.Long || lengthClass === LengthClass.Gang;
}
