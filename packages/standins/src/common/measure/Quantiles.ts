/** Quantiles of samples, in the form in which measurements report them. */

export interface Quantiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

const DECIMALS = 2;

/** The nearest-rank quantile for a share between 0 and 1; NaN without samples. */
export function quantile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  const rank = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, rank)] ?? Number.NaN;
}

export function quantilesOf(samples: readonly number[]): Quantiles {
  return {
    count: samples.length,
    p50: rounded(quantile(samples, 0.5)),
    p95: rounded(quantile(samples, 0.95)),
    p99: rounded(quantile(samples, 0.99)),
  };
}

/** Rounds to the precision of the report. */
export function rounded(value: number): number {
  return Number(value.toFixed(DECIMALS));
}
