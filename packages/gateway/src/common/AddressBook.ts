/**
 * Which addresses callers should use: live nodes that are ready and not leaving, those of the
 * caller's own availability zone where there are enough of them, as traffic between zones is slower
 * and costs more.
 */
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import type { AddressQuestion } from './Messages.js';

/** Fewer addresses than this in the own zone are not enough to survive a failure. */
const MIN_ADDRESSES = 2;
/** Callers use at most this many of an answer. */
const MAX_ADDRESSES = 64;

/** The addresses for a caller, without a scheme. */
export function findAddresses(membership: Membership, question: AddressQuestion): string[] {
  // A suspect is probably dead, and a caller that tries it loses a second.
  const serving = membership.serving.filter(({ status }) => status === MemberStatus.Alive);
  const near = serving.filter(
    ({ availabilityZone }) => availabilityZone === question.availabilityZone,
  );
  const chosen = near.length >= MIN_ADDRESSES ? near : serving;
  return chosen.slice(0, MAX_ADDRESSES).map(addressOf);
}

function addressOf({ callerAddress }: Member): string {
  return callerAddress.replace(/^http:\/\//, '');
}
