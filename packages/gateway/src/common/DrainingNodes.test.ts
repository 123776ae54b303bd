import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import { ManualClock } from '@tanagerdyke/kernel';
import { type Member, MemberStatus } from '@tanagerdyke/mesh';
import { describe, expect, it } from 'vitest';
import { DrainingNodes } from './DrainingNodes.js';
import { drainPeersOf } from './DrainPeers.js';

const NOT_READY_WITHIN_MS = 4_000;

/** A member of zone `a` by its flags: ready, draining. */
function member(index: number, isReady: boolean, isDraining: boolean): Member {
  const base = memberOf(`n${index}`, `10.0.0.${index}:1`);
  return {
    ...base,
    availabilityZone: 'a',
    status: MemberStatus.Alive,
    state: { ...base.state, isReady, isDraining },
  };
}

function membershipOf(members: readonly Member[]): FixedMembership {
  const [self = member(0, true, false)] = members;
  return new FixedMembership(self, members);
}

describe('DrainingNodes', () => {
  it('lists a node that drains and accepts, but not for four seconds', async () => {
    const clock = new ManualClock();
    const membership = membershipOf([member(0, true, false), member(1, true, false)]);
    const nodes = new DrainingNodes({ clock, membership });
    expect(nodes.listed).toEqual([]);
    membership.applyUpdate(member(1, true, true));
    expect(nodes.listed.map(({ name }) => name)).toEqual(['n1']);
    await clock.advance(NOT_READY_WITHIN_MS - 1_000);
    expect(nodes.listed).toEqual([]);
  });

  it('lists no node that has stopped to accept, is suspected or has ended', () => {
    const clock = new ManualClock();
    const membership = membershipOf([1, 2, 3].map((index) => member(index, true, false)));
    const nodes = new DrainingNodes({ clock, membership });
    membership.applyUpdate(member(1, false, true));
    membership.applyUpdate({ ...member(2, true, true), status: MemberStatus.Suspect });
    membership.applyUpdate({ ...member(3, true, true), status: MemberStatus.Left });
    expect(nodes.listed).toEqual([]);
  });

  it('does not list a node that drained before this one knew it', () => {
    const clock = new ManualClock();
    const membership = membershipOf([member(0, false, false)]);
    const nodes = new DrainingNodes({ clock, membership });
    membership.applyUpdate(member(1, true, true));
    expect(nodes.listed).toEqual([]);
  });

  it('lists the next process of a node that drained before', () => {
    const clock = new ManualClock();
    const membership = membershipOf([member(0, true, false), member(1, true, true)]);
    const nodes = new DrainingNodes({ clock, membership });
    const startedAt = member(1, true, true).startedAt + 1;
    membership.applyUpdate({ ...member(1, true, false), startedAt });
    membership.applyUpdate({ ...member(1, true, true), startedAt });
    expect(nodes.listed.map(({ name }) => name)).toEqual(['n1']);
  });
});

describe('drainPeersOf', () => {
  function peersOf(members: readonly Member[]): ReturnType<typeof drainPeersOf> {
    const [self = member(0, true, true)] = members;
    const serving = members.filter(({ state }) => state.isReady && !state.isDraining);
    return drainPeersOf({ self, live: members, serving });
  }

  it('counts a ready node of any zone, but no suspected one', () => {
    const ready = member(1, true, false);
    const self = member(0, true, true);
    expect(peersOf([self, { ...ready, availabilityZone: 'b' }]).isAnyReady).toBe(true);
    expect(peersOf([self, { ...ready, status: MemberStatus.Suspect }]).isAnyReady).toBe(false);
  });

  it('ranks the draining nodes of the own zone by name', () => {
    const foreign = { ...member(0, true, true), availabilityZone: 'b' };
    const members = [
      member(3, true, true),
      member(1, false, true),
      member(2, true, false),
      foreign,
    ];
    expect(peersOf(members)).toMatchObject({ isAnyReady: true, isAnyAccepting: false, rank: 1 });
    expect(peersOf([...members, member(4, true, true)]).isAnyAccepting).toBe(true);
  });

  it('does not leave the callers of many nodes to a few that are ready', () => {
    const draining = [1, 2, 3, 4].map((index) => member(index, true, true));
    const ready = [5, 6].map((index) => member(index, true, false));
    expect(peersOf([...draining, ...ready]).areEnoughReady).toBe(true);
    expect(peersOf([...draining, ...ready.slice(1)]).areEnoughReady).toBe(false);
  });
});
