/**
 * Encodes members for probe messages, as tuples and without addresses, region and zone unless the
 * receiver may have no record of the process yet. A message with all its piggybacked updates then
 * fits one packet.
 */
import * as z from 'zod';
import { type Member, MemberStatus } from './Messages.js';

/** Statuses; the index is the number on the wire. */
const STATUSES = [
  MemberStatus.Alive,
  MemberStatus.Suspect,
  MemberStatus.Dead,
  MemberStatus.Left,
] as const;
const READY_FLAG = 1;
const DRAINING_FLAG = 2;

/** Peer address, caller address, region and availability zone. */
const locationSchema = z.tuple([z.string(), z.string(), z.string(), z.string()]);

const statusSchema = z
  .number()
  .int()
  .min(0)
  .max(STATUSES.length - 1);

/**
 * Name, first incarnation of the process, increments of the incarnation since, state version,
 * status, configuration offset, configuration digest, flags.
 */
const compactSchema = z.tuple([
  z.string(),
  z.number().int(),
  z.number().int(),
  z.number().int(),
  statusSchema,
  z.number().int(),
  z.string(),
  z.number().int(),
]);

/** A compact member, followed by its location in an introduction. */
export const wireMemberSchema = z.union([
  compactSchema,
  z.tuple([...compactSchema.def.items, locationSchema]),
]);

export type WireMember = z.infer<typeof wireMemberSchema>;

/** Encodes a member; `isIntroduction` adds its location. */
export function encodeMember(member: Member, isIntroduction: boolean): WireMember {
  const { state } = member;
  const flags = (state.isReady ? READY_FLAG : 0) | (state.isDraining ? DRAINING_FLAG : 0);
  const compact: WireMember = [
    member.name,
    member.startedAt,
    member.incarnation - member.startedAt,
    member.stateVersion,
    STATUSES.indexOf(member.status),
    state.configurationOffset,
    state.configurationDigest,
    flags,
  ];
  if (!isIntroduction) {
    return compact;
  }
  const { availabilityZone, callerAddress, peerAddress, region } = member;
  return [...compact, [peerAddress, callerAddress, region, availabilityZone]];
}

/** Fields that only introductions carry; otherwise the receiver takes them from its record. */
type MemberLocation = Pick<Member, 'peerAddress' | 'callerAddress' | 'region' | 'availabilityZone'>;

/** Decodes an update; `undefined` when neither it nor `known` gives the location of the member. */
export function decodeMember(wire: WireMember, known: Member | undefined): Member | undefined {
  const [name, startedAt, incarnations, stateVersion, status, offset, digest, flags] = wire;
  const location = locationOf(wire, known);
  if (location === undefined) {
    return undefined;
  }
  const { availabilityZone, callerAddress, peerAddress, region } = location;
  return {
    name,
    peerAddress,
    callerAddress,
    region,
    availabilityZone,
    incarnation: startedAt + incarnations,
    startedAt,
    stateVersion,
    status: STATUSES[status] ?? MemberStatus.Alive,
    state: {
      configurationOffset: offset,
      configurationDigest: digest,
      isReady: (flags & READY_FLAG) !== 0,
      isDraining: (flags & DRAINING_FLAG) !== 0,
    },
  };
}

/** Whether an update gives its process a live status. */
export function isWireMemberLive(wire: WireMember): boolean {
  const status = STATUSES[wire[4]];
  return status === MemberStatus.Alive || status === MemberStatus.Suspect;
}

function locationOf(wire: WireMember, known: Member | undefined): MemberLocation | undefined {
  const [, , , , , , , , location] = wire;
  if (location === undefined) {
    return known;
  }
  const [peerAddress, callerAddress, region, availabilityZone] = location;
  return { peerAddress, callerAddress, region, availabilityZone };
}
