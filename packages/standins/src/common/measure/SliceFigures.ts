/**
 * Computes the figures of a slice, one run of a workload under one policy. Times are engine time.
 */
import type { IdleCurve } from './IdleCurve.js';
import { type Quantiles, quantile, quantilesOf, rounded } from './Quantiles.js';

/** Prompt length bands by which figures are reported, in thousands of tokens. */
export enum LengthBandName {
  UpTo4k = '1-4k',
  UpTo16k = '4-16k',
  UpTo100k = '16-100k',
  Over100k = 'over-100k',
}

/** Largest prompt of each band, in tokens. */
const BAND_LIMITS: readonly (readonly [LengthBandName, number])[] = [
  [LengthBandName.UpTo4k, 4_000],
  [LengthBandName.UpTo16k, 16_000],
  [LengthBandName.UpTo100k, 100_000],
  [LengthBandName.Over100k, Number.POSITIVE_INFINITY],
];

/** Outcome and latencies of one request. */
export interface Sample {
  readonly promptTokens: number;
  readonly workspace: string;
  /** Arrival time since the start of the slice. */
  readonly atMs: number;
  readonly isAnswered: boolean;
  /** Whether the request was answered within its deadline. */
  readonly isTimely: boolean;
  /** Whether the request ended as not run. */
  readonly isRefused: boolean;
  readonly firstTokenMs: number;
  /** Times between consecutive events of the answer stream. */
  readonly gapsMs: readonly number[];
}

/** The figures of the requests in one prompt length band. */
export interface BandFigures {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly firstTokenMs: Quantiles;
  /** Ratio of the time to first token to that of an idle fleet. */
  readonly ratio: Quantiles;
}

/** The figures of all requests of a slice. */
export interface SliceFigures {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Share of requests answered within their deadline. */
  readonly goodput: number;
  readonly gapP95Ms: number;
  readonly bands: Readonly<Record<LengthBandName, BandFigures>>;
}

/** The band of a prompt of this length. */
export function bandOf(promptTokens: number): LengthBandName {
  const found = BAND_LIMITS.find(([, limit]) => promptTokens <= limit);
  return found?.[0] ?? LengthBandName.Over100k;
}

export function figuresOf(samples: readonly Sample[], idle: IdleCurve): SliceFigures {
  const answered = samples.filter(({ isAnswered }) => isAnswered).length;
  const refused = samples.filter(({ isRefused }) => isRefused).length;
  const timely = samples.filter(({ isTimely }) => isTimely).length;
  return {
    sent: samples.length,
    answered,
    refused,
    failed: samples.length - answered - refused,
    goodput: rounded(timely / Math.max(1, samples.length)),
    gapP95Ms: rounded(
      quantile(
        samples.flatMap(({ gapsMs }) => gapsMs),
        0.95,
      ),
    ),
    bands: {
      [LengthBandName.UpTo4k]: bandFiguresOf(samples, LengthBandName.UpTo4k, idle),
      [LengthBandName.UpTo16k]: bandFiguresOf(samples, LengthBandName.UpTo16k, idle),
      [LengthBandName.UpTo100k]: bandFiguresOf(samples, LengthBandName.UpTo100k, idle),
      [LengthBandName.Over100k]: bandFiguresOf(samples, LengthBandName.Over100k, idle),
    },
  };
}

function bandFiguresOf(
  samples: readonly Sample[],
  band: LengthBandName,
  idle: IdleCurve,
): BandFigures {
  const inBand = samples.filter(({ promptTokens }) => bandOf(promptTokens) === band);
  const answered = inBand.filter(({ isAnswered }) => isAnswered);
  return {
    sent: inBand.length,
    answered: answered.length,
    refused: inBand.filter(({ isRefused }) => isRefused).length,
    firstTokenMs: quantilesOf(answered.map(({ firstTokenMs }) => firstTokenMs)),
    ratio: quantilesOf(
      answered.map(
        ({ firstTokenMs, promptTokens }) => firstTokenMs / idle.firstTokenMs(promptTokens),
      ),
    ),
  };
}
