/** Tests that the overlay is symmetric, has a bounded degree and is connected. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { overlayNeighbours } from './RegularOverlay.js';

const SEED = 6;
const MAX_DEGREE = 4;
const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 2, maxLength: 60 });

describe('overlayNeighbours', () => {
  it('is symmetric and has a bounded degree', () => {
    fc.assert(
      fc.property(names, (all) => {
        for (const name of all) {
          const neighbours = overlayNeighbours(name, all);
          expect(neighbours.size).toBeLessThanOrEqual(MAX_DEGREE);
          for (const neighbour of neighbours) {
            expect(overlayNeighbours(neighbour, all)).toContain(name);
          }
        }
      }),
      { seed: SEED, numRuns: 30 },
    );
  });

  it('connects all members', () => {
    fc.assert(
      fc.property(names, (all) => {
        const reached = new Set(all.slice(0, 1));
        for (const name of reached) {
          overlayNeighbours(name, all).forEach((neighbour) => reached.add(neighbour));
        }
        expect(reached.size).toBe(all.length);
      }),
      { seed: SEED, numRuns: 30 },
    );
  });
});
