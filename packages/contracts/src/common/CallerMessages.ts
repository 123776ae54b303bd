/**
 * The messages that callers send and receive. The schema of a request body bounds every number,
 * identifier and list. Texts are bounded only by the size limit of the whole body, and the total
 * tokens of a prompt by the limit of its route.
 */
import * as z from 'zod';

/** Longest prompt. */
export const MAX_PROMPT_TOKENS = 1_048_576;
/** Maximum number of tokens generated for one request. */
export const MAX_OUTPUT_TOKENS = 16_384;
const MAX_SEGMENTS = 4_096;
const MAX_IDENTIFIER_CHARACTERS = 128;
const DEFAULT_OUTPUT_TOKENS = 256;
/** Bytes of UTF-8 text per token in the estimates for admission. */
const BYTES_PER_TOKEN = 4;

const segment = z.strictObject({
  digest: z.string().min(1).max(MAX_IDENTIFIER_CHARACTERS),
  tokens: z.number().int().min(1).max(MAX_PROMPT_TOKENS),
  text: z.string().optional(),
});

/** The body of `POST /v1/completions`. `model` names a route. */
export const completionSchema = z.strictObject({
  model: z.string().min(1).max(MAX_IDENTIFIER_CHARACTERS),
  prompt: z.union([z.string().min(1), z.array(segment).min(1).max(MAX_SEGMENTS)]),
  maxTokens: z.number().int().min(1).max(MAX_OUTPUT_TOKENS).default(DEFAULT_OUTPUT_TOKENS),
  stream: z.boolean().default(false),
});

/** A validated body of `POST /v1/completions`. */
export type CompletionBody = z.infer<typeof completionSchema>;

/** Estimates the number of tokens of a text from its length in bytes. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}

/** A server-sent event with tokens of a streamed completion. */
export interface CompletionChunk {
  readonly request: string;
  /** Increases by one with each event. */
  readonly sequence: number;
  /** Position of the first token of this event in the completion. */
  readonly position: number;
  readonly tokens: readonly string[];
}

/** The server-sent event that ends a complete answer. */
export interface CompletionEnd {
  readonly request: string;
  /** Follows the sequence of the last chunk; 0 if the answer is not streamed. */
  readonly sequence: number;
  /** Number of tokens of the whole completion. */
  readonly count: number;
  /** Digest of all tokens from position 0; empty if the engine sent none. */
  readonly digest: string;
}
