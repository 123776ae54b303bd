/**
 * One proof run: a fleet of real processes under a seeded load and a seeded schedule of faults, judged
 * by evidence from outside the daemons.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Ending } from '../../common/Ending.js';
import { DEFAULT_FLEET, type FleetSize } from '../../common/FleetPlan.js';
import type { Evidence } from '../../common/prove/Evidence.js';
import { type FaultKind, planFaults } from '../../common/prove/FaultSchedule.js';
import {
  isEntryDisturbed,
  computeFigures,
  type ProofFigures,
} from '../../common/prove/ProofFigures.js';
import { DEFAULT_WORKLOAD, type LengthBand, planWorkload } from '../../common/WorkloadPlan.js';
import { Fleet } from '../Fleet.js';
import { LoadRunner } from '../LoadRunner.js';
import { readRecords } from '../RecordFile.js';
import { FaultInjector } from './FaultInjector.js';
import { Monitor, RECONCILE_BOUND_MS } from './Monitor.js';
import { NAIVE_MECHANISM_VARIABLE } from './naive/NaiveMechanism.js';
import { toRequestEvidence } from './toRequestEvidence.js';
import { RunState } from './RunState.js';

const MS_PER_SECOND = 1_000;
const TIME_SCALE = 4;
const ENGINE_MEMORY_TOKENS = 200_000;
const HOST_LIST_LAG_MS = 20_000;
const REQUESTS_PER_SECOND = 6;
const CALLS_PER_SECOND = 3;
/** More prompts than in the workload proper need a gang, as those hold memory on several engines. */
const PROMPT_LENGTHS: readonly LengthBand[] = [
  { share: 0.64, minTokens: 1_000, maxTokens: 4_000 },
  { share: 0.2, minTokens: 4_000, maxTokens: 16_000 },
  { share: 0.1, minTokens: 16_000, maxTokens: 100_000 },
  { share: 0.06, minTokens: 100_000, maxTokens: 1_000_000 },
];
const EVIDENCE_FILE = 'evidence.json';
/** Lines of a daemon's log that tell of a violation or of a defect. */
const VIOLATION_PATTERN = /"message":"(invariant violated|defect)/;

/** What a run is asked for. */
export interface ProofOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly faults: readonly FaultKind[];
  /** Name of the mechanism that runs in its naive form. */
  readonly naive: string | undefined;
}

/** What a run found. */
export interface ProofResult {
  readonly faults: Readonly<Record<string, number>>;
  readonly figures: ProofFigures;
  /** Where the logs and records are. */
  readonly directory: string;
}

const FLEET_SIZE: FleetSize = {
  ...DEFAULT_FLEET,
  profile: { timeScale: TIME_SCALE, memoryTokens: ENGINE_MEMORY_TOKENS },
};

/** Runs and judges; all processes have ended when it resolves. */
export async function runProof(
  options: ProofOptions,
  onFleetCreated: (fleet: Fleet) => void,
): Promise<ProofResult> {
  const fleet = await Fleet.create({
    size: FLEET_SIZE,
    seed: options.seed,
    hostListLagMs: HOST_LIST_LAG_MS,
    hasFaultyLinks: true,
    environment: { [NAIVE_MECHANISM_VARIABLE]: options.naive ?? '' },
  });
  onFleetCreated(fleet);
  const run = new RunState(fleet, new LoadRunner(fleet), HOST_LIST_LAG_MS);
  try {
    await fleet.start();
    await fleet.publishPlan();
    await runUnderFaults(run, options);
    await fleet.stop();
  } finally {
    await fleet.kill();
  }
  const evidence = collectEvidence(run);
  writeFileSync(join(fleet.directory, EVIDENCE_FILE), JSON.stringify(evidence));
  logUnanswerable(evidence);
  const faults = Object.fromEntries(run.faultCounts);
  return { faults, figures: computeFigures(evidence), directory: fleet.directory };
}

async function runUnderFaults(
  run: RunState,
  { seed, seconds, faults }: ProofOptions,
): Promise<void> {
  const durationMs = seconds * MS_PER_SECOND;
  const { clock } = run.fleet;
  const arrivals = planWorkload({
    ...DEFAULT_WORKLOAD,
    seed,
    durationMs,
    bands: PROMPT_LENGTHS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    callsPerSecond: CALLS_PER_SECOND,
    workspaces: FLEET_SIZE.workspaces,
    workspaceShares: FLEET_SIZE.workspaces.map(() => 1),
    availabilityZones: FLEET_SIZE.availabilityZones,
  });
  const monitor = new Monitor(run);
  monitor.start();
  await Promise.all([
    run.load.run(arrivals, (outcome) => {
      run.requests.push(toRequestEvidence(outcome, run.now));
      if (outcome.ending === Ending.Crossed || outcome.ending === Ending.Failed) {
        logLine(
          `${outcome.ending}: ${outcome.kind ?? ''}: ${outcome.message ?? ''} ${outcome.key}`,
        );
      }
    }),
    new FaultInjector(run).inject(planFaults(seed, durationMs, faults)),
  ]);
  await clock.sleep(RECONCILE_BOUND_MS);
  for (const item of await monitor.fetchAllHeldIds()) {
    run.leakedItems.add(item);
  }
  await monitor.stop();
}

/** Everything that was seen, also of processes that were killed. */
function collectEvidence(run: RunState): Evidence {
  const { accepted, disturbances, fleet, leavings, requests, samples } = run;
  return {
    accepted,
    disturbances,
    leavings,
    requests,
    samples,
    records: fleet.standInNames.flatMap((name) => readRecords(fleet.recordFile(name))),
    leakedItems: [...run.leakedItems],
    violations: fleet.daemons
      .flatMap(({ name }) => readFileSync(fleet.logFile(name), 'utf8').split('\n'))
      .filter((line) => VIOLATION_PATTERN.test(line)).length,
  };
}

/** Tells how many requests no daemon could answer, as its host was killed or frozen. */
function logUnanswerable(evidence: Evidence): void {
  const unanswerable = evidence.requests.filter(
    (each) => !each.hasFinalAnswer && isEntryDisturbed(each, evidence),
  );
  logLine(`${unanswerable.length} requests had no answer because their entry was killed or frozen`);
}

function logLine(text: string): void {
  process.stderr.write(`${text}\n`);
}
