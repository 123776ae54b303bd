/** The datagrams of the failure detector, with their schema. */
import * as z from 'zod';
import { wireMemberSchema } from './MemberCodec.js';
import { PROBE_METHOD } from './Messages.js';
import { bySchema, notificationParser } from './Notifications.js';

/** The kinds of datagrams. */
export enum ProbeKind {
  Ping = 'ping',
  Ack = 'ack',
  /** Asks the receiver to ping `target` and forward its ack. */
  IndirectPing = 'indirect-ping',
  /** Only carries members. */
  News = 'news',
}

/** A datagram of the failure detector, the params of a JSON-RPC notification. */
export const probeSchema = z.object({
  kind: z.enum(ProbeKind),
  /** Matches an ack to its ping. */
  id: z.string(),
  /** `IP:port` that the ack goes to. */
  from: z.string(),
  /** `IP:port` to ping, for indirect pings. */
  target: z.string().optional(),
  members: z.array(wireMemberSchema),
});

export type Probe = z.infer<typeof probeSchema>;

/** Reads a datagram; `undefined` when it is no probe. */
export const parseProbe = notificationParser(PROBE_METHOD, bySchema(probeSchema));
