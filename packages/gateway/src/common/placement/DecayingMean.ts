/**
 * A mean of recent samples that loses weight with time. One sample moves it by a bounded step, so
 * that a single odd value has little effect. Used with logarithms, so that steps are factors.
 */

/**
 * Samples beyond this weight replace older ones, so that the mean follows a change. At 30, answers
 * that changed three seconds before a burst were still estimated by the earlier ones in it.
 */
const MAX_WEIGHT = 10;

export class DecayingMean {
  private _mean = 0;
  private _weight = 0;
  private _at = 0;

  constructor(
    /** Time after which the weight of the samples has halved. */
    private readonly _halfLifeMs: number,
    /** Most that the distance of one sample from the mean counts. */
    private readonly _maxStep: number,
  ) {}

  public get mean(): number {
    return this._mean;
  }

  /** Number of samples that the mean stands for, less what their age took from it. */
  public weightAt(now: number): number {
    return this._weight * 2 ** ((this._at - now) / this._halfLifeMs);
  }

  /** Sets the mean to a first sample, for values of which nothing is assumed before. */
  public start(sample: number, now: number): void {
    this._mean = sample;
    this._weight = 1;
    this._at = now;
  }

  /** @param leastPart least part of the distance to the sample by which the mean moves */
  public add(sample: number, now: number, leastPart = 0): void {
    const weight = this.weightAt(now);
    const distance = Math.min(this._maxStep, Math.max(-this._maxStep, sample - this._mean));
    this._mean += distance * Math.max(leastPart, 1 / (weight + 1));
    this._weight = Math.min(MAX_WEIGHT, weight + 1);
    this._at = now;
  }
}
