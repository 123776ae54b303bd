/**
 * Runs the fleet of one user's site with its link delays, sends it load planned in engine time, and
 * reads the processor time of the daemons and the prefix cache hits of the engines.
 */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import * as z from 'zod';
import { routeOf, zoneOf } from '../../common/FleetPlan.js';
import { IdleCurve, type IdlePoint } from '../../common/measure/IdleCurve.js';
import { quantile, rounded } from '../../common/measure/Quantiles.js';
import type { Sample } from '../../common/measure/SliceFigures.js';
import { fleetSizeOf, type UserSite, WORKSPACES } from '../../common/measure/UserSite.js';
import { type Arrival, ArrivalKind } from '../../common/WorkloadPlan.js';
import { Fleet } from '../Fleet.js';
import { LoadRunner, type Outcome, OutcomeKind } from '../LoadRunner.js';

const MEASURE_DAEMON = fileURLToPath(new URL('./measureDaemon.js', import.meta.url));
/** Prompt lengths of the idle probes in tokens, with the number of probes of each. */
const IDLE_PROBES: readonly (readonly [number, number])[] = [
  [1_000, 9],
  [2_000, 9],
  [4_000, 9],
  [16_000, 5],
  [100_000, 2],
];
const WARM_UP_REQUESTS = 300;
const WARM_UP_TOKENS = 1_000;
const WARM_UP_GAP_MS = 40;
const WARM_UP_OUTPUT_TOKENS = 16;
/** Time over which the processor use of the idle daemons is averaged. */
const BACKGROUND_SAMPLE_MS = 2_000;
const PROBE_OUTPUT_TOKENS = 2;
const PROBE_DEADLINE_MS = 60_000;
/** Unit of the times in `/proc/<pid>/stat`. */
const CLOCK_TICK_MS = 10;
/** Positions of user and system time in `/proc/<pid>/stat`, counted after the program's name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

const prefillCountsSchema = z.object({ cachedTokens: z.number(), promptTokens: z.number() });

/**
 * Prompt tokens that engines have received since their start, and those of them found in the cache.
 */
export type PrefillCounts = z.infer<typeof prefillCountsSchema>;

/** A started and warmed-up fleet. */
export class MeasuredFleet {
  /** Processor time of all idle daemons per unit of real time. */
  private _idleProcessorShare = 0;

  private constructor(
    public readonly site: UserSite,
    public readonly fleet: Fleet,
    public readonly timeScale: number,
  ) {}

  /** Starts and warms up the fleet of a site. The code that starts it must stop it. */
  public static async start(
    site: UserSite,
    policies: readonly string[],
    seed: number,
    timeScale: number,
  ): Promise<MeasuredFleet> {
    const size = fleetSizeOf(site, policies, timeScale);
    const fleet = await Fleet.create({ size, seed, daemonScript: MEASURE_DAEMON });
    const measured = new MeasuredFleet(site, fleet, timeScale);
    try {
      await fleet.start();
      await fleet.publishPlan();
      measured._setLinks();
      await measured._warmUp(site.policy);
      return measured;
    } catch (error) {
      await fleet.kill();
      throw error;
    }
  }

  /** Sends arrivals planned in engine time and returns their samples in engine time. */
  public async run(policy: string, arrivals: readonly Arrival[]): Promise<readonly Sample[]> {
    const { timeScale, site } = this;
    const runner = new LoadRunner(this.fleet, {
      route: routeOf(policy),
      callerDelayMs: site.callerDelayMs / timeScale,
    });
    const scaled = arrivals.map((arrival) => ({
      ...arrival,
      atMs: arrival.atMs / timeScale,
      deadlineMs: Math.ceil(arrival.deadlineMs / timeScale),
    }));
    const outcomes = await runner.run(scaled);
    return outcomes.map((outcome) => this._toSample(outcome));
  }

  /** Measures the time to first token of the idle fleet with `run`, one request at a time. */
  public async measureIdle(policy: string): Promise<IdleCurve> {
    const points: IdlePoint[] = [];
    for (const [tokens, probes] of IDLE_PROBES) {
      const firstTokenTimesMs: number[] = [];
      for (let probe = 0; probe < probes; probe++) {
        const [sample] = await this.run(policy, [this._createProbe(policy, tokens, probe)]);
        firstTokenTimesMs.push(sample?.firstTokenMs ?? Number.NaN);
      }
      points.push({ tokens, firstTokenMs: rounded(quantile(firstTokenTimesMs, 0.5)) });
    }
    return new IdleCurve(points);
  }

