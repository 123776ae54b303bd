/**
 * Time to first token of an idle fleet by prompt length, interpolated linearly between probes.
 * Beyond the longest probe it is extrapolated with the last slope, which is the prefill speed of a
 * single engine.
 */

/** Result of the probes of one prompt length. The time is engine time. */
export interface IdlePoint {
  readonly tokens: number;
  readonly firstTokenMs: number;
}

/** Reference for the ratios of loaded to idle time. */
export class IdleCurve {
  constructor(public readonly points: readonly IdlePoint[]) {}

  /** Idle time to first token of a prompt of this length; NaN with fewer than two points. */
  public firstTokenMs(tokens: number): number {
    const { points } = this;
    const next = points.findIndex((point) => point.tokens >= tokens);
    const index = next < 0 ? points.length - 1 : Math.max(1, next);
    const [from, to] = [points[index - 1], points[index]];
    if (from === undefined || to === undefined) {
      return Number.NaN;
    }
    const slope = (to.firstTokenMs - from.firstTokenMs) / (to.tokens - from.tokens);
    return from.firstTokenMs + (tokens - from.tokens) * slope;
  }
}
