/** The peer messages of the serving layer: reservations that the owner of a target grants. */
import type { LengthClass } from '@tanagerdyke/contracts';
import * as z from 'zod';

/** JSON-RPC method: asks the owner of a target for a reservation. */
export const RESERVE_METHOD = 'serving.reserve';
/** JSON-RPC method: tells the owner that prefill has ended for reservations. */
export const STARTED_METHOD = 'serving.started';
/** JSON-RPC method: gives reservations back. */
export const RELEASE_METHOD = 'serving.release';

/** A stretch of a prompt from its start. */
export interface PromptPrefix {
  /** Digest of everything up to the end of a segment. */
  readonly prefix: string;
  /** Tokens of that segment. */
  readonly tokens: number;
}

/** What an entry node asks the owner of a target for. */
export interface ReserveRequest {
  readonly target: string;
  /** Chosen by the entry node; asking again with the same id is harmless. */
  readonly id: string;
  readonly node: string;
  /** Start of the node's process. */
  readonly incarnation: number;
  readonly workspace: string;
  readonly version: string;
  readonly lengthClass: LengthClass;
  /** Tokens to prefill, cached ones included. */
  readonly prefillTokens: number;
  readonly prefixes: readonly PromptPrefix[];
  readonly outputTokens: number;
  /** KV cache that the request takes on this target. */
  readonly memoryTokens: number;
  /** Time left until the deadline. */
  readonly remainingMs: number;
}

/** What the owner knows of a target's free capacity; rides on every answer. */
export interface CapacityHint {
  readonly freeTokens: number;
  /** Prefill ahead of a new request, by engine priority. */
  readonly backlogMs: readonly number[];
  readonly running: number;
}

/** The owner's answer. */
export interface ReserveAnswer {
  readonly isGranted: boolean;
  /** Whether the engine has the version loaded. */
  readonly hasVersion: boolean;
  /** Whether the target takes no new work. */
  readonly isLeaving: boolean;
  /** Estimated time to first token. */
  readonly estimateMs: number;
  /** When a refused request may fit. */
  readonly retryAfterMs: number;
  readonly hint: CapacityHint;
}

/** JSON-RPC method: an owner asks an entry node which of some attempts it has under way. */
export const LIVE_METHOD = 'serving.live';

export const liveAnswerSchema = z.object({ live: z.array(z.string()) });
export type LiveAnswer = z.infer<typeof liveAnswerSchema>;

export const reservationIdsSchema = z.object({ target: z.string(), ids: z.array(z.string()) });
export type ReservationIds = z.infer<typeof reservationIdsSchema>;
