/**
 * Selects the addresses that a caller should use: live nodes that are ready and not leaving. Nodes
 * of the caller's own availability zone are preferred when there are enough of them, because
 * traffic between zones is slower and costs more.
 */
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import { areEnough } from './DrainPeers.js';
import type { AddressQuery } from './Messages.js';

/** With fewer addresses in its own zone, one failure could leave a caller without any. */
const MIN_ADDRESSES = 2;
/** Callers use at most this many addresses of a response. */
const MAX_ADDRESSES = 64;

/**
 * The addresses for a caller, without the URL scheme.
 *
 * @param substitutes nodes that are named, too, while too few are ready
 */
export function findAddresses(
  membership: Membership,
  query: AddressQuery,
  substitutes: readonly Member[] = [],
): string[] {
  // A suspected node is probably dead, and a caller that tries it loses a second.
  const ready = membership.serving.filter(({ status }) => status === MemberStatus.Alive);
  const isEnough = areEnough(ready.length, substitutes.length);
  const serving = isEnough ? ready : [...ready, ...substitutes];
  const sameZone = serving.filter(
    ({ availabilityZone }) => availabilityZone === query.availabilityZone,
  );
  const selected = sameZone.length >= MIN_ADDRESSES ? sameZone : serving;
  return selected.slice(0, MAX_ADDRESSES).map(addressOf);
}

function addressOf({ callerAddress }: Member): string {
  return callerAddress.replace(/^http:\/\//, '');
}
