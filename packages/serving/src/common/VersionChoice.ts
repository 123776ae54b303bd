/**
 * Chooses the version that serves a request by the weights of its route. A version that no engine
 * is known to have loaded is skipped while another one is loaded, so that weights can safely be
 * published before the engines have loaded the versions.
 */
import type { Route } from '@tanagerdyke/configuration';

/**
 * The version at position `draw`, a number in [0, 1), in the cumulative weights of the usable
 * versions. The same draw gives the same version until the set of usable versions changes.
 */
export function chooseVersion(
  route: Pick<Route, 'versions'>,
  draw: number,
  isLoaded: (version: string) => boolean,
): string {
  const loaded = route.versions.filter(({ version }) => isLoaded(version));
  const weighted = loaded.filter(({ weight }) => weight > 0);
  const usable = [weighted, loaded, route.versions].find((each) => each.length > 0) ?? [];
  const totalWeight = usable.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = draw * totalWeight;
  for (const { version, weight } of usable) {
    remaining -= weight;
    if (remaining < 0) {
      return version;
    }
  }
  return usable[0]?.version ?? '';
}
