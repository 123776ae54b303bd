/**
 * Chooses the nodes that poll the platform on behalf of all, and those that relay records to their
 * zone. Every node derives the same choice from the members. Calls to the platform are billed and
 * limited, so their number must not grow with the zones, and a mass failure of the platform must
 * not make every node poll it at the same moment.
 */
import { type Member, membersByZoneOf } from '@tanagerdyke/mesh';

/** Nodes of each zone, the first by name, that receive records first and relay them. */
const RELAYS_PER_ZONE = 2;
/** Nodes of all zones together that poll the platform. */
const MAX_POLLERS = 4;
/** A node that replaces unresponsive pollers starts later by this for each node ranked before it. */
const TAKEOVER_INTERVAL_MS = 100;
const MAX_TAKEOVER_DELAY_MS = 1_500;

/** The duties of a node. */
export interface PollingDuties {
  readonly isPoller: boolean;
  readonly isRelay: boolean;
  /** Additional time without a report of the pollers after which the node polls itself. */
  readonly takeoverDelayMs: number;
}

/** The duties of the node `self` among the live members, itself included. */
export function pollingDutiesOf(self: string, live: readonly Member[]): PollingDuties {
  const ranked = rankedNames(live);
  const relays = ranking(namesByZone(live).map((zone) => zone.slice(0, RELAYS_PER_ZONE)));
  const takeoverRank = Math.max(0, ranked.indexOf(self));
  return {
    isPoller: relays.slice(0, MAX_POLLERS).includes(self),
    isRelay: relays.includes(self),
    takeoverDelayMs: Math.min(MAX_TAKEOVER_DELAY_MS, takeoverRank * TAKEOVER_INTERVAL_MS),
  };
}

/** Names of the live members; those before another one poll rather than it. */
export function rankedNames(live: readonly Member[]): readonly string[] {
  return ranking(namesByZone(live));
}

/** The relays of all zones. */
export function relaysOf(live: readonly Member[]): readonly Member[] {
  return [...membersByZoneOf(live).values()].flatMap((members) =>
    [...members].sort((a, b) => (a.name < b.name ? -1 : 1)).slice(0, RELAYS_PER_ZONE),
  );
}

function namesByZone(live: readonly Member[]): readonly (readonly string[])[] {
  const zones = [...membersByZoneOf(live)].sort(([a], [b]) => (a < b ? -1 : 1));
  return zones.map(([, members]) => members.map(({ name }) => name).sort());
}

/** Names in turn from each zone: the first of all zones, then the second, and so on. */
function ranking(zones: readonly (readonly string[])[]): readonly string[] {
  const longest = Math.max(0, ...zones.map(({ length }) => length));
  return Array.from({ length: longest }, (_each, index) =>
    zones.flatMap((zone) => zone.slice(index, index + 1)),
  ).flat();
}
