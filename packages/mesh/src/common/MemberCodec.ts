/**
 * Members as they ride on datagrams: positional, and without the addresses and the zone unless the
 * receiver may not know the process yet. A datagram with a full load then fits one packet.
 */
import * as z from 'zod';
import { type Member, MemberStatus } from './Messages.js';

/** Statuses by their number on the wire. */
const STATUSES = [
  MemberStatus.Alive,
  MemberStatus.Suspect,
  MemberStatus.Dead,
  MemberStatus.Left,
] as const;
const READY_FLAG = 1;
const DRAINING_FLAG = 2;

/** Peer address, caller address, region and availability zone. */
const placeSchema = z.tuple([z.string(), z.string(), z.string(), z.string()]);

const statusSchema = z
  .number()
  .int()
  .min(0)
  .max(STATUSES.length - 1);

/**
 * Name, start of the process, incarnations since, state version, status, configuration offset and
 * digest, flags.
 */
const briefSchema = z.tuple([
  z.string(),
  z.number().int(),
  z.number().int(),
  z.number().int(),
  statusSchema,
  z.number().int(),
  z.string(),
  z.number().int(),
]);

/** A brief member; on introductions, then where the process is. */
export const wireMemberSchema = z.union([
  briefSchema,
  z.tuple([...briefSchema.def.items, placeSchema]),
]);

/** A member on the wire. */
export type WireMember = z.infer<typeof wireMemberSchema>;

/** A member for the wire; `isIntroduction` adds where it is. */
export function encodeMember(member: Member, isIntroduction: boolean): WireMember {
  const { state } = member;
  const flags = (state.isReady ? READY_FLAG : 0) | (state.isDraining ? DRAINING_FLAG : 0);
  const brief: WireMember = [
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
    return brief;
  }
  const { availabilityZone, callerAddress, peerAddress, region } = member;
  return [...brief, [peerAddress, callerAddress, region, availabilityZone]];
}

/** Where a process is, as an introduction or an earlier one tells it. */
type Place = Pick<Member, 'peerAddress' | 'callerAddress' | 'region' | 'availabilityZone'>;

/** The member that an update describes; `undefined` when its place is not known. */
export function decodeMember(wire: WireMember, known: Member | undefined): Member | undefined {
  const [name, startedAt, incarnations, stateVersion, status, offset, digest, flags] = wire;
  const place = placeOf(wire, known);
  if (place === undefined) {
    return undefined;
  }
  const { availabilityZone, callerAddress, peerAddress, region } = place;
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

/** Whether an update is about a process that may still answer. */
export function isLiveOnWire(wire: WireMember): boolean {
  const status = STATUSES[wire[4]];
  return status === MemberStatus.Alive || status === MemberStatus.Suspect;
}

function placeOf(wire: WireMember, known: Member | undefined): Place | undefined {
  const [, , , , , , , , place] = wire;
  if (place === undefined) {
    return known;
  }
  const [peerAddress, callerAddress, region, availabilityZone] = place;
  return { peerAddress, callerAddress, region, availabilityZone };
}
