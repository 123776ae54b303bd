/**
 * Plans a seeded open-loop workload: the time, sender, prompt and output length of each request.
 * The same seed gives the same arrivals, so that policies are compared under equal load. Arrival
 * times don't depend on responses: a slow request never delays a later one.
 */
import type { PromptSegment } from '@tanagerdyke/contracts';
import { SeededRandom } from '@tanagerdyke/kernel';

/** A range of prompt lengths and its share of the requests. */
export interface LengthBand {
  readonly share: number;
  readonly minTokens: number;
  readonly maxTokens: number;
}

/** Parameters of a workload. Times are real milliseconds unless a caller scales the plan. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** At-most-once calls of plain services per second. */
  readonly callsPerSecond: number;
  readonly workspaces: readonly string[];
  /** Relative share of requests of each workspace; same order. */
  readonly workspaceShares: readonly number[];
  readonly availabilityZones: readonly string[];
  /** Distribution of prompt lengths. */
  readonly bands: readonly LengthBand[];
  readonly minOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Fraction of the prompts longer than a shared prefix that begin with one. */
  readonly sharedPrefixShare: number;
  /** Number of different shared prefixes. */
  readonly sharedPrefixes: number;
  readonly sharedPrefixTokens: number;
  /** Deadline of a request, excluding the allowance for its prefill. */
  readonly baseDeadlineMs: number;
  /** Allowance for prefill: added to the deadline for each thousand prompt tokens. */
  readonly deadlinePerThousandMs: number;
}

/** One in 50 prompts is longer than 100,000 tokens; lengths are log-uniform within a band. */
export const DEFAULT_LENGTH_BANDS: readonly LengthBand[] = [
  { share: 0.7, minTokens: 1_000, maxTokens: 4_000 },
  { share: 0.18, minTokens: 4_000, maxTokens: 16_000 },
  { share: 0.1, minTokens: 16_000, maxTokens: 100_000 },
  { share: 0.02, minTokens: 100_000, maxTokens: 1_000_000 },
];

export const DEFAULT_WORKLOAD: Omit<
  WorkloadOptions,
  'seed' | 'durationMs' | 'workspaces' | 'workspaceShares' | 'availabilityZones'
> = {
  requestsPerSecond: 20,
  callsPerSecond: 2,
  bands: DEFAULT_LENGTH_BANDS,
  minOutputTokens: 16,
  maxOutputTokens: 64,
  sharedPrefixShare: 0.3,
  sharedPrefixes: 12,
  sharedPrefixTokens: 800,
  baseDeadlineMs: 15_000,
  deadlinePerThousandMs: 150,
};

/** The kinds of requests. */
export enum ArrivalKind {
  Completion = 'completion',
  Call = 'call',
}

/** A planned request. */
export interface Arrival {
  readonly index: number;
  readonly kind: ArrivalKind;
  /** Send time since the start of the run. */
  readonly atMs: number;
  readonly workspace: string;
  readonly availabilityZone: string;
  readonly prompt: readonly PromptSegment[];
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly deadlineMs: number;
}

const MS_PER_SECOND = 1_000;
const THOUSAND_TOKENS = 1_000;

/** The arrivals of a workload, ordered by time. */
export function planWorkload(options: WorkloadOptions): readonly Arrival[] {
  const random = new SeededRandom(options.seed);
  const completions = planArrivals(options, random, ArrivalKind.Completion);
  const calls = planArrivals(options, random, ArrivalKind.Call);
  return [...completions, ...calls]
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, index) => ({ ...arrival, index }));
}

function planArrivals(
  options: WorkloadOptions,
  random: SeededRandom,
  kind: ArrivalKind,
): readonly Arrival[] {
  const perSecond =
    kind === ArrivalKind.Completion ? options.requestsPerSecond : options.callsPerSecond;
  const arrivals: Arrival[] = [];
  let atMs = drawGapMs(random, perSecond);
  while (atMs < options.durationMs) {
    arrivals.push(planArrival(options, random, kind, atMs, arrivals.length));
    atMs += drawGapMs(random, perSecond);
  }
  return arrivals;
}

/** Draws the time to the next arrival of a Poisson process. */
function drawGapMs(random: SeededRandom, perSecond: number): number {
  return perSecond === 0
    ? Number.POSITIVE_INFINITY
    : (-Math.log(1 - random.next()) / perSecond) * MS_PER_SECOND;
}

function planArrival(
  options: WorkloadOptions,
  random: SeededRandom,
  kind: ArrivalKind,
  atMs: number,
  index: number,
): Arrival {
  const { availabilityZones, workspaces } = options;
  const workspace = workspaces[chooseByShare(random, options.workspaceShares)] ?? '';
  const band =
    options.bands[
      chooseByShare(
        random,
        options.bands.map(({ share }) => share),
      )
    ];
  const promptTokens = drawLength(random, band);
  const outputRange = options.maxOutputTokens - options.minOutputTokens + 1;
  return {
    index,
    kind,
    atMs,
    workspace,
    availabilityZone: availabilityZones[random.integer(availabilityZones.length)] ?? '',
    prompt: drawPrompt(options, random, `${options.seed}/${kind}/${index}`, promptTokens),
    promptTokens,
    maxTokens: options.minOutputTokens + random.integer(outputRange),
    deadlineMs:
      options.baseDeadlineMs +
      Math.ceil((promptTokens / THOUSAND_TOKENS) * options.deadlinePerThousandMs),
  };
}

/** Draws an index with probability proportional to its share. */
function chooseByShare(random: SeededRandom, shares: readonly number[]): number {
  const total = shares.reduce((sum, share) => sum + share, 0);
  let remaining = random.next() * total;
  const chosen = shares.findIndex((share) => {
    remaining -= share;
    return remaining < 0;
  });
  return Math.max(0, chosen);
}

/** Draws a log-uniform prompt length. */
function drawLength(random: SeededRandom, band: LengthBand | undefined): number {
  const { minTokens, maxTokens } = band ?? { minTokens: 1, maxTokens: 1 };
  return Math.round(minTokens * (maxTokens / minTokens) ** random.next());
}

/** Draws the segments of a prompt; `name` makes the segment that is not shared unique. */
function drawPrompt(
  options: WorkloadOptions,
  random: SeededRandom,
  name: string,
  tokens: number,
): readonly PromptSegment[] {
  const shared = options.sharedPrefixTokens;
  const isShared = random.next() < options.sharedPrefixShare && tokens > shared;
  const prefix = random.integer(options.sharedPrefixes);
  return isShared
    ? [
        { digest: `shared/${prefix}`, tokens: shared },
        { digest: name, tokens: tokens - shared },
      ]
    : [{ digest: name, tokens }];
}
