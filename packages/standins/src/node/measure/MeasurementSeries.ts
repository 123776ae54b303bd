/**
 * The series of a measurement: the same arrivals under each policy in turn, with a pause between
 * them for the fleet to drain; rising load levels; a workspace that floods the fleet; and engines
 * that are killed at an interval.
 */
import type { IdleCurve } from '../../common/measure/IdleCurve.js';
import type { SliceLine } from '../../common/measure/PolicySummary.js';
import { quantile, rounded } from '../../common/measure/Quantiles.js';
import { figuresOf, LengthBandName, type Sample } from '../../common/measure/SliceFigures.js';
import { WORKSPACE_SHARES, WORKSPACES } from '../../common/measure/UserSite.js';
import { type Arrival, DEFAULT_WORKLOAD, planWorkload } from '../../common/WorkloadPlan.js';
import type { MeasuredFleet } from './MeasuredFleet.js';

/**
 * Request rate in engine time at which the average prefill of a request, over all length bands,
 * uses the full capacity of the fleet.
 */
const CAPACITY_REQUESTS_PER_SECOND = 23.3;
/** Load of the policy comparison, as a share of capacity. */
const COMPARED_LOAD = 0.8;
const LOAD_LEVELS = [0.5, 0.8, 1, 1.3, 2];
const LONG_TOKENS = 100_000;
const MS_PER_SECOND = 1_000;
/** Pause after each slice for the fleet to drain, in real time. */
const DRAIN_MS = 1_000;
/** Time after an overload within which latency must be back to normal. */
const RECOVERY_LIMIT_MS = 10_000;
const RECOVERY_WINDOW_MS = 2_000;
const FLOOD_LOAD = 1.2;
const SMALL_WORKSPACE = WORKSPACES.at(-1) ?? '';
const FLOODING_WORKSPACE = WORKSPACES[0] ?? '';
const SMALL_LOAD = 0.15;
const KILL_INTERVAL_MS = 10_000;
const DOWNTIME_MS = 5_000;

export interface SeriesOptions {
  readonly measured: MeasuredFleet;
  readonly idle: IdleCurve;
  /** Engine time of the arrivals in each slice. */
  readonly seconds: number;
  readonly onLine: (line: SliceLine) => void;
}

/** Runs the series on one fleet and emits their lines. */
export class MeasurementSeries {
  constructor(private readonly _options: SeriesOptions) {}

  /** Runs the same arrivals under each policy, with and without the long prompts. */
  public async compare(policies: readonly string[], seed: number): Promise<void> {
    const arrivals = this._planArrivals(seed, COMPARED_LOAD);
    const arrivalsWithoutLong = arrivals.filter(({ promptTokens }) => promptTokens <= LONG_TOKENS);
    for (const [index] of policies.entries()) {
      const policy = policies[(index + seed) % policies.length] ?? '';
      const withoutLong = await this._runSlice(policy, arrivalsWithoutLong);
      const mixed = await this._runSlice(policy, arrivals);
      const slowdown = slowdownOf(mixed.samples, withoutLong.samples);
      this._emitLine('compare', policy, seed, COMPARED_LOAD, { ...mixed, slowdown });
    }
  }

  /** Runs rising load levels, then measures the recovery time after the highest one. */
  public async overload(policy: string, seed: number): Promise<void> {
    for (const load of LOAD_LEVELS) {
      const slice = await this._runSlice(policy, this._planArrivals(seed, load));
      this._emitLine('overload', policy, seed, load, slice);
    }
    await this._measureRecovery(policy, seed);
  }

  /**
   * Runs the light load of a small workspace alone, then along with a flood from a large workspace.
   */
  public async fairness(policy: string, seed: number): Promise<void> {
    const small = this._planArrivals(seed, SMALL_LOAD)
      .filter(isShort)
      .map(assignTo(SMALL_WORKSPACE));
    const flood = this._planArrivals(seed + FLOOD_SEED_OFFSET, FLOOD_LOAD).map(
      assignTo(FLOODING_WORKSPACE),
    );
    const alone = await this._runSlice(policy, small);
    const withFlood = await this._runSlice(
      policy,
      [...small, ...flood].sort((a, b) => a.atMs - b.atMs),
    );
    const smallSamples = withFlood.samples.filter(({ workspace }) => workspace === SMALL_WORKSPACE);
    const fairness = rounded(
      shortPromptQuantile(smallSamples, 0.95) / shortPromptQuantile(alone.samples, 0.95),
    );
    this._emitLine('fairness', policy, seed, FLOOD_LOAD, { ...withFlood, fairness });
  }

  /** Runs load while one engine at a time is killed, and restarted after its downtime. */
  public async kills(policy: string, seed: number): Promise<void> {
    const abort = new AbortController();
    const killing = this._killEngines(abort.signal);
    const slice = await this._runSlice(policy, this._planArrivals(seed, COMPARED_LOAD));
    abort.abort();
    await killing;
    this._emitLine('kills', policy, seed, COMPARED_LOAD, slice);
  }

  private async _measureRecovery(policy: string, seed: number): Promise<void> {
    const [highest = 1] = LOAD_LEVELS.slice(-1);
    const overload = this._planArrivals(seed, highest);
    const durationMs = this._options.seconds * MS_PER_SECOND;
    const after = this._planArrivals(seed + 1, COMPARED_LOAD, RECOVERY_LIMIT_MS * 2).map(
      (arrival) => ({
        ...arrival,
        atMs: arrival.atMs + durationMs,
      }),
    );
    const slice = await this._runSlice(policy, [...overload, ...after]);
    const later = slice.samples.filter(({ atMs }) => atMs >= durationMs);
    const recoveryMs = recoveryMsOf(later, durationMs, this._options.idle);
    const recovery = { ...slice, samples: later, recoveryMs };
    this._emitLine('recovery', policy, seed, COMPARED_LOAD, recovery);
  }

