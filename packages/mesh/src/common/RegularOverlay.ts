/**
 * A random regular overlay of low degree over the live members, after the topology of the Streamr
 * Network performance paper (2020). Each ring is a pseudorandom cyclic order computed from the
 * names alone, so all nodes with the same members compute the same overlay without exchanging
 * messages.
 */
import { rankByRendezvous } from './Rendezvous.js';

/** Number of rings; the degree of the overlay is at most twice this number. */
const RINGS = 2;

/** The neighbours of `self` in all rings over `names`, which includes `self`. */
export function overlayNeighbours(self: string, names: readonly string[]): ReadonlySet<string> {
  const neighbours = new Set<string>();
  for (let ring = 0; ring < RINGS; ring++) {
    const order = rankByRendezvous(`overlay/${ring}`, names);
    const position = order.indexOf(self);
    for (const step of [-1, 1]) {
      const neighbour = order.at((position + step) % order.length);
      if (neighbour !== undefined && neighbour !== self) {
        neighbours.add(neighbour);
      }
    }
  }
  return neighbours;
}
