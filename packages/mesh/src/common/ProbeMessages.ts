/** The messages of the failure detector, with their schema. */
import * as z from 'zod';
import { wireMemberSchema } from './MemberCodec.js';
import { PROBE_METHOD } from './Messages.js';
import { notificationParser, schemaReader } from './Notifications.js';

/** The kinds of probe messages. */
export enum ProbeKind {
  Ping = 'ping',
  Ack = 'ack',
  /** Asks the receiver to ping `target` and forward its ack. */
  IndirectPing = 'indirect-ping',
  /** Carries membership updates only. */
  Update = 'news',
}

/** A probe message: the params of a JSON-RPC notification that is sent as one datagram. */
export const probeMessageSchema = z.object({
  kind: z.enum(ProbeKind),
  /** Matches an ack to its ping. */
  id: z.string(),
  /** `IP:port` of the sender, to which the ack is sent. */
  from: z.string(),
  /** `IP:port` to ping, for indirect pings. */
  target: z.string().optional(),
  /** The sender's own state and piggybacked updates; for `Update` only the pushed update. */
  members: z.array(wireMemberSchema),
  /** Digest of the sender's live members; nodes of earlier releases send none. */
  digest: z.number().optional(),
});

export type ProbeMessage = z.infer<typeof probeMessageSchema>;

/** Parses a datagram; `undefined` when it isn't a probe message. */
export const parseProbeMessage = notificationParser(PROBE_METHOD, schemaReader(probeMessageSchema));