  private async _killEngines(signal: AbortSignal): Promise<void> {
    const { fleet, timeScale } = this._options.measured;
    const { clock } = fleet;
    let index = 0;
    while (!signal.aborted) {
      const engine = fleet.standIn(`engine-${index % fleet.size.engines}`);
      await engine?.end('SIGKILL');
      await clock.sleep(DOWNTIME_MS / timeScale);
      engine?.start();
      await engine?.waitForOutput('ready');
      await clock.sleep((KILL_INTERVAL_MS - DOWNTIME_MS) / timeScale, signal);
      index++;
    }
  }

  private _planArrivals(
    seed: number,
    load: number,
    durationMs = this._options.seconds * MS_PER_SECOND,
  ): readonly Arrival[] {
    return planWorkload({
      ...DEFAULT_WORKLOAD,
      seed,
      durationMs,
      requestsPerSecond: CAPACITY_REQUESTS_PER_SECOND * load,
      callsPerSecond: 0,
      workspaces: WORKSPACES,
      workspaceShares: WORKSPACE_SHARES,
      availabilityZones: this._options.measured.site.availabilityZones,
    });
  }

  private async _runSlice(policy: string, arrivals: readonly Arrival[]): Promise<SliceResult> {
    const { measured } = this._options;
    const renamed = arrivals.map((arrival) => ({
      ...arrival,
      prompt: arrival.prompt.map((segment) => ({
        ...segment,
        digest: `${this._sliceCount}/${segment.digest}`,
      })),
    }));
    this._sliceCount++;
    const prefillBefore = await measured.prefillCounts();
    let samples: readonly Sample[] = [];
    const processorMs = await measured.measureProcessorMs(async () => {
      samples = await measured.run(policy, renamed);
    });
    const prefill = await measured.prefillCounts();
    await measured.fleet.clock.sleep(DRAIN_MS);
    const promptTokens = prefill.promptTokens - prefillBefore.promptTokens;
    const cachedTokens = prefill.cachedTokens - prefillBefore.cachedTokens;
    return {
      samples,
      processorMsPerRequest: rounded(processorMs / Math.max(1, samples.length)),
      prefixHitShare: rounded(cachedTokens / Math.max(1, promptTokens)),
    };
  }

  /**
   * Number of slices so far. It prefixes the prompt digests of the next slice, so that none finds
   * the prompts of an earlier one in the prefix caches.
   */
  private _sliceCount = 0;

  private _emitLine(
    series: string,
    policy: string,
    seed: number,
    load: number,
    { samples, ...others }: SliceResult,
  ): void {
    const { idle, measured, onLine } = this._options;
    const figures = figuresOf(samples, idle);
    onLine({ series, user: measured.site.user, policy, seed, load, figures, ...others });
  }
}

/** Added to the seed of the small workspace, so that the flood has other arrivals. */
const FLOOD_SEED_OFFSET = 1_000;
const SHORT_TOKENS = 4_000;
/** Largest p95 ratio to the idle time at which a window counts as normal. */
const MAX_NORMAL_RATIO = 1.5;

interface SliceResult {
  readonly samples: readonly Sample[];
  readonly processorMsPerRequest: number;
  readonly prefixHitShare: number;
  readonly slowdown?: readonly number[];
  readonly fairness?: number;
  readonly recoveryMs?: number;
}

function isShort({ promptTokens }: Pick<Sample, 'promptTokens'>): boolean {
  return promptTokens <= SHORT_TOKENS;
}

function assignTo(workspace: string): (arrival: Arrival) => Arrival {
  return (arrival) => ({ ...arrival, workspace });
}

function shortPromptQuantile(samples: readonly Sample[], share: number): number {
  const times = samples
    .filter((sample) => isShort(sample) && sample.isAnswered)
    .map(({ firstTokenMs }) => firstTokenMs);
  return quantile(times, share);
}

function slowdownOf(mixed: readonly Sample[], withoutLong: readonly Sample[]): readonly number[] {
  return [0.5, 0.95, 0.99].map((share) =>
    rounded(shortPromptQuantile(mixed, share) / shortPromptQuantile(withoutLong, share)),
  );
}

/**
 * Time from `fromMs` to the first window from which on all windows are normal; -1 if the last
 * window is not.
 */
function recoveryMsOf(samples: readonly Sample[], fromMs: number, idle: IdleCurve): number {
  const endMs = Math.max(...samples.map(({ atMs }) => atMs));
  let recoveredMs = -1;
  for (let atMs = fromMs; atMs < endMs; atMs += RECOVERY_WINDOW_MS) {
    const window = samples.filter(
      (sample) => isShort(sample) && sample.atMs >= atMs && sample.atMs < atMs + RECOVERY_WINDOW_MS,
    );
    const ratio = figuresOf(window, idle).bands[LengthBandName.UpTo4k].ratio.p95;
    const isNormal = window.every(({ isAnswered }) => isAnswered) && !(ratio > MAX_NORMAL_RATIO);
    recoveredMs = isNormal ? (recoveredMs < 0 ? atMs - fromMs : recoveredMs) : -1;
  }
  return recoveredMs;
}
