/**
 * Guards against member lists that stay incomplete after all nodes started at the same moment, so
 * that nodes choose different coordinators and some receive no notifications.
 */
import { ManualClock, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import { JOIN_METHOD, type Member, SwimMembership } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { memberOf } from './FixedMembership.js';
import { MemoryLink } from './MemoryLink.js';
import { MemoryNetwork } from './MemoryNetwork.js';

const NODES = 120;
const SEEDS = 3;
/** 10 Mbit/s. */
const LINK_BYTES_PER_MS = 1_250;
/** Nodes start within this time of each other. */
const START_SPREAD_MS = 300;
const READY_AFTER_MS = 1_000;
/** Until each node knows all others, and that they serve. */
const COMPLETE_WITHIN_MS = 4_000;

describe('MemberSync', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let links: MemoryLink[];

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    links = [];
  });

  function createMembership(self: Member, seeds: readonly string[], seed = 1): SwimMembership {
    const link = new MemoryLink(clock, LINK_BYTES_PER_MS);
    links.push(link);
    const transport = network.join(self.peerAddress, link);
    const random = new SeededRandom(seed);
    const timeLine = new TimeLine(clock, self.name);
    return new SwimMembership({ clock, random, transport, timeLine, self, seeds });
  }

  describe('when all nodes of a large system start at the same moment', () => {
    it('completes the list of every node within seconds', async () => {
      const members = Array.from({ length: NODES }, (_each, index) =>
        memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
      );
      const seeds = members.slice(0, SEEDS).map(({ peerAddress }) => peerAddress);
      const nodes = members.map((self, index) => createMembership(self, seeds, index));
      for (const [index, node] of nodes.entries()) {
        clock.schedule((index * START_SPREAD_MS) / NODES, () => {
          node.start();
        });
      }
      await clock.advance(READY_AFTER_MS);
      for (const node of nodes) {
        node.publish({ isReady: true });
      }
      await clock.advance(COMPLETE_WITHIN_MS - READY_AFTER_MS);
      const incomplete = nodes.filter(({ serving }) => serving.length < NODES).length;
      for (const node of nodes) {
        node.dispose();
      }
      expect(incomplete).toBe(0);
    });
  });

  describe('a request for missing records', () => {
    it('does not return records that the requester has', async () => {
      const seed = memberOf('seed', '127.0.0.1:1');
      createMembership(seed, []);
      const others = Array.from({ length: 80 }, (_each, index) =>
        memberOf(`other-${index}`, `127.0.1.${index}:1`),
      );
      const node = createMembership(memberOf('n', '127.0.0.1:2'), []);
      const sender = network.find('127.0.0.1:2');
      const request = sender?.request(seed.peerAddress, JOIN_METHOD, { members: others }, 500);
      await Promise.all([request, clock.advance(500)]);
      const receivedBytes: number[] = [];
      for (let round = 0; round < 3; round++) {
        const before = links[1]?.receivedBytes ?? 0;
        await Promise.all([node.joinThrough(seed.peerAddress), clock.advance(500)]);
        receivedBytes.push((links[1]?.receivedBytes ?? 0) - before);
      }
      const [first = 0, second = 0, third = 0] = receivedBytes;
      expect(node.live.length).toBe(82);
      expect(second).toBeLessThan(first / 2);
      expect(third).toBeLessThan(100);
    });
  });
});
