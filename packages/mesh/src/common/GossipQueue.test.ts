/** Tests the order in which queued updates are sent, and how often each is sent. */
import { describe, expect, it } from 'vitest';
import { GossipQueue, UpdateKind } from './GossipQueue.js';
import { type Member, MemberStatus } from './Messages.js';

const MEMBERS = 380;

function memberOf(name: string, status = MemberStatus.Alive): Member {
  return {
    name,
    peerAddress: '127.0.0.1:1',
    callerAddress: 'http://127.0.0.1:1',
    region: 'r',
    availabilityZone: 'z',
    incarnation: 1,
    startedAt: 1,
    stateVersion: 0,
    status,
    state: { configurationOffset: 0, configurationDigest: '', isReady: true, isDraining: false },
  };
}

describe('GossipQueue', () => {
  it('sends a death before queued state updates of all members', () => {
    const queue = new GossipQueue();
    for (let index = 0; index < MEMBERS; index++) {
      queue.add(memberOf(`m${index}`), UpdateKind.State);
    }
    queue.add(memberOf('gone', MemberStatus.Dead), UpdateKind.Status);
    const [first] = queue.take(6, MEMBERS);
    expect(first?.member.name).toBe('gone');
  });

  it('marks a state update as an introduction when it replaces one that was not sent yet', () => {
    const queue = new GossipQueue();
    queue.add(memberOf('new'), UpdateKind.Introduction);
    queue.add(memberOf('new'), UpdateKind.State);
    expect(queue.take(1, MEMBERS)[0]?.isIntroduction).toBe(true);
  });

  it('removes an update after four sends per doubling of the member count', () => {
    const queue = new GossipQueue();
    queue.add(memberOf('m'), UpdateKind.Status);
    let sends = 0;
    while (queue.take(1, 3).length > 0) {
      sends++;
    }
    expect(sends).toBe(8);
  });
});
