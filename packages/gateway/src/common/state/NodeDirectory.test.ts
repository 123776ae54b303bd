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
});
