/** Replays a zone whose nodes are all cut off, so that the nodes of the others relay for them. */
import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import type { Member } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { RelayChoice } from './RelayChoice.js';

const ZONES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const NODES = 380;
const CUT_ZONE = 'a';
/** Connections that each cut node has open at once. */
const CONNECTIONS = 30;

describe('RelayChoice', () => {
  let clock: ManualClock;
  let members: Member[];

  beforeEach(() => {
    clock = new ManualClock();
    members = Array.from({ length: NODES }, (_each, index) => {
      const member = memberOf(`n${index}`, `127.0.0.1:${index + 1}`);
      const state = { ...member.state, isReady: true };
      return { ...member, state, availabilityZone: ZONES[index % ZONES.length] ?? '' };
    });
  });

  function choiceOf(self: Member): RelayChoice {
    const membership = new FixedMembership(self, members);
    const random = new SeededRandom(members.indexOf(self));
    return new RelayChoice({ clock, random, membership });
  }

  function choiceOfFirst(): RelayChoice {
    const [self = memberOf('n', '127.0.0.1:1')] = members;
    return choiceOf(self);
  }

  it('uses only nodes of the allowed regions, also when all of them failed', () => {
    members = members.map((each, index) => ({ ...each, region: index % 3 === 0 ? 'r0' : 'r1' }));
    const choice = choiceOfFirst();
    for (let round = 0; round < 200; round++) {
      const chosen = choice.choose('t:1', 'b', ['r0']);
      expect(new Set(chosen.map(({ region }) => region))).toEqual(new Set(['r0']));
      choice.recordFailure(chosen[0] ?? memberOf('n', '127.0.0.1:1'));
    }
    expect(choice.choose('t:1', 'b', [])).toEqual([]);
  });

  it('prefers a node in the zone of the target, then one in another zone', () => {
    const choice = choiceOfFirst();
    for (let round = 0; round < 20; round++) {
      const [first, second] = choice.choose('10.0.0.1:80', 'c');
      expect(first?.availabilityZone).toBe('c');
      expect(second?.availabilityZone).not.toBe('c');
    }
  });

  it('never chooses the node itself, nor one that drains or is not ready', () => {
    members = members.slice(0, 4).map((member, index) => ({
      ...member,
      state: { ...member.state, isDraining: index === 1, isReady: index !== 2 },
    }));
    const names = choiceOfFirst()
      .choose('10.0.0.1:80', undefined)
      .map(({ name }) => name);
    expect(names).toEqual(['n3']);
  });

  it('avoids a node that failed, for a while', async () => {
    members = members.slice(0, 3);
    const choice = choiceOfFirst();
    const [failed = memberOf('n', '127.0.0.1:1')] = choice.choose('10.0.0.1:80', undefined);
    choice.recordFailure(failed);
    expect(choice.choose('10.0.0.1:80', undefined)).not.toContain(failed);
    await clock.advance(2_000);
    expect(choice.choose('10.0.0.1:80', undefined)).toContain(failed);
  });

  it('avoids a node that does not reach a target for that target only', () => {
    members = members.slice(0, 3);
    const choice = choiceOfFirst();
    const [failed = memberOf('n', '127.0.0.1:1')] = choice.choose('10.0.0.1:80', undefined);
    choice.recordFailure(failed, '10.0.0.1:80');
    expect(choice.choose('10.0.0.1:80', undefined)).not.toContain(failed);
    expect(choice.choose('10.0.0.2:80', undefined)).toContain(failed);
  });

  it('spreads the connections of a whole zone of 380 nodes over the others', () => {
    const load = new Map<string, number>();
    const cut = members.filter(({ availabilityZone }) => availabilityZone === CUT_ZONE);
    cut.forEach((self, index) => {
      const choice = choiceOf(self);
      for (let count = 0; count < CONNECTIONS; count++) {
        const zone = ZONES[(index + count) % ZONES.length];
        const address = `10.0.${index}.${count}:80`;
        const helper = choice
          .choose(address, zone)
          .find(({ availabilityZone }) => availabilityZone !== CUT_ZONE);
        load.set(helper?.name ?? '', (load.get(helper?.name ?? '') ?? 0) + 1);
      }
    });
    expect(load.has('')).toBe(false);
    expect(Math.max(...load.values())).toBeLessThan(20);
    expect(load.size).toBeGreaterThan(300);
  });
});
