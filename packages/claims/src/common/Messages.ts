/**
 * The records of the claim streams. A record is a batch of entries that one committer appended; the
 * position of an entry is its record's offset and its index in the batch.
 */
import * as z from 'zod';

/** The kinds of entries. */
export enum EntryKind {
  /** Asks for the sole right to dispatch a key. */
  Claim = 'claim',
  /** Tells how the dispatch ended. */
  Outcome = 'outcome',
  /** Gives back a claim whose attempt sent no byte and never will. */
  Release = 'release',
}

const entryHead = { key: z.string(), attempt: z.string() };

export const claimEntrySchema = z.object({
  kind: z.literal(EntryKind.Claim),
  ...entryHead,
  node: z.string(),
  incarnation: z.number().int(),
  /** Digest of workspace, route and body: the same key must mean the same call. */
  bodyDigest: z.string(),
});

/** The answer of a target as it is kept. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  /** Absent when the answer is too large for the log; `holder` has it then. */
  body: z.string().optional(),
  holder: z.string().optional(),
});

export const outcomeEntrySchema = z.object({
  kind: z.literal(EntryKind.Outcome),
  ...entryHead,
  /** Absent when the dispatch ended without a known answer. */
  answer: storedAnswerSchema.optional(),
});

export const releaseEntrySchema = z.object({ kind: z.literal(EntryKind.Release), ...entryHead });

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

/** One shard of one layout; a layout is named by its number of shards. */
export const shardNameSchema = z.object({ shards: z.number().int(), shard: z.number().int() });
export type ShardName = z.infer<typeof shardNameSchema>;

/** The stream of a shard. */
export function claimStream({ shards, shard }: ShardName): string {
  return `claims/${shards}/${shard}`;
}

/** The states of a key. */
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

/** What is known of a key. */
export type KeyState = z.infer<typeof keyStateSchema>;

/** What became of an append. */
export enum AppendFate {
  /** In the log, and read back. */
  Appended = 'appended',
  /** Not in the log and never will be. */
  Refused = 'refused',
  /** Either; only reading back can tell. */
  Unknown = 'unknown',
}

/** JSON-RPC method: a committer appends an entry and answers the state that it led to. */
export const SUBMIT_METHOD = 'claims.submit';
/** JSON-RPC method: a committer answers the state of a key, waiting while it is claimed. */
export const FIND_METHOD = 'claims.find';
/** JSON-RPC method: a node answers a large answer that it holds. */
export const ANSWER_METHOD = 'claims.answer';

export const submitRequestSchema = z.object({
  shard: shardNameSchema,
  entry: entrySchema,
  waitMs: z.number(),
});
export const submitAnswerSchema = z.object({
  fate: z.enum(AppendFate),
  /** The state of the key right after the entry, in log order; absent unless appended. */
  state: keyStateSchema.optional(),
});
export const findRequestSchema = z.object({
  shard: shardNameSchema,
  key: z.string(),
  waitMs: z.number(),
});
export const findAnswerSchema = z.object({
  state: keyStateSchema.optional(),
  /** Whether the shard was replayed; without it, an absent state says nothing about the key. */
  isComplete: z.boolean(),
});
export const answerRequestSchema = z.object({ key: z.string() });
export const answerAnswerSchema = z.object({ body: z.string().optional() });

export type SubmitAnswer = z.infer<typeof submitAnswerSchema>;
export type FindAnswer = z.infer<typeof findAnswerSchema>;
