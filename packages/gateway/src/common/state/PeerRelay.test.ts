import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import { encodeNotification } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import { KeyedTable } from './KeyedTable.js';
import { PeerRelay } from './PeerRelay.js';

interface RelayNode {
  readonly table: KeyedTable;
  readonly relay: PeerRelay;
  /** Topics that the relay read from the platform. */
  readonly caughtUp: string[];
}

const LONG_VALUE_BYTES = 200_000;

/** Text that does not compress well. */
function randomText(length: number): string {
  const random = new SeededRandom(1);
  return Buffer.from(Array.from({ length }, () => random.integer(94) + 33)).toString('latin1');
}

describe('PeerRelay', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let nodes: RelayNode[];
  let connected: Set<number>;
  let recentOutage: Set<number>;
  /** Datagrams received from another zone. */
  let crossZoneDatagrams: number;

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
        crossZoneDatagrams += sender?.availabilityZone === self.availabilityZone ? 0 : 1;
      });
      const relay = new PeerRelay({
        clock,
        random: new SeededRandom(index),
        transport,
        membership: new FixedMembership(self, members),
        tables: [table],
        isConnected: () => connected.has(index),
        confirmedAt: () => Number.NEGATIVE_INFINITY,
        hadRecentOutage: () => recentOutage.has(index),
        catchUp: (topic) => {
          caughtUp.push(topic);
          return Promise.resolve(connected.has(index));
        },
        timerDelayMs: () => 0,
        log: new DecisionLog(clock, self.name, () => true),
        metrics: new Metrics(),
      });
      relay.start();
      return { table, relay, caughtUp };
    });
  }

  /** Applies a record at one node, as if it came from the platform. */
  function receiveFromPlatform(node: number, key: string, value: string): void {
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
    connected = new Set([0]);
    recentOutage = new Set();
    crossZoneDatagrams = 0;
  });

  it('delivers a change within 200 ms to a node that the platform rejects', async () => {
    create(3);
    nodes.forEach(({ table }) => {
      table.applySnapshot({ epoch: undefined, records: [], end: 0 });
    });
    receiveFromPlatform(0, 'a', '1');
    await clock.advance(200);
    expect(valueAt(2, 'a')).toBe('1');
  });

  it('sends the whole state to a node that has no snapshot', async () => {
    create(2);
    nodes[0]?.table.applySnapshot({ epoch: undefined, records: [], end: 0 });
    receiveFromPlatform(0, 'a', '1');
    await clock.advance(1_000);
    expect(nodes[1]?.table.hasSnapshot).toBe(true);
    expect(valueAt(1, 'a')).toBe('1');
  });

  it('forwards the removal of a key', async () => {
    create(2);
    nodes.forEach(({ table }) => {
      table.applySnapshot({ epoch: undefined, records: [], end: 0 });
    });
    receiveFromPlatform(0, 'a', '1');
    await clock.advance(500);
    nodes[0]?.table.apply([{ key: 'a', offset: 1, value: undefined }], 2);
    await clock.advance(500);
    expect(valueAt(1, 'a')).toBeUndefined();
  });

  it('delivers a change to all 40 nodes of a zone within a second', async () => {
    create(40);
    nodes.forEach(({ table }) => {
      table.applySnapshot({ epoch: undefined, records: [], end: 0 });
    });
    receiveFromPlatform(0, 'a', '1');
    await clock.advance(1_000);
    expect(nodes.every((_node, index) => valueAt(index, 'a') === '1')).toBe(true);
  });

  describe('in three zones', () => {
    const ZONES = ['a', 'b', 'c'];
    /**
     * Per node, at 200 bytes a datagram: a tenth of the 11,264 bytes per second that control
     * traffic may use.
     */
    const MAX_CROSS_ZONE_DATAGRAMS_PER_SECOND = 5;

    it('updates a zone without the platform within 700 ms, with few datagrams between zones', async () => {
      const zones = Array.from({ length: 30 }, (_each, index) => ZONES[index % 3] ?? '');
      create(zones.length, zones);
      nodes.forEach(({ table }) => {
        table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      });
      await clock.advance(1_000);
      const before = crossZoneDatagrams;
      await clock.advance(2_000);
      expect((crossZoneDatagrams - before) / 2 / zones.length).toBeLessThan(
        MAX_CROSS_ZONE_DATAGRAMS_PER_SECOND,
      );
      receiveFromPlatform(0, 'a', '1');
      await clock.advance(700);
      expect(nodes.filter((_node, index) => valueAt(index, 'a') !== '1')).toEqual([]);
    });
  });

  describe('in five zones of eight nodes', () => {
    const zones = Array.from(
      { length: 40 },
      (_each, index) => ['a', 'b', 'c', 'd', 'e'][index % 5] ?? '',
    );

    beforeEach(() => {
      connected = new Set(zones.keys());
      create(zones.length, zones);
      nodes.forEach(({ table }) => {
        table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      });
    });

    function pollers(): number[] {
      return nodes.flatMap(({ relay }, index) => (relay.isPoller ? [index] : []));
    }

    it('lets four nodes poll for all zones', async () => {
      await clock.advance(6_000);
      expect(new Set(pollers().map((index) => zones[index])).size).toBe(4);
      expect(pollers()).toHaveLength(4);
    });

    it('delivers a change from a poller to all zones within 400 ms', async () => {
      await clock.advance(1_000);
      receiveFromPlatform(0, 'a', '1');
      await clock.advance(400);
      expect(nodes.filter((_node, index) => valueAt(index, 'a') !== '1')).toEqual([]);
    });

    it('replaces pollers that the platform rejects by a few nodes, not by all at once', async () => {
      await clock.advance(1_000);
      const appointed = new Set(pollers());
      connected = new Set([...zones.keys()].filter((index) => !appointed.has(index)));
      await clock.advance(4_200);
      const substitutes = pollers().filter((index) => !appointed.has(index));
      expect(substitutes.length).toBeGreaterThan(0);
      expect(substitutes.length).toBeLessThan(12);
    });
  });

  describe('a record longer than the response limit', () => {
    it('is fetched from the peer within 300 ms when both are connected to the platform', async () => {
      connected = new Set([0, 1]);
      create(2);
      nodes.forEach(({ table }) => {
        table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      });
      receiveFromPlatform(0, 'a', randomText(LONG_VALUE_BYTES));
      await clock.advance(300);
      expect(valueAt(1, 'a')).toHaveLength(LONG_VALUE_BYTES);
      expect(nodes[1]?.caughtUp).toEqual([]);
    });

    it('is continued by the next peer when one stops in the middle of it', async () => {
      create(3);
      nodes.forEach(({ table }) => {
        table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      });
      const value = randomText(LONG_VALUE_BYTES);
      network.delayMs = 10;
      network.cut('127.0.0.1:2', '127.0.0.1:3');
      receiveFromPlatform(0, 'a', value);
      receiveFromPlatform(1, 'a', value);
      // The last node has some of the twelve pieces of the first one, and asks the second one next.
      await clock.advance(150);
      network.heal();
      network.cut('127.0.0.1:3', '127.0.0.1:1');
      const bytesBefore = network.find('127.0.0.1:2')?.bytesSent ?? 0;
      await clock.advance(1_200);
      expect(valueAt(2, 'a')).toHaveLength(LONG_VALUE_BYTES);
      const bytes = (network.find('127.0.0.1:2')?.bytesSent ?? 0) - bytesBefore;
      expect(bytes).toBeLessThan(LONG_VALUE_BYTES);
    });

    describe('at a peer of a release without pieces', () => {
      const EARLIER_PEER = '127.0.0.1:99';
      const value = 'x'.repeat(LONG_VALUE_BYTES);

      beforeEach(async () => {
        connected = new Set();
        create(1);
        nodes[0]?.table.applySnapshot({ epoch: undefined, records: [], end: 0 });
        const peer = network.join(EARLIER_PEER);
        peer.handle('gateway.records', (params) => {
          const { isPlatformLost: isWhole } = params as { isPlatformLost: boolean };
          const records = isWhole ? [['a', 0, Buffer.from(value).toString('base64')]] : [];
          return Promise.resolve(
            Result.ok({ end: 1, epoch: 0, isKnown: true, isTooLong: !isWhole, records }),
          );
        });
        const progress = { from: EARLIER_PEER, inTouch: true, isDirect: true, unsettled: false };
        const params = { ...progress, ends: [['topic', 1]], epochs: [[0, '']] };
        peer.sendDatagram('127.0.0.1:1', encodeNotification('gateway.progress', params));
        await clock.advance(300);
      });

      it('is read from the platform, and from the peer if the platform does not answer', () => {
        expect(nodes[0]?.caughtUp).toEqual(['topic']);
        expect(valueAt(0, 'a')).toBe(value);
      });
    });

    describe('in the request of a release without pieces', () => {
      const EARLIER_PEER = '127.0.0.1:99';

      beforeEach(() => {
        create(1);
        nodes[0]?.table.applySnapshot({ epoch: undefined, records: [], end: 0 });
        receiveFromPlatform(0, 'a', randomText(LONG_VALUE_BYTES));
      });

      async function request(isPlatformLost: boolean): Promise<unknown> {
        const params = { topic: 'topic', after: 0, epoch: 0, isPlatformLost };
        const response = network
          .find(EARLIER_PEER)
          ?.request('127.0.0.1:1', 'gateway.records', params, 1_000);
        await clock.advance(100);
        return (await response)?.unwrapOr(undefined);
      }

      it('is left out, so that the node reads the platform', async () => {
        network.join(EARLIER_PEER);
        expect(await request(false)).toMatchObject({ isTooLong: true, records: [] });
      });

      it('is left out by a node that relies on others to poll, too', async () => {
        create(6);
        nodes.forEach(({ table }) => {
          table.applySnapshot({ epoch: undefined, records: [], end: 0 });
        });
        receiveFromPlatform(3, 'a', randomText(LONG_VALUE_BYTES));
        const peer = network.join(EARLIER_PEER);
        const params = { topic: 'topic', after: 0, epoch: 0, isPlatformLost: false };
        const response = peer.request('127.0.0.1:4', 'gateway.records', params, 1_000);
        await clock.advance(100);
        expect((await response).unwrapOr(undefined)).toMatchObject({ isTooLong: true });
      });

      it('is sent whole to a node without the platform, twice a second', async () => {
        network.join(EARLIER_PEER);
        const responses = [];
        for (let asked = 0; asked < 10; asked++) {
          responses.push(await request(true));
        }
        const whole = responses.filter((each) => !(each as { isTooLong: boolean }).isTooLong);
        expect(whole).toHaveLength(2);
        expect(whole[0]).toMatchObject({ records: [['a', 0, expect.any(String)]] });
      });
    });

    it('is fetched from the peer when the platform refuses only the node that lacks it', async () => {
      create(2);
      nodes.forEach(({ table }) => {
        table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      });
      receiveFromPlatform(0, 'a', 'x'.repeat(LONG_VALUE_BYTES));
      await clock.advance(1_000);
      expect(valueAt(1, 'a')).toHaveLength(LONG_VALUE_BYTES);
    });

    it('is fetched from the peer when neither node is connected to the platform', async () => {
      connected = new Set();
      create(2);
      nodes.forEach(({ table }) => {
        table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      });
      receiveFromPlatform(0, 'a', 'x'.repeat(LONG_VALUE_BYTES));
      await clock.advance(1_000);
      expect(valueAt(1, 'a')).toHaveLength(LONG_VALUE_BYTES);
    });
  });

  describe('peers that do not answer requests, though their datagrams arrive', () => {
    const zones = ['a', 'b', 'c', 'a', 'b', 'c', 'a'];
    /** Appointed relays of the zone of the last node, and a poller of another zone. */
    const [first, second, remote] = [0, 3, 1];
    const last = zones.length - 1;
    const addressOf = (index: number): string => `127.0.0.1:${index + 1}`;
    /** Time in which a change must be in force. */
    const MAX_DELAY_MS = 2_000;

    beforeEach(() => {
      connected = new Set([first, second, remote]);
      create(zones.length, zones);
      nodes.forEach(({ table }) => {
        table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      });
    });

    it.each([first, second])(
      'do not delay a change while another one does: node %i',
      async (index) => {
        network.cut(addressOf(last), addressOf(index));
        receiveFromPlatform(0, 'a', '1');
        await clock.advance(MAX_DELAY_MS / 2);
        expect(valueAt(last, 'a')).toBe('1');
      },
    );

    it('do not delay a change while the platform answers', async () => {
      for (const index of zones.keys()) {
        network.cut(addressOf(last), addressOf(index));
      }
      receiveFromPlatform(0, 'a', '1');
      await clock.advance(MAX_DELAY_MS);
      expect(nodes[last]?.caughtUp).toContain('topic');
    });

    it('are not asked more than five times a second', async () => {
      for (const index of zones.keys()) {
        network.cut(addressOf(last), addressOf(index));
      }
      receiveFromPlatform(0, 'a', '1');
      const before = requestsOf(last);
      await clock.advance(10_000);
      expect(requestsOf(last) - before).toBeLessThanOrEqual(50);
    });

    function requestsOf(index: number): number {
      return network.find(addressOf(index))?.requestsSent ?? 0;
    }
  });

  describe('a peer of a release that does not state the epoch', () => {
    const OLD_PEER = '127.0.0.1:99';
    const HIGHER_END = 50;

    beforeEach(async () => {
      create(1);
      nodes[0]?.table.applySnapshot({
        epoch: 2,
        records: [{ key: 'a', offset: 3, value: Buffer.from('new') }],
        end: 4,
      });
      const peer = network.join(OLD_PEER);
      peer.handle('gateway.records', () =>
        Promise.resolve(
          Result.ok({
            end: HIGHER_END,
            isKnown: true,
            isTooLong: false,
            records: [
              ['a', 40, Buffer.from('old').toString('base64')],
              ['b', 41, Buffer.from('old').toString('base64')],
            ],
          }),
        ),
      );
      const progress = { from: OLD_PEER, inTouch: true, isDirect: true, unsettled: false };
      for (let sent = 0; sent < 8; sent++) {
        peer.sendDatagram(
          '127.0.0.1:1',
          encodeNotification('gateway.progress', { ...progress, ends: [['topic', HIGHER_END]] }),
        );
        await clock.advance(500);
      }
    });

    it('does not bring records of before the restore back', () => {
      expect(valueAt(0, 'a')).toBe('new');
      expect(valueAt(0, 'b')).toBeUndefined();
      expect(nodes[0]?.table.end).toBe(4);
    });

    it('makes the node read the platform, at most once a second', () => {
      expect(nodes[0]?.caughtUp.length).toBeGreaterThan(1);
      expect(nodes[0]?.caughtUp.length).toBeLessThanOrEqual(5);
    });
  });

  describe('polling', () => {
    it('is done by two nodes of a zone while they are connected to the platform', async () => {
      connected = new Set([0, 1]);
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

    it('is started by the other nodes when the pollers lose the platform', async () => {
      connected = new Set([0, 1]);
      create(4);
      await clock.advance(3_000);
      connected = new Set();
      await clock.advance(4_000);
      expect(nodes.every(({ relay }) => relay.isPoller)).toBe(true);
    });
  });

  describe('an outage observed by one node', () => {
    it('is reported to the other nodes while it lasts', async () => {
      create(3);
      recentOutage = new Set([0]);
      await clock.advance(1_000);
      expect(nodes[2]?.relay.isOutageReported).toBe(true);
      recentOutage = new Set();
      await clock.advance(2_500);
      expect(nodes[2]?.relay.isOutageReported).toBe(false);
    });
  });
});
