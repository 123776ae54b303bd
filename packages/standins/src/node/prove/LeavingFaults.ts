/** Engines that are marked as leaving by one of the three sources, and return later. */
import { HostStatus } from '@tanagerdyke/contracts';
import {
  type ConfigurationObject,
  HostIntent,
  type ObjectChange,
  ObjectKind,
} from '@tanagerdyke/configuration';
import type { Fault } from '../../common/prove/FaultSchedule.js';
import { postAdminRequest } from './postAdminRequest.js';
import { publishUntilAccepted } from './OperatorFaults.js';
import type { RunState } from './RunState.js';

/** An operator marks the host of an engine as leaving in the configuration. */
export async function leaveByConfiguration(
  run: RunState,
  { selector, durationMs }: Fault,
): Promise<void> {
  const engine = engineOf(run, selector);
  const isAccepted = await publishUntilAccepted(run, (objects) =>
    setIntent(objects, engine, HostIntent.Leaving),
  );
  const period = isAccepted ? run.recordLeaving(`engine-${engine}`, run.now) : undefined;
  await run.fleet.clock.sleep(durationMs);
  period?.end();
  await publishUntilAccepted(run, (objects) => setIntent(objects, engine, HostIntent.Active));
}

/** The platform marks the host of an engine as leaving; its host list shows this after a delay. */
export async function leaveByHostList(
  run: RunState,
  { selector, durationMs }: Fault,
): Promise<void> {
  const engine = engineOf(run, selector);
  const { hostList } = run.fleet.ports;
  const name = `engine-host-${engine}`;
  const entry = { name, address: '127.0.0.1', availabilityZone: '', status: HostStatus.Leaving };
  await postAdminRequest(hostList, 'hosts', [entry]);
  const period = run.recordLeaving(`engine-${engine}`, run.now + run.hostListLagMs);
  await run.fleet.clock.sleep(durationMs);
  period.end();
  await postAdminRequest(hostList, 'hosts', []);
}

/** An engine reports that it is leaving. */
export async function leaveByTarget(run: RunState, { selector, durationMs }: Fault): Promise<void> {
  const engine = engineOf(run, selector);
  const port = run.fleet.ports.engines[engine] ?? 0;
  const name = `engine-${engine}`;
  if (run.faultyProcesses.has(name)) {
    return;
  }
  run.faultyProcesses.add(name);
  await postAdminRequest(port, 'leaving', {});
  const period = run.recordLeaving(name, run.now);
  await run.fleet.clock.sleep(durationMs);
  period.end();
  await postAdminRequest(port, 'staying', {});
  run.faultyProcesses.delete(name);
}

function engineOf({ fleet }: RunState, selector: number): number {
  return selector % fleet.ports.engines.length;
}

function setIntent(
  objects: readonly ConfigurationObject[],
  engine: number,
  intent: HostIntent,
): ObjectChange {
  const upserts = objects.flatMap((each) =>
    each.kind === ObjectKind.Host && each.name === `engine-host-${engine}`
      ? [{ ...each, intent }]
      : [],
  );
  return { upserts, removals: [] };
}
