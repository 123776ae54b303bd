/** Process faults: kills, freezes and a rolling restart of the daemons. */
import { DisturbanceKind } from '../../common/prove/Evidence.js';
import type { Fault } from '../../common/prove/FaultSchedule.js';
import type { RunState } from './RunState.js';

const READY_OUTPUT = 'ready';

/** Kills a daemon and starts it again at the same address. */
export function killDaemon(run: RunState, { selector, durationMs }: Fault): Promise<void> {
  const index = selector % run.fleet.daemons.length;
  return runUnlessFaulty(run, `node-${index}`, async () => {
    const daemon = run.fleet.daemons[index];
    const disturbance = run.recordDisturbance(DisturbanceKind.Kill, index);
    await daemon?.end('SIGKILL');
    await run.fleet.clock.sleep(durationMs);
    disturbance.end();
    daemon?.start();
  });
}

/** Kills an engine or service and starts it again with empty state. */
export function killStandIn(
  run: RunState,
  { selector, durationMs }: Fault,
  kind: 'engine' | 'service',
): Promise<void> {
  const name = standInNameOf(run, kind, selector);
  return runUnlessFaulty(run, name, async () => {
    const process = run.fleet.standIn(name);
    await process?.end('SIGKILL');
    await run.fleet.clock.sleep(durationMs);
    process?.start();
    await process?.waitForOutput(READY_OUTPUT);
  });
}

/** Suspends a daemon by SIGSTOP and continues it by SIGCONT. */
export function freezeDaemon(run: RunState, { selector, durationMs }: Fault): Promise<void> {
  const index = selector % run.fleet.daemons.length;
  return runUnlessFaulty(run, `node-${index}`, async () => {
    const daemon = run.fleet.daemons[index];
    const disturbance = run.recordDisturbance(DisturbanceKind.Freeze, index);
    daemon?.signal('SIGSTOP');
    await run.fleet.clock.sleep(durationMs);
    daemon?.signal('SIGCONT');
    disturbance.end();
  });
}

/** Suspends an engine or service by SIGSTOP and continues it by SIGCONT. */
export function freezeStandIn(
  run: RunState,
  { selector, durationMs }: Fault,
  kind: 'engine' | 'service',
): Promise<void> {
  const name = standInNameOf(run, kind, selector);
  return runUnlessFaulty(run, name, async () => {
    const process = run.fleet.standIn(name);
    process?.signal('SIGSTOP');
    await run.fleet.clock.sleep(durationMs);
    process?.signal('SIGCONT');
  });
}

/** Restarts all daemons one after the other; each drains first. */
export async function restartDaemonsOneByOne(run: RunState): Promise<void> {
  for (const index of run.fleet.daemons.keys()) {
    await runUnlessFaulty(run, `node-${index}`, () => drainAndRestart(run, index));
  }
}

async function drainAndRestart(run: RunState, index: number): Promise<void> {
  const daemon = run.fleet.daemons[index];
  const disturbance = run.recordDisturbance(DisturbanceKind.Drain, index);
  await daemon?.end('SIGTERM');
  disturbance.end();
  daemon?.start();
  await run.fleet.waitForReady(run.fleet.ports.callers[index] ?? 0).catch(() => undefined);
}

function standInNameOf({ fleet }: RunState, kind: 'engine' | 'service', selector: number): string {
  const { engines, services } = fleet.ports;
  const count = kind === 'engine' ? engines.length : services.length;
  return `${kind}-${selector % count}`;
}

/** Runs a fault unless another fault of the same process is in progress. */
async function runUnlessFaulty(
  { faultyProcesses }: RunState,
  processName: string,
  runFault: () => Promise<void>,
): Promise<void> {
  if (faultyProcesses.has(processName)) {
    return;
  }
  faultyProcesses.add(processName);
  try {
    await runFault();
  } finally {
    faultyProcesses.delete(processName);
  }
}
