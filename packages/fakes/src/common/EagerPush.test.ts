/** Tests that urgent updates reach all members over the overlay, without waiting for probes. */
import { ManualClock, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import { SwimMembership } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { memberOf } from './FixedMembership.js';
import { MemoryNetwork } from './MemoryNetwork.js';

const NODES = 24;
const JOINING_MS = 6_000;
/** Well below the time until the publisher's next probe. */
const PUSH_MS = 30;

describe('SwimMembership', () => {
  let clock: ManualClock;
  let members: readonly SwimMembership[];

  beforeEach(async () => {
    clock = new ManualClock();
    const network = new MemoryNetwork(clock, new SeededRandom(1));
    members = Array.from({ length: NODES }, (_, index) => {
      const self = memberOf(`m${index}`, `127.0.0.1:${index + 1}`);
      return new SwimMembership({
        clock,
        random: new SeededRandom(index),
        transport: network.join(self.peerAddress),
        timeLine: new TimeLine(clock, self.name),
        self,
        seeds: ['127.0.0.1:1'],
      });
    });
    for (const member of members) {
      member.start();
    }
    await clock.advance(JOINING_MS);
  });

  describe('publish', () => {
    it('sends a newer configuration offset to all members before the next probe', async () => {
      members[5]?.publish({ configurationOffset: 7 });
      await clock.advance(PUSH_MS);
      const offsets = members.map((each) => each.find('m5')?.state.configurationOffset);
      expect(offsets).toEqual(Array.from({ length: NODES }, () => 7));
    });

    it('sends a drain to all members before the next probe', async () => {
      members[3]?.publish({ isDraining: true });
      await clock.advance(PUSH_MS);
      expect(members.every((each) => each.find('m3')?.state.isDraining)).toBe(true);
    });
  });
});