  /** Processor time of the daemons during a slice, minus what they use when idle. */
  public async measureProcessorMs(action: () => Promise<void>): Promise<number> {
    const { clock } = this.fleet;
    const startedAt = clock.now();
    const before = this._processorMs();
    await action();
    const used = this._processorMs() - before;
    return used - this._idleProcessorShare * (clock.now() - startedAt);
  }

  private _processorMs(): number {
    return this.fleet.daemons.reduce((total, { pid }) => total + readProcessorMs(pid), 0);
  }

  /** Sum of the counts of all engines; an engine that is unreachable counts as zero. */
  public async prefillCounts(): Promise<PrefillCounts> {
    const total = { cachedTokens: 0, promptTokens: 0 };
    for (const port of this.fleet.ports.engines) {
      const counts = await readPrefillCounts(port);
      total.cachedTokens += counts.cachedTokens;
      total.promptTokens += counts.promptTokens;
    }
    return total;
  }

  /**
   * Sends requests to open connections and compile hot code, then measures the idle processor use.
   */
  private async _warmUp(policy: string): Promise<void> {
    const { clock } = this.fleet;
    const arrivals = Array.from({ length: WARM_UP_REQUESTS }, (_, index) => ({
      ...this._createProbe('warm-up', WARM_UP_TOKENS, index),
      atMs: index * WARM_UP_GAP_MS,
      maxTokens: WARM_UP_OUTPUT_TOKENS,
    }));
    await this.run(policy, arrivals);
    const before = this._processorMs();
    await clock.sleep(BACKGROUND_SAMPLE_MS);
    this._idleProcessorShare = (this._processorMs() - before) / BACKGROUND_SAMPLE_MS;
  }

  private _toSample(outcome: Outcome): Sample {
    const { arrival, ending, firstTokenMs, gapsMs, totalMs } = outcome;
    const isAnswered = ending === OutcomeKind.Answered;
    return {
      promptTokens: arrival.promptTokens,
      workspace: arrival.workspace,
      atMs: arrival.atMs * this.timeScale,
      isAnswered,
      isTimely: isAnswered && totalMs <= arrival.deadlineMs,
      isRefused: ending === OutcomeKind.NotRun,
      firstTokenMs: firstTokenMs * this.timeScale,
      gapsMs: gapsMs.map((gapMs) => gapMs * this.timeScale),
    };
  }

  private _createProbe(policy: string, tokens: number, probe: number): Arrival {
    const { fleet } = this;
    return {
      ...PROBE_DEFAULTS,
      workspace: WORKSPACES[probe % WORKSPACES.length] ?? '',
      availabilityZone: zoneOf(fleet.size, probe),
      prompt: [{ digest: `idle/${policy}/${tokens}/${probe}`, tokens }],
      promptTokens: tokens,
    };
  }

  private _setLinks(): void {
    const { fleet, site, timeScale } = this;
    const { peers } = fleet.ports;
    for (const [index, daemon] of fleet.daemons.entries()) {
      const others = peers.map((port, peer) => ({ port, zone: zoneOf(fleet.size, peer) }));
      const links = others
        .filter(({ zone }) => zone !== zoneOf(fleet.size, index))
        .map(({ port }) => ({
          peer: `127.0.0.1:${port}`,
          delayMs: site.zoneDelayMs / timeScale,
          jitterMs: site.zoneJitterMs / timeScale,
          loss: site.zoneLoss,
        }));
      daemon.writeLine(JSON.stringify({ links }));
    }
  }
}

const PROBE_DEFAULTS = {
  index: 0,
  kind: ArrivalKind.Completion,
  atMs: 0,
  maxTokens: PROBE_OUTPUT_TOKENS,
  deadlineMs: PROBE_DEADLINE_MS,
};

async function readPrefillCounts(port: number): Promise<PrefillCounts> {
  try {
    const { body } = await request(`http://127.0.0.1:${port}/admin/prefill`);
    return prefillCountsSchema.parse(await body.json());
  } catch {
    return { cachedTokens: 0, promptTokens: 0 };
  }
}

function readProcessorMs(pid: number | undefined): number {
  if (pid === undefined) {
    return 0;
  }
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * CLOCK_TICK_MS;
}
