/**
 * Divides the engines of a service into cells and selects the nodes that coordinate each cell. The
 * placements of a cell are decided by one node, on one account of its engines, since nodes that
 * decide on delayed updates about each other all choose the same engine. A small fleet has one cell;
 * in a large one each availability zone is a cell, so that neither the load of a coordinator nor the
 * traffic between zones grows with the fleet.
 */
import { type Member, MemberStatus, rankByRendezvous } from '@tanagerdyke/mesh';
import type { TargetEntry } from '../Messages.js';

/** The engines of a service whose placements are coordinated together. */
export interface EngineCell {
  readonly service: string;
  /** `undefined` if the cell has the engines of all zones. */
  readonly availabilityZone: string | undefined;
}

/** Most engines in one cell that spans zones. */
const MAX_ENGINES_ACROSS_ZONES = 64;
/** Coordinators per cell: the first decides, the second keeps the account to take over. */
const COORDINATORS_PER_CELL = 2;

/** The cells of a service. */
export function cellsOf(service: string, engines: readonly TargetEntry[]): readonly EngineCell[] {
  if (engines.length <= MAX_ENGINES_ACROSS_ZONES) {
    return [{ service, availabilityZone: undefined }];
  }
  const zones = new Set(engines.map(({ availabilityZone }) => availabilityZone));
  return [...zones].sort().map((availabilityZone) => ({ service, availabilityZone }));
}

/** Identifies a cell among those of all services. */
export function keyOfCell({ availabilityZone, service }: EngineCell): string {
  return `${service}/${availabilityZone ?? ''}`;
}

/** Whether a cell has the engine. */
export function isInCell({ availabilityZone }: EngineCell, engine: TargetEntry): boolean {
  return availabilityZone === undefined || availabilityZone === engine.availabilityZone;
}

/**
 * The coordinators of a cell, in the order in which nodes ask them: members of its zone that serve
 * requests, or of any zone if its own has none.
 */
export function coordinatorsOf(cell: EngineCell, members: readonly Member[]): readonly Member[] {
  const { availabilityZone } = cell;
  const serving = members.filter(
    ({ state, status }) => status === MemberStatus.Alive && state.isReady && !state.isDraining,
  );
  const ofZone = serving.filter(
    (member) => availabilityZone === undefined || member.availabilityZone === availabilityZone,
  );
  const candidates = ofZone.length > 0 ? ofZone : serving;
  const byName = new Map(candidates.map((member) => [member.name, member]));
  return rankByRendezvous(keyOfCell(cell), [...byName.keys()])
    .slice(0, COORDINATORS_PER_CELL)
    .flatMap((name) => byName.get(name) ?? []);
}
