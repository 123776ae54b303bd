/**
 * The records of the claim streams and the messages between nodes about them. A record is a batch
 * of entries that one committer appended; the position of an entry is the offset of its record and
 * its index in the batch.
 */
import * as z from 'zod';

export enum EntryKind {
  /** Requests the exclusive right to dispatch a key. */
  Claim = 'claim',
  /** Records the outcome of the dispatch. */
  Outcome = 'outcome',
  /** Releases a claim whose attempt sent no byte and never will. */
  Release = 'release',
}

const commonEntryFields = { key: z.string(), attempt: z.string() };

export const claimEntrySchema = z.object({
  kind: z.literal(EntryKind.Claim),
  ...commonEntryFields,
  node: z.string(),
  incarnation: z.number().int(),
  /** Digest of workspace, route and body: the same key must mean the same call. */
  bodyDigest: z.string(),
});

/** The answer of a target as an outcome record stores it. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  /** Absent when the answer is too large for the log and the node `holder` stores it. */
  body: z.string().optional(),
  holder: z.string().optional(),
});

export const outcomeEntrySchema = z.object({
  kind: z.literal(EntryKind.Outcome),
  ...commonEntryFields,
  /** Absent when the dispatch ended without a known answer. */
  answer: storedAnswerSchema.optional(),
});

export const releaseEntrySchema = z.object({
  kind: z.literal(EntryKind.Release),
  ...commonEntryFields,
});

export const entrySchema = z.discriminatedUnion('kind', [
  claimEntrySchema,
  outcomeEntrySchema,
  releaseEntrySchema,
]);

export const batchSchema = z.object({ entries: z.array(entrySchema) });

export type ClaimEntry = z.infer<typeof claimEntrySchema>;
export type OutcomeEntry = z.infer<typeof outcomeEntrySchema>;
export type ReleaseEntry = z.infer<typeof releaseEntrySchema>;
export type Entry = z.infer<typeof entrySchema>;
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Identifies one shard of one layout; a layout is identified by its number of shards. */
export const shardIdSchema = z.object({ shards: z.number().int(), shard: z.number().int() });
export type ShardId = z.infer<typeof shardIdSchema>;

/** The log stream of a shard. */
export function claimStream({ shards, shard }: ShardId): string {
  return `claims/${shards}/${shard}`;
}

export enum KeyStatus {
  Claimed = 'claimed',
  Done = 'done',
  /** The dispatch ended without a known answer. */
  Unknown = 'unknown',
  Released = 'released',
}

export const keyStateSchema = z.object({
  status: z.enum(KeyStatus),
  /** The attempt that holds the claim. */
  attempt: z.string(),
  bodyDigest: z.string(),
  node: z.string(),
  /** Incarnation of the node at the time of the claim. */
  incarnation: z.number().int(),
  answer: storedAnswerSchema.optional(),
});

/** The state of a key after the entries applied so far. */
export type KeyState = z.infer<typeof keyStateSchema>;

/** The outcome of an append. */
export enum AppendOutcome {
  /** In the log and read back. */
  Appended = 'appended',
  /** Not in the log, and never will be. */
  Refused = 'refused',
  /** Possibly in the log; only reading back can confirm it. */
  Unknown = 'unknown',
}

/** JSON-RPC method: a committer appends an entry and returns the resulting state of its key. */
export const SUBMIT_METHOD = 'claims.submit';
/** JSON-RPC method: a committer returns the state of a key, waiting while it is claimed. */
export const FIND_METHOD = 'claims.find';
/** JSON-RPC method: a node returns the body of a large answer that it stores. */
export const FETCH_ANSWER_METHOD = 'claims.answer';

export const submitRequestSchema = z.object({
  shard: shardIdSchema,
  entry: entrySchema,
  waitMs: z.number(),
});
export const submitResponseSchema = z.object({
  fate: z.enum(AppendOutcome),
  /** The state of the key right after the entry, in log order; absent unless appended. */
  state: keyStateSchema.optional(),
});
export const findRequestSchema = z.object({
  shard: shardIdSchema,
  key: z.string(),
  waitMs: z.number(),
});
export const findResponseSchema = z.object({
  state: keyStateSchema.optional(),
  /** Whether the shard was replayed to its tail; if not, an absent state is inconclusive. */
  isComplete: z.boolean(),
});
export const fetchAnswerRequestSchema = z.object({ key: z.string() });
export const fetchAnswerResponseSchema = z.object({ body: z.string().optional() });

export type SubmitResponse = z.infer<typeof submitResponseSchema>;
export type FindResponse = z.infer<typeof findResponseSchema>;
