/** Tests how a node obtains the location of a process from updates that leave it out. */
import { ManualClock, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import {
  encodeMember,
  JOIN_METHOD,
  type Member,
  ProbeKind,
  SwimMembership,
} from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { memberOf } from './FixedMembership.js';
import { MemoryNetwork } from './MemoryNetwork.js';

describe('SwimMembership', () => {
  const a = memberOf('a', '127.0.0.1:1');
  const b = memberOf('b', '127.0.0.1:2');
  let clock: ManualClock;
  let network: MemoryNetwork;

  function createMembership(self: Member, seeds: readonly string[]): SwimMembership {
    const random = new SeededRandom(1);
    const transport = network.join(self.peerAddress);
    const timeLine = new TimeLine(clock, self.name);
    return new SwimMembership({ clock, random, transport, timeLine, self, seeds });
  }

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
  });

  describe('a message with an update about an unknown process', () => {
    it('makes the receiver request the record of that process from the sender', async () => {
      const receiver = createMembership(a, []);
      createMembership(b, []);
      const members = [encodeMember(b, false)];
      const params = { kind: ProbeKind.Ack, id: 'x', from: b.peerAddress, members };
      const payload = JSON.stringify({ jsonrpc: '2.0', method: 'mesh.probe', params });
      network.find(b.peerAddress)?.sendDatagram(a.peerAddress, payload);
      await clock.advance(100);
      expect(receiver.find('b')?.peerAddress).toBe(b.peerAddress);
    });

    it('does not make the sender return its whole list', async () => {
      const LIST_BYTES = 20_000;
      createMembership(a, []);
      createMembership(b, []);
      const others = Array.from({ length: 100 }, (_each, index) =>
        memberOf(`other-${index}`, `127.0.1.${index}:1`),
      );
      const [requester, sender] = [a, b].map(({ peerAddress }) => network.find(peerAddress));
      await Promise.all([
        requester?.request(b.peerAddress, JOIN_METHOD, { members: others }, 100),
        clock.advance(10),
      ]);
      const sentBefore = sender?.bytesSent ?? 0;
      const members = [encodeMember(b, false)];
      const params = { kind: ProbeKind.Ack, id: 'x', from: b.peerAddress, members };
      sender?.sendDatagram(
        a.peerAddress,
        JSON.stringify({ jsonrpc: '2.0', method: 'mesh.probe', params }),
      );
      await clock.advance(100);
      expect((sender?.bytesSent ?? 0) - sentBefore).toBeLessThan(LIST_BYTES / 10);
    });
  });

  describe('a process that restarts at another address', () => {
    it('replaces the earlier process at members that have a record of that one only', async () => {
      const first = createMembership(a, []);
      const second = createMembership(b, [a.peerAddress]);
      first.start();
      second.start();
      await clock.advance(2_000);
      second.dispose();
      network.leave(b.peerAddress);
      const moved = { ...b, peerAddress: '127.0.0.1:3', incarnation: 9, startedAt: 9 };
      createMembership(moved, [a.peerAddress]).start();
      await clock.advance(2_000);
      expect(first.find('b')?.peerAddress).toBe(moved.peerAddress);
    });
  });
});
