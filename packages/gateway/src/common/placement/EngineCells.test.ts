/**
 * Guards against nodes that select different coordinators for the same engines, and against
 * coordinators that can't decide because they are leaving, suspected or not ready.
 */
import { memberOf } from '@tanagerdyke/fakes';
import { type Member, MemberStatus } from '@tanagerdyke/mesh';
import { describe, expect, it } from 'vitest';
import { cellsOf, coordinatorsOf } from './EngineCells.js';
import { engineEntry } from './PlacementFixtures.js';

const ZONES = ['a', 'b', 'c'];

function enginesIn(zones: readonly string[], perZone: number): ReturnType<typeof engineEntry>[] {
  return zones.flatMap((availabilityZone) =>
    Array.from({ length: perZone }, (_each, index) => ({
      ...engineEntry(`${availabilityZone}${index}`),
      availabilityZone,
    })),
  );
}

const members: Member[] = ZONES.flatMap((availabilityZone, zone) =>
  Array.from({ length: 4 }, (_each, index) => ({
    ...memberOf(`${availabilityZone}${index}`, `10.0.${zone}.${index}:1`),
    availabilityZone,
  })),
);

describe('cellsOf', () => {
  it('keeps the engines of a small fleet in one cell', () => {
    expect(cellsOf('m', enginesIn(ZONES, 20))).toEqual([
      { service: 'm', availabilityZone: undefined },
    ]);
  });

  it('makes each zone of a large fleet a cell', () => {
    const cells = cellsOf('m', enginesIn(ZONES, 30));
    expect(cells.map(({ availabilityZone }) => availabilityZone)).toEqual(ZONES);
  });
});

describe('coordinatorsOf', () => {
  const zoneA = { service: 'm', availabilityZone: 'a' };

  it('selects the same two members of the zone, in whatever order they are listed', () => {
    const names = coordinatorsOf(zoneA, members).map(({ name }) => name);
    const reversed = coordinatorsOf(zoneA, [...members].reverse()).map(({ name }) => name);
    expect(names).toHaveLength(2);
    expect(names).toEqual(reversed);
    expect(names.every((name) => name.startsWith('a'))).toBe(true);
  });

  it('promotes the second one when the first one is lost, so that its account continues', () => {
    const [first, second] = coordinatorsOf(zoneA, members);
    const remaining = members.filter(({ name }) => name !== first?.name);
    expect(coordinatorsOf(zoneA, remaining)[0]?.name).toBe(second?.name);
  });

  it.each([
    ['suspected', { status: MemberStatus.Suspect }],
    ['draining', { state: { ...members[0]?.state, isDraining: true } }],
    ['not ready', { state: { ...members[0]?.state, isReady: false } }],
  ])('skips a member that is %s', (_condition, change) => {
    const [first] = coordinatorsOf(zoneA, members);
    const changed = members.map((member) =>
      member.name === first?.name ? ({ ...member, ...change } as Member) : member,
    );
    expect(coordinatorsOf(zoneA, changed).map(({ name }) => name)).not.toContain(first?.name);
  });

  it('takes members of other zones when the zone has lost all of its own', () => {
    const others = members.filter(({ availabilityZone }) => availabilityZone !== 'a');
    expect(coordinatorsOf(zoneA, others)).toHaveLength(2);
  });

  it('spreads the cells of several services over different members', () => {
    const all = { availabilityZone: undefined };
    const firsts = Array.from(
      { length: 20 },
      (_each, index) => coordinatorsOf({ ...all, service: `s${index}` }, members)[0]?.name,
    );
    expect(new Set(firsts).size).toBeGreaterThan(5);
  });
});
