import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import { type Member, MemberStatus } from '@tanagerdyke/mesh';
import { describe, expect, it } from 'vitest';
import { findAddresses } from './CallerAddresses.js';

function member(index: number, availabilityZone: string, status = MemberStatus.Alive): Member {
  return { ...memberOf(`n${index}`, `10.0.0.${index}:1`), availabilityZone, status };
}

function addressesFor(zone: string, members: readonly Member[]): string[] {
  const membership = new FixedMembership(member(0, 'x'), members);
  return findAddresses(membership, { region: 'r', availabilityZone: zone });
}

describe('findAddresses', () => {
  const members = [member(1, 'a'), member(2, 'a'), member(3, 'b')];

  it('returns only nodes of the same zone when there are enough', () => {
    expect(addressesFor('a', members)).toEqual(['10.0.0.1:1', '10.0.0.2:1']);
  });

  it('returns nodes of all zones when the same zone has too few to survive a failure', () => {
    expect(addressesFor('b', members)).toHaveLength(3);
  });

  it('omits a suspected node, which is probably dead', () => {
    const suspect = member(2, 'a', MemberStatus.Suspect);
    expect(addressesFor('a', [member(1, 'a'), suspect, member(3, 'b')])).toEqual([
      '10.0.0.1:1',
      '10.0.0.3:1',
    ]);
  });

  it('returns nothing when there are no nodes', () => {
    expect(addressesFor('a', [])).toEqual([]);
  });

  describe('with nodes that drain and still accept requests', () => {
    const query = { region: 'r', availabilityZone: 'a' };
    const draining = [4, 5, 6, 7].map((index) => member(index, 'a'));

    it('names them while too few are ready', () => {
      // Guards against callers that find nobody, or all the same node, while a fleet is stopped.
      const alone = new FixedMembership(member(0, 'x'), []);
      expect(findAddresses(alone, query, draining)).toHaveLength(4);
      const one = new FixedMembership(member(0, 'x'), [member(1, 'a')]);
      expect(findAddresses(one, query, draining)).toHaveLength(5);
    });

    it('does not name them while enough are ready', () => {
      const enough = new FixedMembership(member(0, 'x'), members);
      expect(findAddresses(enough, query, draining)).toHaveLength(2);
    });
  });
});
