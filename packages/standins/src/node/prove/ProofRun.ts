/**
 * Runs a whole fleet of real processes on loopback under a seeded load and a seeded schedule of
 * faults, and checks the invariants of the system by evidence that is collected outside the daemons.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { DEFAULT_FLEET, type FleetSize } from '../../common/FleetPlan.js';
import { OutcomeKind } from '../../common/OutcomeKind.js';
import type { Evidence } from '../../common/prove/Evidence.js';
import { type FaultKind, planFaults } from '../../common/prove/FaultSchedule.js';
import {
  computeFigures,
  isEntryDisturbed,
  type ProofFigures,
} from '../../common/prove/ProofFigures.js';
import { DEFAULT_WORKLOAD, type LengthBand, planWorkload } from '../../common/WorkloadPlan.js';
import { Fleet } from '../Fleet.js';
import { LoadRunner } from '../LoadRunner.js';
import { readRecords } from '../RecordFile.js';
import { FaultInjector } from './FaultInjector.js';
import { Monitor, RECONCILE_BOUND_MS } from './Monitor.js';
import { NAIVE_MECHANISM_VARIABLE } from './naive/NaiveMechanism.js';
import { RunState } from './RunState.js';
import { toRequestEvidence } from './toRequestEvidence.js';

const MS_PER_SECOND = 1_000;
const TIME_SCALE = 4;
const ENGINE_MEMORY_TOKENS = 200_000;
const HOST_LIST_LAG_MS = 20_000;
const REQUESTS_PER_SECOND = 6;
const CALLS_PER_SECOND = 3;
/** More prompts than by default need a gang, as a gang holds memory on several engines. */
const PROMPT_LENGTHS: readonly LengthBand[] = [
  { share: 0.64, minTokens: 1_000, maxTokens: 4_000 },
  { share: 0.2, minTokens: 4_000, maxTokens: 16_000 },
  { share: 0.1, minTokens: 16_000, maxTokens: 100_000 },
  { share: 0.06, minTokens: 100_000, maxTokens: 1_000_000 },
];
const EVIDENCE_FILE = 'evidence.json';
/** Matches the log lines of a daemon that report a violated invariant or a defect. */
const VIOLATION_PATTERN = /"message":"(invariant violated|defect)/;

export interface ProofOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly faults: readonly FaultKind[];
  /** Name of the mechanism to replace by its naive implementation, if any. */
  readonly naive: string | undefined;
}

/** The result of a run. */
export interface ProofResult {
  /** Number of injected faults of each kind. */
  readonly faults: Readonly<Record<string, number>>;
  readonly figures: ProofFigures;
  /** Directory with the logs, the records of the stand-ins and `evidence.json`. */
  readonly directory: string;
}

const FLEET_SIZE: FleetSize = {
  ...DEFAULT_FLEET,
  profile: { timeScale: TIME_SCALE, memoryTokens: ENGINE_MEMORY_TOKENS },
};

/** Performs one run; all processes have ended when it resolves. */
export async function runProof(options: ProofOptions): Promise<ProofResult> {
  const fleet = await Fleet.create({
    size: FLEET_SIZE,
    seed: options.seed,
    hostListLagMs: HOST_LIST_LAG_MS,
    hasFaultyLinks: true,
    environment: { [NAIVE_MECHANISM_VARIABLE]: options.naive ?? '' },
  });
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
      if (outcome.ending === OutcomeKind.Crossed || outcome.ending === OutcomeKind.Failed) {
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

/** Collects the evidence of a run, including the records and logs of killed processes. */
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

/** Logs how many requests got no final answer because their entry daemon was killed or frozen. */
function logUnanswerable(evidence: Evidence): void {
  const unanswerable = evidence.requests.filter(
    (each) => !each.hasFinalAnswer && isEntryDisturbed(each, evidence),
  );
  logLine(
    `${unanswerable.length} requests had no answer because their entry daemon was killed or frozen`,
  );
}

function logLine(text: string): void {
  process.stderr.write(`${text}\n`);
}
