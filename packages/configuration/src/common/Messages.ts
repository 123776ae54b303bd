/** The messages that nodes exchange about the configuration. */
import * as z from 'zod';
import { objectSchema } from './Objects.js';

/** The JSON-RPC method by which a node that is behind pulls from a peer. */
export const PULL_METHOD = 'configuration.pull';

export const pullRequestSchema = z.object({
  /** Offset in force on the requesting node. */
  offset: z.number().int(),
  /** Requests a whole set, because the set of the requesting node has diverged. */
  wantsSnapshot: z.boolean(),
});

export type PullRequest = z.infer<typeof pullRequestSchema>;

/** An effective record as peers forward it. */
export const effectiveRecordSchema = z.object({ offset: z.number().int(), payload: z.string() });
export type EffectiveRecord = z.infer<typeof effectiveRecordSchema>;

/** The whole set in force. */
export const snapshotSchema = z.object({
  offset: z.number().int(),
  digest: z.string(),
  ids: z.array(z.string()),
  objects: z.array(objectSchema),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

/** The records after the requested offset, or a snapshot if some of them are no longer retained. */
export const pullResponseSchema = z.object({
  records: z.array(effectiveRecordSchema),
  snapshot: snapshotSchema.optional(),
});
export type PullResponse = z.infer<typeof pullResponseSchema>;
