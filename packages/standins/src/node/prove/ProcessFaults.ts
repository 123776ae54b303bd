/** Faults of processes: kills, freezes and a rolling restart. */
import { DisturbanceKind } from '../../common/prove/Evidence.js';
import type { Fault } from '../../common/prove/FaultSchedule.js';
import type { RunState } from './RunState.js';

const READY_OUTPUT = 'ready';

/** Kills a daemon and starts it again at the same address. */
export function killDaemon(run: RunState, { selector, durationMs }: Fault): Promise<void> {
  const index = selector % run.fleet.daemons.length;
  return unlessFaulty(run, `node-${index}`, async () => {
    const daemon = run.fleet.daemons[index];
    const disturbance = run.recordDisturbance(DisturbanceKind.Kill, index);
    await daemon?.end('SIGKILL');
    await run.fleet.clock.sleep(durationMs);
    disturbance.end();
    daemon?.start();
  });
}

/** Kills a target and starts it again, with nothing that it knew. */
export function killStandIn(
  run: RunState,
  { selector, durationMs }: Fault,
  kind: 'engine' | 'service',
): Promise<void> {
  const name = standInNameOf(run, kind, selector);
  return unlessFaulty(run, name, async () => {
    const process = run.fleet.standIn(name);
    await process?.end('SIGKILL');
    await run.fleet.clock.sleep(durationMs);
    process?.start();
    await process?.waitForOutput(READY_OUTPUT);
  });
}

export function freezeDaemon(run: RunState, { selector, durationMs }: Fault): Promise<void> {
  const index = selector % run.fleet.daemons.length;
  return unlessFaulty(run, `node-${index}`, async () => {
    const daemon = run.fleet.daemons[index];
    const disturbance = run.recordDisturbance(DisturbanceKind.Freeze, index);
    daemon?.signal('SIGSTOP');
    await run.fleet.clock.sleep(durationMs);
    daemon?.signal('SIGCONT');
    disturbance.end();
  });
}

export function freezeStandIn(
  run: RunState,
  { selector, durationMs }: Fault,
  kind: 'engine' | 'service',
): Promise<void> {
  const name = standInNameOf(run, kind, selector);
  return unlessFaulty(run, name, async () => {
    const process = run.fleet.standIn(name);
    process?.signal('SIGSTOP');
    await run.fleet.clock.sleep(durationMs);
    process?.signal('SIGCONT');
  });
}

/** Replaces all daemons, one after the other, each by its own drain. */
export async function restartDaemonsOneByOne(run: RunState): Promise<void> {
  for (const index of run.fleet.daemons.keys()) {
    await unlessFaulty(run, `node-${index}`, () => drainAndRestart(run, index));
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

function standInNameOf({ fleet }: RunState, kind: 'engine' | 'service', subject: number): string {
  const { engines, services } = fleet.ports;
  const count = kind === 'engine' ? engines.length : services.length;
  return `${kind}-${subject % count}`;
}

async function unlessFaulty(
  { faultyProcesses }: RunState,
  part: string,
  act: () => Promise<void>,
): Promise<void> {
  if (faultyProcesses.has(part)) {
    return;
  }
  faultyProcesses.add(part);
  try {
    await act();
  } finally {
    faultyProcesses.delete(part);
  }
}
