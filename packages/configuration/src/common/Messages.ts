/** The peer and operator messages of the configuration layer. */
import * as z from 'zod';
import { objectSchema } from './Objects.js';

/** The JSON-RPC method by which a node that is behind asks a peer. */
export const PULL_METHOD = 'configuration.pull';

export const pullRequestSchema = z.object({
  offset: z.number().int(),
  /** Asks for a whole set, because the asker can't trust its own. */
  wantsSnapshot: z.boolean(),
});

export type PullRequest = z.infer<typeof pullRequestSchema>;

/** An effective record as a peer passes it on. */
export const effectiveRecordSchema = z.object({ offset: z.number().int(), payload: z.string() });
export type EffectiveRecord = z.infer<typeof effectiveRecordSchema>;

/** A whole set in force. */
export const snapshotSchema = z.object({
  offset: z.number().int(),
  digest: z.string(),
  ids: z.array(z.string()),
  objects: z.array(objectSchema),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

/** Either the records after the asked offset, or a snapshot when they are no longer held. */
export const pullAnswerSchema = z.object({
  records: z.array(effectiveRecordSchema),
  snapshot: snapshotSchema.optional(),
});
export type PullAnswer = z.infer<typeof pullAnswerSchema>;
