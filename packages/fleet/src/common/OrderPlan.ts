/**
 * Derives orders from the configuration in force and the load reports of engines: first load the
 * versions that an engine should have, then unload those that nothing refers to any more. A pure
 * function, so that every holder of the lease derives the same orders.
 */
import {
  type HostedTarget,
  ObjectKind,
  type ObjectSet,
  type Route,
  TargetKind,
  type Version,
} from '@tanagerdyke/configuration';
import { type EngineOrder, type LoadReport, OrderKind } from '@tanagerdyke/contracts';

/** An order without its fencing number. */
export interface PlannedOrder {
  readonly hostedTarget: HostedTarget;
  readonly order: Omit<EngineOrder, 'fencing'>;
}

/** The engines of a region that are configured with a version of a model. */
export function enginesOfModel(
  set: ObjectSet,
  model: string,
  region: string,
): readonly HostedTarget[] {
  return [...set.targets.values()].filter(
    ({ host, target }) =>
      host.region === region &&
      target.kind === TargetKind.Engine &&
      target.versions.some((version) => set.version(version)?.model === model),
  );
}

/** The orders that bring engines to the state of the configuration, loads first. */
export function planOrders(
  set: ObjectSet,
  model: string,
  engines: readonly HostedTarget[],
  reports: ReadonlyMap<string, LoadReport>,
): readonly PlannedOrder[] {
  const versions = set.ofKind<Version>(ObjectKind.Version).filter((each) => each.model === model);
  const loads = engines.flatMap((engine) => planLoads(engine, versions, reports));
  const mayUnload = areRoutedVersionsLoaded(set, versions, engines, reports);
  const unloads = mayUnload
    ? engines.flatMap((engine) => planUnloads(set, engine, versions, reports))
    : [];
  return [...loads, ...unloads];
}

function planLoads(
  engine: HostedTarget,
  versions: readonly Version[],
  reports: ReadonlyMap<string, LoadReport>,
): readonly PlannedOrder[] {
  const report = reports.get(engine.target.name);
  if (report === undefined) {
    return [];
  }
  return versions
    .filter(({ name }) => engine.target.versions.includes(name) && !report.versions.includes(name))
    .map(({ name }) => ({
      hostedTarget: engine,
      order: { kind: OrderKind.LoadVersion, version: name },
    }));
}

/**
 * Whether every routed version is loaded on its number of replicas, or on all its engines if those
 * are fewer. Until then old versions stay loaded, so that a change never reduces loaded capacity
 * below demand.
 */
function areRoutedVersionsLoaded(
  set: ObjectSet,
  versions: readonly Version[],
  engines: readonly HostedTarget[],
  reports: ReadonlyMap<string, LoadReport>,
): boolean {
  const routed = routedVersions(set);
  return versions
    .filter(({ name }) => routed.has(name))
    .every(({ name, replicas }) => {
      const assigned = engines.filter(({ target }) => target.versions.includes(name));
      const loaded = assigned.filter(
        ({ target }) => reports.get(target.name)?.versions.includes(name) === true,
      );
      return loaded.length >= Math.min(replicas, assigned.length);
    });
}

/** Unloads a version only if neither the engine's configuration nor any route refers to it. */
function planUnloads(
  set: ObjectSet,
  engine: HostedTarget,
  versions: readonly Version[],
  reports: ReadonlyMap<string, LoadReport>,
): readonly PlannedOrder[] {
  const report = reports.get(engine.target.name);
  const wanted = engine.target.versions;
  const hasAllWanted = wanted.every((version) => report?.versions.includes(version) === true);
  if (report === undefined || !hasAllWanted) {
    return [];
  }
  const routed = routedVersions(set);
  return versions
    .filter(({ name }) => report.versions.includes(name))
    .filter(({ name }) => !wanted.includes(name) && !routed.has(name))
    .map(({ name }) => ({
      hostedTarget: engine,
      order: { kind: OrderKind.UnloadVersion, version: name },
    }));
}

function routedVersions(set: ObjectSet): ReadonlySet<string> {
  const routes = set.ofKind<Route>(ObjectKind.Route);
  const used = routes.flatMap(({ versions }) => versions.filter(({ weight }) => weight > 0));
  return new Set(used.map(({ version }) => version));
}
