/** Summarises each figure over the seeds of a measurement by its median, minimum and maximum. */
import { quantile, rounded } from './Quantiles.js';
import { LengthBandName, type SliceFigures } from './SliceFigures.js';

/** The figures of one slice, written as one JSON line. */
export interface SliceLine {
  readonly series: string;
  readonly user: string;
  readonly policy: string;
  readonly seed: number;
  /** Request rate as a share of the capacity of the fleet. */
  readonly load: number;
  readonly figures: SliceFigures;
  /**
   * Ratio of the time to first token of short prompts with long prompts in the load to that
   * without, at p50, p95 and p99.
   */
  readonly slowdown?: readonly number[];
  /** Processor time of all daemons per request, without what they use when idle. */
  readonly processorMsPerRequest: number;
  /** Share of the prompt tokens that the engines found in their prefix caches. */
  readonly prefixHitShare: number;
  /** Ratio of the small workspace's p95 during the flood to its p95 without other load. */
  readonly fairness?: number;
  /** Time until short prompts were back at normal latency; -1 if never within the slice. */
  readonly recoveryMs?: number;
}

/** A line with the commit and the command that produced it. */
export interface RawLine extends SliceLine {
  readonly commit: string;
  readonly command: string;
}

/** Statistics of one figure over several seeds. */
export interface SeedStatistics {
  readonly median: number;
  readonly min: number;
  readonly max: number;
  readonly seeds: number;
}

/** The figures of one policy in one series at one load, at one commit. */
export interface PolicySummary {
  readonly commit: string;
  readonly series: string;
  readonly user: string;
  readonly policy: string;
  readonly load: number;
  readonly figures: Readonly<Record<string, SeedStatistics>>;
}

type FigureReader = (line: SliceLine) => number | undefined;

/** Position of p95 in `slowdown`. */
const P95_INDEX = 1;
const FIGURE_READERS: Readonly<Record<string, FigureReader>> = {
  'slowdown p95': ({ slowdown }) => slowdown?.[P95_INDEX],
  ...Object.fromEntries(
    Object.values(LengthBandName).map((band): [string, FigureReader] => [
      `ratio p95 ${band}`,
      ({ figures }) => figures.bands[band].ratio.p95,
    ]),
  ),
  'gap p95 ms': ({ figures }) => figures.gapP95Ms,
  goodput: ({ figures }) => figures.goodput,
  'refused share': ({ figures }) => rounded(figures.refused / figures.sent),
  failed: ({ figures }) => figures.failed,
  'CPU ms a request': ({ processorMsPerRequest }) => processorMsPerRequest,
  'prefix hits': ({ prefixHitShare }) => prefixHitShare,
  fairness: ({ fairness }) => fairness,
  'recovery ms': ({ recoveryMs }) => recoveryMs,
};

/** Groups lines by series, user, load, policy and commit, and sorts the summaries by these. */
export function summarise(lines: readonly RawLine[]): readonly PolicySummary[] {
  const groups = new Map<string, RawLine[]>();
  for (const line of lines) {
    const key = [line.series, line.user, line.load, line.policy, line.commit].join('/');
    groups.set(key, [...(groups.get(key) ?? []), line]);
  }
  return [...groups.entries()]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([, group]) => summariseGroup(group));
}

function summariseGroup(group: readonly RawLine[]): PolicySummary {
  const [first] = group;
  const figures: Record<string, SeedStatistics> = {};
  for (const [name, read] of Object.entries(FIGURE_READERS)) {
    const values = group
      .map(read)
      .filter((value) => value !== undefined)
      .filter(Number.isFinite);
    if (values.length > 0) {
      figures[name] = statisticsOf(values);
    }
  }
  return {
    commit: first?.commit ?? '',
    series: first?.series ?? '',
    user: first?.user ?? '',
    policy: first?.policy ?? '',
    load: first?.load ?? 0,
    figures,
  };
}

function statisticsOf(values: readonly number[]): SeedStatistics {
  return {
    median: quantile(values, 0.5),
    min: Math.min(...values),
    max: Math.max(...values),
    seeds: values.length,
  };
}
