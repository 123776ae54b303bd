/** Replays callers of one zone whose engines are full or gone. */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { chooseCells } from './CellChoice.js';

const cells = ['a', 'b', 'c', 'd'].map((availabilityZone) => ({ service: 'm', availabilityZone }));

/** The zones of the cells that 40 prompts of a zone ask. */
function zonesFor(availabilityZone: string): (string | undefined)[][] {
  const random = new SeededRandom(1);
  return Array.from({ length: 40 }, () =>
    chooseCells(cells, availabilityZone, random).map((cell) => cell.availabilityZone),
  );
}

describe('chooseCells', () => {
  it('asks the own zone first and then spreads refused prompts over the others', () => {
    const chosen = zonesFor('b');
    expect(new Set(chosen.map(([first]) => first))).toEqual(new Set(['b']));
    expect(new Set(chosen.map(([, second]) => second))).toEqual(new Set(['a', 'c', 'd']));
  });

  it('asks two other zones when the own one has no engines', () => {
    const chosen = zonesFor('x');
    expect(chosen.every((zones) => new Set(zones).size === 2)).toBe(true);
    expect(new Set(chosen.map(([first]) => first))).toEqual(new Set(['a', 'b', 'c', 'd']));
  });

  it('asks other zones for a prompt that an engine of the own zone failed', () => {
    const random = new SeededRandom(1);
    const failed = new Set(['b']);
    const chosen = Array.from({ length: 40 }, () => chooseCells(cells, 'b', random, failed));
    const zones = chosen.flat().map((cell) => cell.availabilityZone);
    expect(new Set(zones)).toEqual(new Set(['a', 'c', 'd']));
    const [only] = cells;
    expect(chooseCells(only === undefined ? [] : [only], 'a', random, new Set(['a']))).toEqual([
      only,
    ]);
  });

  it('asks the only cell once', () => {
    const all = [{ service: 'm', availabilityZone: undefined }];
    expect(chooseCells(all, 'a', new SeededRandom(1))).toEqual(all);
  });
});
