/**
 * Tests SWIM membership over an in-memory network: deaths, freezes, partitions, loss and restarts.
 * They are in this package because the fakes depend on the mesh, which can't depend on them.
 */
import { MemberStatus, SwimMembership } from '@tanagerdyke/mesh';
import { ManualClock, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { memberOf } from './FixedMembership.js';
import { MemoryNetwork, type MemoryTransport } from './MemoryNetwork.js';

const SEEDS = 3;
/** Design bound on the time to detect a death among 10 nodes. */
const DETECTION_MS = 15_000;
/** Time for a returning node to be live at all others. */
const RETURN_MS = 10_000;

interface TestNode {
  readonly membership: SwimMembership;
  readonly transport: MemoryTransport;
  readonly timeLine: TimeLine;
}

describe('SwimMembership', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let nodes: TestNode[];

  function start(index: number, incarnation: number, onClock = clock): TestNode {
    const address = addressOf(index);
    const transport = network.join(address);
    const timeLine = new TimeLine(clock, `n${index}`, incarnation);
    const random = new SeededRandom(index + 100 * incarnation);
    const self = { ...memberOf(`n${index}`, address), incarnation, startedAt: incarnation };
    const seeds = Array.from({ length: SEEDS }, (_, each) => addressOf(each));
    const options = { clock: onClock, random, transport, timeLine, self, seeds };
    const membership = new SwimMembership(options);
    membership.start();
    return { membership, transport, timeLine };
  }

  async function startAll(count: number): Promise<void> {
    nodes = Array.from({ length: count }, (_, index) => start(index, 1));
    await clock.advance(10_000);
  }

  function node(index: number): TestNode {
    const found = nodes[index];
    if (found === undefined) {
      throw new Error(`no node ${index}`);
    }
    return found;
  }

  function stop(index: number): void {
    node(index).membership.dispose();
    node(index).transport.dispose();
  }

  /** The number of live members at each node. */
  function liveCounts(): readonly number[] {
    return nodes.map(({ membership }) => membership.live.length);
  }

  function statusAt(observer: number, name: string): MemberStatus | undefined {
    return node(observer).membership.find(name)?.status;
  }

  function deathsDeclared(): number {
    const events = nodes.flatMap(({ timeLine }) => timeLine.read(0, 20_000));
    return events.filter(({ name }) => name === 'member.dead').length;
  }

  /** Partitions the nodes before `border` from the others. */
  function partitionAt(border: number): void {
    for (let a = 0; a < border; a++) {
      for (let b = border; b < nodes.length; b++) {
        network.cut(addressOf(a), addressOf(b));
        network.cut(addressOf(b), addressOf(a));
      }
    }
  }

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
  });

  afterEach(() => {
    nodes.forEach((_, index) => {
      stop(index);
    });
  });

  describe.each([3, 10, 30])('with %i nodes', (count) => {
    it('lists every node as live at all nodes, and detects a death within the bound', async () => {
      await startAll(count);
      expect(new Set(liveCounts())).toEqual(new Set([count]));
      stop(count - 1);
      await clock.advance(DETECTION_MS);
      const survivors = liveCounts().slice(0, -1);
      expect(new Set(survivors)).toEqual(new Set([count - 1]));
    });
  });

  describe('a freeze', () => {
    it('beyond the suspicion timeout is detected; the node returns with a new incarnation', async () => {
      await startAll(10);
      const { membership, transport } = node(5);
      transport.isFrozen = true;
      await clock.advance(30_000);
      expect(statusAt(0, 'n5')).toBe(MemberStatus.Dead);
      transport.isFrozen = false;
      await clock.advance(RETURN_MS);
      expect(new Set(liveCounts())).toEqual(new Set([10]));
      expect(membership.self.incarnation).toBeGreaterThan(1);
    });

    it('of the process leaves the node unconfirmed until a peer acks a ping after it', async () => {
      await startAll(3);
      const pausedClock = new ManualClock();
      const pausedNode = start(3, 1, pausedClock);
      nodes.push(pausedNode);
      for (let step = 0; step < 100; step++) {
        await pausedClock.advance(50);
        await clock.advance(50);
      }
      expect(pausedNode.membership.isConfirmed).toBe(true);
      pausedNode.transport.isFrozen = true;
      await clock.advance(30_000);
      pausedClock.freeze(30_000);
      expect(pausedNode.membership.isConfirmed).toBe(false);
      await pausedClock.advance(500);
      expect(pausedNode.membership.isConfirmed).toBe(false);
      expect(pausedNode.membership.self.incarnation).toBeGreaterThan(1);
      expect(pausedNode.membership.live).toHaveLength(4);
      pausedNode.transport.isFrozen = false;
      for (let step = 0; step < 200; step++) {
        await pausedClock.advance(50);
        await clock.advance(50);
      }
      expect(pausedNode.membership.isConfirmed).toBe(true);
      expect(new Set(liveCounts())).toEqual(new Set([4]));
    });
  });

  describe('a partition', () => {
    it('in one direction between two nodes causes no false death', async () => {
      await startAll(10);
      network.cut(addressOf(1), addressOf(2));
      await clock.advance(60_000);
      expect(deathsDeclared()).toBe(0);
    });

    it.each([30_000, 300_000])(
      'of a zone for %i ms leaves all nodes live once healed',
      async (cutMs) => {
        await startAll(9);
        partitionAt(3);
        await clock.advance(cutMs);
        expect(liveCounts()).toEqual([3, 3, 3, 6, 6, 6, 6, 6, 6]);
        network.heal();
        await clock.advance(30_000);
        expect(new Set(liveCounts())).toEqual(new Set([9]));
      },
    );
  });

  describe('loss of a tenth of all datagrams', () => {
    it.each([1, 2, 3, 4, 5, 6])('causes no false death in 10 minutes, seed %i', async (seed) => {
      network = new MemoryNetwork(clock, new SeededRandom(seed));
      await startAll(10);
      network.loss = 0.1;
      await clock.advance(600_000);
      expect(deathsDeclared()).toBe(0);
    });
  });

  describe('a restart with the same address', () => {
    it.each([
      ['a higher', 1_000],
      ['a lower', 0],
    ])(
      'with %s first incarnation replaces the earlier process at all nodes',
      async (_, incarnation) => {
        await startAll(5);
        stop(4);
        nodes[4] = start(4, incarnation);
        await clock.advance(RETURN_MS);
        expect(new Set(liveCounts())).toEqual(new Set([5]));
        const { self } = node(4).membership;
        const incarnations = nodes.map(({ membership }) => membership.find('n4')?.incarnation);
        expect(new Set(incarnations)).toEqual(new Set([self.incarnation]));
      },
    );
  });

  describe('a step of the wall clock', () => {
    it('causes no false death', async () => {
      await startAll(5);
      clock.stepWallClock(-3_600_000);
      await clock.advance(30_000);
      expect(deathsDeclared()).toBe(0);
    });
  });
});

function addressOf(index: number): string {
  return `127.0.0.1:${index + 1}`;
}
