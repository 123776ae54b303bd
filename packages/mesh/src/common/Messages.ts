/** The messages between nodes, with their schemas. */
import * as z from 'zod';

/** What a node knows of another. */
export enum MemberStatus {
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
  Left = 'left',
}

/** What a node tells of itself; rides on probes. */
export const memberStateSchema = z.object({
  /** Offset of the configuration in force. */
  configurationOffset: z.number().int(),
  configurationDigest: z.string(),
  /** Whether it takes new work. */
  isReady: z.boolean(),
  isDraining: z.boolean(),
});

export const memberSchema = z.object({
  name: z.string(),
  /** `IP:port` for peers. */
  peerAddress: z.string(),
  /** `http://IP:port` for callers. */
  callerAddress: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** Grows with each restart and each refuted suspicion. */
  incarnation: z.number().int(),
  /** The first incarnation of the process; tells one process of a node from the next. */
  startedAt: z.number().int(),
  /** Grows with each change of `state` within an incarnation. */
  stateVersion: z.number().int(),
  status: z.enum(MemberStatus),
  state: memberStateSchema,
});

export type MemberState = z.infer<typeof memberStateSchema>;
export type Member = z.infer<typeof memberSchema>;

/** The JSON-RPC method of probe datagrams. */
export const PROBE_METHOD = 'mesh.probe';
/** The JSON-RPC method by which a starting node gets the whole member list. */
export const JOIN_METHOD = 'mesh.join';
