/**
 * The schemas of what callers and operators send. They bound every length, so that a body that
 * passes them can be used as it is.
 */
import * as z from 'zod';

/** Longest prompt, in tokens. */
export const MAX_PROMPT_TOKENS = 1_048_576;
/** Most tokens generated for one request. */
export const MAX_OUTPUT_TOKENS = 16_384;
const MAX_SEGMENTS = 4_096;
const MAX_DIGEST_CHARACTERS = 128;
const DEFAULT_OUTPUT_TOKENS = 256;
/** Bytes of text counted as one token in admission estimates. */
const BYTES_PER_TOKEN = 4;

const segment = z.strictObject({
  digest: z.string().min(1).max(MAX_DIGEST_CHARACTERS),
  tokens: z.number().int().min(1).max(MAX_PROMPT_TOKENS),
  text: z.string().optional(),
});

/** The body of `POST /v1/completions`. `model` names a route. */
export const completionSchema = z.strictObject({
  model: z.string().min(1).max(MAX_DIGEST_CHARACTERS),
  prompt: z.union([z.string().min(1), z.array(segment).min(1).max(MAX_SEGMENTS)]),
  maxTokens: z.number().int().min(1).max(MAX_OUTPUT_TOKENS).default(DEFAULT_OUTPUT_TOKENS),
  stream: z.boolean().default(false),
});

/** A checked completion request. */
export type Completion = z.infer<typeof completionSchema>;

/** The estimated tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}

/** One server-sent event of a streamed completion. */
export interface CompletionChunk {
  readonly request: string;
  /** Grows by one with each event. */
  readonly sequence: number;
  /** Position of the first token. */
  readonly position: number;
  readonly tokens: readonly string[];
}

/** The event that marks the end of a whole answer. */
export interface CompletionEnd {
  readonly request: string;
  readonly sequence: number;
  readonly count: number;
  readonly digest: string;
}
