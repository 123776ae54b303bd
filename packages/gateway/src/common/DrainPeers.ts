/**
 * What a draining node, and a node that is asked for addresses, need to know of the others: which are
 * ready, and which drain and still accept requests. A node that drains and accepts is published as
 * ready and draining; nodes of earlier releases take it for one that only drains.
 */
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import type { DrainPeers } from './DrainSchedule.js';

/** The other nodes, seen from a node that drains. */
export function drainPeersOf(
  membership: Pick<Membership, 'live' | 'self' | 'serving'>,
): DrainPeers {
  const { live, self, serving } = membership;
  const { availabilityZone, name } = self;
  const draining = live.filter(
    (each) => each.state.isDraining && each.availabilityZone === availabilityZone,
  );
  return {
    isAnyReady: serving.some((each) => each.name !== name && isAlive(each)),
    isAnyAccepting: draining.some((each) => each.name !== name && isAcceptingInDrain(each)),
    rank: draining.filter((each) => each.name < name).length,
  };
}

/** Whether a node drains and accepts requests all the same. */
export function isAcceptingInDrain(member: Member): boolean {
  return isAlive(member) && member.state.isDraining && member.state.isReady;
}

function isAlive({ status }: Member): boolean {
  return status === MemberStatus.Alive;
}
