/** Member records as nodes exchange them, with their schemas, and the membership methods. */
import * as z from 'zod';

/** The status of a member in the failure detector. */
export enum MemberStatus {
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
  Left = 'left',
}

/** The state that a node publishes about itself, piggybacked on probe messages. */
export const memberStateSchema = z.object({
  /** Offset of the configuration in force. */
  configurationOffset: z.number().int(),
  configurationDigest: z.string(),
  /** Whether the node accepts new requests. */
  isReady: z.boolean(),
  isDraining: z.boolean(),
});

export const memberSchema = z.object({
  name: z.string(),
  /** `IP:port` at which other nodes reach this one. */
  peerAddress: z.string(),
  /** `http://IP:port` at which callers reach it. */
  callerAddress: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  /** Increases with each restart, each pause and each refuted suspicion. */
  incarnation: z.number().int(),
  /** The first incarnation of the process; distinguishes the successive processes of a node. */
  startedAt: z.number().int(),
  /** Increases with each change of `state`; orders updates within an incarnation. */
  stateVersion: z.number().int(),
  status: z.enum(MemberStatus),
  state: memberStateSchema,
});

export type MemberState = z.infer<typeof memberStateSchema>;
export type Member = z.infer<typeof memberSchema>;

/** The JSON-RPC method of probe messages. */
export const PROBE_METHOD = 'mesh.probe';
/** The JSON-RPC method by which two nodes exchange member lists, such as when one starts. */
export const JOIN_METHOD = 'mesh.join';
