/** Replays callers of one zone whose engines are full or gone. */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { chooseCells } from './CellChoice.js';

const cells = ['a', 'b', 'c', 'd'].map((availabilityZone) => ({ service: 'm', availabilityZone }));

function zonesFor(availabilityZone: string, seed: number): (string | undefined)[] {
  const chosen = chooseCells(cells, availabilityZone, new SeededRandom(seed));
  return chosen.map((cell) => cell.availabilityZone);
}

describe('chooseCells', () => {
  it('asks the own zone first and then spreads refused prompts over the others', () => {
    const chosen = Array.from({ length: 40 }, (_each, seed) => zonesFor('b', seed));
    expect(new Set(chosen.map(([first]) => first))).toEqual(new Set(['b']));
    expect(new Set(chosen.map(([, second]) => second))).toEqual(new Set(['a', 'c', 'd']));
  });

  it('asks two other zones when the own one has no engines', () => {
    const chosen = Array.from({ length: 40 }, (_each, seed) => zonesFor('x', seed));
    expect(chosen.every((zones) => new Set(zones).size === 2)).toBe(true);
    expect(new Set(chosen.map(([first]) => first))).toEqual(new Set(['a', 'b', 'c', 'd']));
  });

  it('asks the only cell once', () => {
    const all = [{ service: 'm', availabilityZone: undefined }];
    expect(chooseCells(all, 'a', new SeededRandom(1))).toEqual(all);
  });
});
