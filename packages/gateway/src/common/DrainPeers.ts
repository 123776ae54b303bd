/**
 * What a draining node, and a node that is asked for addresses, need to know of the others: which are
 * ready, and which drain and still accept requests. A node that drains and accepts is published as
 * ready and draining; nodes of earlier releases take it for one that only drains.
 */
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import type { DrainPeers } from './DrainSchedule.js';

/** Ready nodes take over from as many as this times their number; fewer would be overloaded. */
const MAX_LOAD_FACTOR = 4;

/** Whether the ready nodes can serve the callers of others that drain, too. */
export function areEnough(ready: number, draining: number): boolean {
  return ready > 0 && ready + draining <= ready * MAX_LOAD_FACTOR;
}

/** The other nodes, seen from a node that drains. */
export function drainPeersOf(
  membership: Pick<Membership, 'live' | 'self' | 'serving'>,
): DrainPeers {
  const { live, self, serving } = membership;
  const { availabilityZone, name } = self;
  const ready = serving.filter((each) => each.name !== name && isAlive(each)).length;
  const draining = live.filter(({ state }) => state.isDraining);
  const ofZone = draining.filter((each) => each.availabilityZone === availabilityZone);
  return {
    isAnyReady: ready > 0,
    areEnoughReady: areEnough(ready, draining.length),
    isAnyAccepting: ofZone.some((each) => each.name !== name && isAcceptingInDrain(each)),
    rank: ofZone.filter((each) => each.name < name).length,
  };
}

/** Whether a node drains and accepts requests all the same. */
export function isAcceptingInDrain(member: Member): boolean {
  return isAlive(member) && member.state.isDraining && member.state.isReady;
}

function isAlive({ status }: Member): boolean {
  return status === MemberStatus.Alive;
}
