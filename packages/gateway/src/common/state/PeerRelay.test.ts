import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import { KeyedTable } from './KeyedTable.js';
import { PeerRelay } from './PeerRelay.js';

/** One node of the test. */
interface RelayNode {
  readonly table: KeyedTable;
  readonly relay: PeerRelay;
  /** Topics that the node read from the platform. */
  readonly caughtUp: string[];
}

const LONG_VALUE_BYTES = 200_000;

describe('PeerRelay', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let nodes: RelayNode[];
  let inTouch: Set<number>;
  let unsettled: Set<number>;
  /** Datagrams that came from another zone. */
  let crossings: number;

  function create(count: number, zones: readonly string[] = []): void {
    const members = Array.from({ length: count }, (_each, index) => ({
      ...memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
      availabilityZone: zones[index] ?? 'z',
    }));
    nodes = members.map((self, index) => {
      const table = new KeyedTable('topic');
      const caughtUp: string[] = [];
      const transport = network.join(self.peerAddress);
      transport.onDatagram((payload) => {
        const sender = members.find(({ peerAddress }) => payload.includes(`"${peerAddress}"`));
        crossings += sender?.availabilityZone === self.availabilityZone ? 0 : 1;
      });
      const relay = new PeerRelay({
        clock,
        random: new SeededRandom(index),
        transport,
        membership: new FixedMembership(self, members),
        tables: [table],
        isInTouch: () => inTouch.has(index),
        isUnsettled: () => unsettled.has(index),
        catchUp: (topic) => {
          caughtUp.push(topic);
          return Promise.resolve();
        },
        log: new DecisionLog(clock, self.name, () => true),
      });
      relay.start();
      return { table, relay, caughtUp };
    });
  }

  function learn(node: number, key: string, value: string): void {
    const table = nodes[node]?.table;
    const offset = table?.end ?? 0;
    table?.apply([{ key, offset, value: Buffer.from(value) }], offset + 1);
  }

  function valueAt(node: number, key: string): string | undefined {
    return nodes[node]?.table.find(key)?.value?.toString();
  }

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    inTouch = new Set([0]);
    unsettled = new Set();
    crossings = 0;
  });

  it('brings a node that the platform turns away what its peers learn, within 200 ms', async () => {
    create(3);
    nodes.forEach(({ table }) => {
      table.replace({ records: [], end: 0 });
    });
    learn(0, 'a', '1');
    await clock.advance(200);
    expect(valueAt(2, 'a')).toBe('1');
  });

  it('gives a node that knows nothing yet the whole state', async () => {
    create(2);
    nodes[0]?.table.replace({ records: [], end: 0 });
    learn(0, 'a', '1');
    await clock.advance(1_000);
    expect(nodes[1]?.table.isKnown).toBe(true);
    expect(valueAt(1, 'a')).toBe('1');
  });

  it('hands removals on too', async () => {
    create(2);
    nodes.forEach(({ table }) => {
      table.replace({ records: [], end: 0 });
    });
    learn(0, 'a', '1');
    await clock.advance(500);
    nodes[0]?.table.apply([{ key: 'a', offset: 1, value: undefined }], 2);
    await clock.advance(500);
    expect(valueAt(1, 'a')).toBeUndefined();
  });

  it('reaches all of forty nodes of a zone within a second', async () => {
    create(40);
    nodes.forEach(({ table }) => {
      table.replace({ records: [], end: 0 });
    });
    learn(0, 'a', '1');
    await clock.advance(1_000);
    expect(nodes.every((_node, index) => valueAt(index, 'a') === '1')).toBe(true);
  });

  describe('in three zones', () => {
    const ZONES = ['a', 'b', 'c'];
    /** A tenth of the 11,264 bytes a second that control may cost, at 200 bytes a piece. */
    const MAX_CROSSINGS_PER_SECOND = 5;

    it('brings a zone without the platform up to date within 700 ms, at few crossings', async () => {
      const zones = Array.from({ length: 30 }, (_each, index) => ZONES[index % 3] ?? '');
      create(zones.length, zones);
      nodes.forEach(({ table }) => {
        table.replace({ records: [], end: 0 });
      });
      await clock.advance(1_000);
      const before = crossings;
      await clock.advance(2_000);
      expect((crossings - before) / 2 / zones.length).toBeLessThan(MAX_CROSSINGS_PER_SECOND);
      learn(0, 'a', '1');
      await clock.advance(700);
      expect(nodes.filter((_node, index) => valueAt(index, 'a') !== '1')).toEqual([]);
    });
  });

  describe('a long record', () => {
    it('is read from the platform rather than from a peer that is in touch with it', async () => {
      create(2);
      nodes.forEach(({ table }) => {
        table.replace({ records: [], end: 0 });
      });
      learn(0, 'a', 'x'.repeat(LONG_VALUE_BYTES));
      await clock.advance(300);
      expect(nodes[1]?.caughtUp).toContain('topic');
    });

    it('comes from a peer when the platform is lost to both', async () => {
      inTouch = new Set();
      create(2);
      nodes.forEach(({ table }) => {
        table.replace({ records: [], end: 0 });
      });
      learn(0, 'a', 'x'.repeat(LONG_VALUE_BYTES));
      await clock.advance(1_000);
      expect(valueAt(1, 'a')).toHaveLength(LONG_VALUE_BYTES);
    });
  });

  describe('polling', () => {
    it('is left to two nodes of a zone while they are in touch', async () => {
      inTouch = new Set([0, 1]);
      create(6);
      await clock.advance(5_000);
      expect(nodes.map(({ relay }) => relay.isPoller)).toEqual([
        true,
        true,
        false,
        false,
        false,
        false,
      ]);
    });

    it('is taken up by the others when the pollers lose the platform', async () => {
      inTouch = new Set([0, 1]);
      create(4);
      await clock.advance(3_000);
      inTouch = new Set();
      await clock.advance(4_000);
      expect(nodes.every(({ relay }) => relay.isPoller)).toBe(true);
    });
  });

  describe('an outage that one node saw', () => {
    it('is known to the others while it lasts', async () => {
      create(3);
      unsettled = new Set([0]);
      await clock.advance(1_000);
      expect(nodes[2]?.relay.heardOfOutage).toBe(true);
      unsettled = new Set();
      await clock.advance(2_500);
      expect(nodes[2]?.relay.heardOfOutage).toBe(false);
    });
  });
});
