/**
 * Which targets a request may reach, and which nodes may relay it, by the regions that its route and
 * its workspace allow. Load pattern: all targets of the allowed regions are full, cold or gone while
 * those of other regions are idle; the request must not reach these, whichever way it is placed.
 */
import type { CallerWorkspace, ForwardRoute, TargetEntry } from '../Messages.js';

/** Regions that a request may reach; `undefined` when all are allowed. */
export type AllowedRegions = readonly string[] | undefined;

/** The regions that both the route and the workspace of a request allow. */
export function allowedRegionsOf(
  { allowedRegions: ofRoute }: Pick<ForwardRoute, 'allowedRegions'>,
  workspace: Pick<CallerWorkspace, 'allowedRegions'> | undefined,
): AllowedRegions {
  const ofWorkspace = workspace?.allowedRegions;
  return ofRoute === undefined || ofWorkspace === undefined
    ? (ofRoute ?? ofWorkspace)
    : ofRoute.filter((region) => ofWorkspace.includes(region));
}

/** The targets that a request may reach; one in a zone of unknown region only if all are allowed. */
export function filterCandidates(
  targets: readonly TargetEntry[],
  allowed: AllowedRegions,
  regionByZone: ReadonlyMap<string, string>,
): readonly TargetEntry[] {
  return allowed === undefined
    ? targets
    : targets.filter(({ availabilityZone }) =>
        isRegionAllowed(regionByZone.get(availabilityZone), allowed),
      );
}

export function isRegionAllowed(region: string | undefined, allowed: AllowedRegions): boolean {
  return allowed === undefined || (region !== undefined && allowed.includes(region));
}
