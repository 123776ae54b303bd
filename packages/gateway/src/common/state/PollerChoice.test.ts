/** Guards against pollers that grow with the zones, and against nodes that choose differently. */
import { memberOf } from '@tanagerdyke/fakes';
import type { Member } from '@tanagerdyke/mesh';
import { describe, expect, it } from 'vitest';
import { pollingDutiesOf, relaysOf } from './PollerChoice.js';

function membersIn(zones: readonly string[], perZone: number): Member[] {
  return zones.flatMap((availabilityZone) =>
    Array.from({ length: perZone }, (_each, index) => ({
      ...memberOf(`${availabilityZone}${index}`, `${availabilityZone}:${index}`),
      availabilityZone,
    })),
  );
}

function pollersOf(members: readonly Member[]): string[] {
  return members.map(({ name }) => name).filter((name) => pollingDutiesOf(name, members).isPoller);
}

describe('pollingDutiesOf', () => {
  it.each([
    [1, ['a0', 'a1']],
    [2, ['a0', 'a1', 'b0', 'b1']],
    [5, ['a0', 'b0', 'c0', 'd0']],
  ])('appoints at most four pollers, in as many of %d zones as there are', (zones, expected) => {
    expect(pollersOf(membersIn(['a', 'b', 'c', 'd', 'e'].slice(0, zones), 6))).toEqual(expected);
  });

  it('does not depend on the order of the members', () => {
    const members = membersIn(['a', 'b', 'c'], 5);
    expect(pollersOf([...members].reverse()).sort()).toEqual(pollersOf(members));
  });

  it('gives the nodes of a large fleet different times to replace the pollers', () => {
    const members = membersIn(['a', 'b', 'c'], 4);
    const delays = members.map(({ name }) => pollingDutiesOf(name, members).takeoverDelayMs);
    expect(new Set(delays).size).toBe(members.length);
  });
});

describe('relaysOf', () => {
  it('has two nodes of each zone, or its only one', () => {
    const members = [...membersIn(['a'], 5), ...membersIn(['b'], 1)];
    expect(relaysOf(members).map(({ name }) => name)).toEqual(['a0', 'a1', 'b0']);
  });
});
