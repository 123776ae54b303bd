/** Tests broadcasts that send one copy to each other zone. */
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { type Member, MemberStatus, ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { FixedMembership, memberOf } from './FixedMembership.js';
import { MemoryNetwork } from './MemoryNetwork.js';

const ZONES = ['a', 'b', 'c'];
const NODES_PER_ZONE = 4;

describe('ZoneBroadcast', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let members: Member[];
  let received: Map<string, string[]>;
  let broadcasts: ZoneBroadcast[];

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    received = new Map();
    members = ZONES.flatMap((zone, zoneIndex) =>
      Array.from({ length: NODES_PER_ZONE }, (_each, index) => ({
        ...memberOf(`${zone}${index}`, `127.0.${zoneIndex}.1:${index + 1}`),
        availabilityZone: zone,
      })),
    );
    broadcasts = members.map((self) => {
      const transport = network.join(self.peerAddress);
      const membership = new FixedMembership(self, members);
      const broadcast = new ZoneBroadcast({ clock, transport, membership });
      broadcast.onMessage((payload) => {
        received.set(self.name, [...(received.get(self.name) ?? []), payload]);
      });
      return broadcast;
    });
  });

  it('reaches every other member exactly once', async () => {
    broadcasts[0]?.send('news');
    await clock.advance(10);
    for (const { name } of members.slice(1)) {
      expect(received.get(name)).toEqual(['news']);
    }
    expect(received.get('a0')).toBeUndefined();
  });

  it('reaches a zone through another relay one second after a relay died undetected', async () => {
    for (let second = 0; second < 2; second++) {
      broadcasts[0]?.send(String(second));
      await clock.advance(10);
      if (second === 0) {
        for (const each of members.filter(({ availabilityZone }) => availabilityZone === 'b')) {
          received.set(each.name, []);
        }
        // One of the members that take turns as relay; whose turn it is depends on the time.
        network.leave('127.0.1.1:1');
      }
      await clock.advance(990);
    }
    broadcasts[0]?.send('later');
    await clock.advance(1_000);
    broadcasts[0]?.send('latest');
    await clock.advance(10);
    const texts = received.get('b1') ?? [];
    expect(texts.some((text) => text === 'later' || text === 'latest')).toBe(true);
  });

  it('does not use a suspected member as relay', async () => {
    members = members.map((member) =>
      member.availabilityZone === 'b' && member.name !== 'b3'
        ? { ...member, status: MemberStatus.Suspect }
        : member,
    );
    const transport = network.join('127.0.9.1:1');
    const self = { ...memberOf('a9', '127.0.9.1:1'), availabilityZone: 'a' };
    const membership = new FixedMembership(self, [...members, self]);
    network.leave('127.0.1.1:1');
    network.leave('127.0.1.1:2');
    network.leave('127.0.1.1:3');
    new ZoneBroadcast({ clock, transport, membership }).send('news');
    await clock.advance(10);
    expect(received.get('b3')).toEqual(['news']);
  });

  describe('in zones of 27 members that all broadcast', () => {
    const MEMBERS_OF_LARGE_ZONE = 27;
    /** Per member: 170 requests per second, spread over 80 nodes, with three changes each. */
    const PAYLOADS_PER_SECOND = 6;
    /** Half of the 28 ms/s of CPU that control may cost a node, at 0.1 ms per datagram. */
    const MAX_DATAGRAMS_PER_SECOND = 140;
    let counts: number[];
    let seen: Map<string, number>[];

    beforeEach(() => {
      members = ZONES.flatMap((zone, zoneIndex) =>
        Array.from({ length: MEMBERS_OF_LARGE_ZONE }, (_each, index) => ({
          ...memberOf(`${zone}${index}`, `127.1.${zoneIndex}.1:${index + 1}`),
          availabilityZone: zone,
        })),
      );
      counts = members.map(() => 0);
      seen = members.map(() => new Map<string, number>());
      broadcasts = members.map((self, index) => {
        const transport = network.join(self.peerAddress);
        transport.onDatagram(() => {
          counts[index] = (counts[index] ?? 0) + 1;
        });
        const membership = new FixedMembership(self, members);
        const broadcast = new ZoneBroadcast({ clock, transport, membership });
        broadcast.onMessage((payload) => {
          seen[index]?.set(payload, (seen[index].get(payload) ?? 0) + 1);
        });
        return broadcast;
      });
    });

    async function sendForOneSecond(): Promise<void> {
      for (let round = 0; round < PAYLOADS_PER_SECOND; round++) {
        for (const [index, broadcast] of broadcasts.entries()) {
          broadcast.send(`${members[index]?.name}:${round}`);
          await clock.advance(2);
        }
      }
      await clock.advance(100);
    }

    it('delivers each payload to every other member exactly once', async () => {
      await sendForOneSecond();
      for (const [index, deliveries] of seen.entries()) {
        const { name } = members[index] ?? { name: '' };
        const others = [...deliveries].filter(([payload]) => !payload.startsWith(`${name}:`));
        expect(others).toHaveLength((members.length - 1) * PAYLOADS_PER_SECOND);
        expect(others.every(([, times]) => times === 1)).toBe(true);
      }
    });

    it('costs a member on average no more datagrams than its share of a core allows', async () => {
      await sendForOneSecond();
      const total = counts.reduce((sum, count) => sum + count, 0);
      expect(total / members.length).toBeLessThanOrEqual(MAX_DATAGRAMS_PER_SECOND);
    });
  });
});
