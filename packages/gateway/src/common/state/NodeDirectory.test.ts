import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import type { SwimMembership } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import { NodeDirectory } from './NodeDirectory.js';

const NODES = 40;

describe('NodeDirectory', () => {
  it('registers each node again, once and spread, after the platform was restored', async () => {
    const clock = new ManualClock();
    const announcedAt = new Map<string, number[]>();
    const members = Array.from({ length: NODES }, (_each, index) =>
      memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
    );
    const random = new SeededRandom(1);
    const directories = members.map((self) => {
      const directory = new NodeDirectory({
        clock,
        random,
        log: new DecisionLog(clock, self.name, () => true),
        membership: new FixedMembership(self, members) as unknown as SwimMembership,
        registry: {
          announce: (name) => {
            announcedAt.set(name, [...(announcedAt.get(name) ?? []), clock.now()]);
            return Promise.resolve(Result.ok(undefined));
          },
          list: () => Promise.resolve(Result.ok([])),
        },
      });
      directory.start();
      return directory;
    });
    await clock.advance(1_000);
    announcedAt.clear();
    for (const directory of directories) {
      void directory.renew();
      void directory.renew();
    }
    await clock.advance(3_000);
    expect([...announcedAt.values()].map(({ length }) => length)).toEqual(members.map(() => 1));
    const busiest = Math.max(
      ...[...announcedAt.values()].map(
        ([at = 0]) =>
          [...announcedAt.values()].filter(([each = 0]) => each >= at && each < at + 200).length,
      ),
    );
    expect(busiest).toBeLessThan(NODES / 2);
  });

  describe('without peers, with many nodes registered', () => {
    const REGISTERED = Array.from({ length: 150 }, (_each, index) => `10.0.0.${index}:1`);
    let clock: ManualClock;
    /** Addresses that were joined through, with the time of each. */
    let joins: { readonly address: string; readonly at: number }[];

    /** Starts the directory of a node; it has a peer once it joined through one that is `live`. */
    function start(live: ReadonlySet<string>): void {
      clock = new ManualClock();
      joins = [];
      const self = memberOf('n', '127.0.0.1:1');
      const membership = new FixedMembership(self, [self]);
      const joinThrough = (address: string): Promise<void> => {
        joins.push({ address, at: clock.now() });
        if (live.has(address)) {
          membership.live = [self, memberOf('peer', address)];
        }
        return Promise.resolve();
      };
      new NodeDirectory({
        clock,
        random: new SeededRandom(1),
        log: new DecisionLog(clock, 'n', () => true),
        membership: Object.assign(membership, { joinThrough }) as unknown as SwimMembership,
        registry: {
          announce: () => Promise.resolve(Result.ok(undefined)),
          list: () => Promise.resolve(Result.ok(REGISTERED)),
        },
      }).start();
    }

    it('joins through a few of them, as others do at the same moment', async () => {
      start(new Set(REGISTERED));
      await clock.advance(5_000);
      expect(joins.length).toBeLessThanOrEqual(3);
    });

    it('finds the only one that runs within some seconds', async () => {
      start(new Set(['10.0.0.77:1']));
      await clock.advance(6_000);
      expect(joins.some(({ address }) => address === '10.0.0.77:1')).toBe(true);
    });
  });
});
