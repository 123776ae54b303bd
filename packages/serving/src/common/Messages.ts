/** The messages between nodes for reservations, which the owner of a target grants. */
import type { LengthClass } from '@tanagerdyke/contracts';
import * as z from 'zod';

/** JSON-RPC method: requests a reservation from the owner of a target. */
export const RESERVE_METHOD = 'serving.reserve';
/** JSON-RPC method: notifies the owner that the prefill of reservations has ended. */
export const STARTED_METHOD = 'serving.started';
/** JSON-RPC method: releases reservations. */
export const RELEASE_METHOD = 'serving.release';

/** A leading part of a prompt, up to the end of one of its segments. */
export interface PromptPrefix {
  /** Digest of the prompt from its start to the end of the segment. */
  readonly prefix: string;
  /** Length of that segment alone. */
  readonly tokens: number;
}

/** A reservation request of an entry node to the owner of a target. */
export interface ReserveRequest {
  readonly target: string;
  /** Id of the attempt, set by the entry node; makes the request idempotent. */
  readonly id: string;
  readonly node: string;
  /** Start of the node's process, in milliseconds of wall time; a restart increases it. */
  readonly incarnation: number;
  readonly workspace: string;
  readonly version: string;
  readonly lengthClass: LengthClass;
  /** Tokens to prefill, including those that may be cached. */
  readonly prefillTokens: number;
  readonly prefixes: readonly PromptPrefix[];
  readonly outputTokens: number;
  /** KV cache that the request occupies on this target. */
  readonly memoryTokens: number;
  /** Time left until the deadline. */
  readonly remainingMs: number;
}

/** The owner's view of the free capacity of a target; part of every response. */
export interface CapacityHint {
  readonly freeTokens: number;
  /** Prefill time queued ahead of a new request, indexed by engine priority. */
  readonly backlogMs: readonly number[];
  readonly running: number;
}

/** The owner's response to a reservation request. */
export interface ReserveResponse {
  readonly isGranted: boolean;
  /** Whether the engine has the version loaded. */
  readonly hasVersion: boolean;
  /** Whether the target takes no new work. */
  readonly isLeaving: boolean;
  /** Estimated time to first token. */
  readonly estimateMs: number;
  /** Time after which a refused request may be granted. */
  readonly retryAfterMs: number;
  readonly hint: CapacityHint;
}

/** JSON-RPC method: an owner asks an entry node which of the given attempts are in flight. */
export const LIVE_METHOD = 'serving.live';

export const liveResponseSchema = z.object({ live: z.array(z.string()) });
export type LiveResponse = z.infer<typeof liveResponseSchema>;

export const reservationIdsSchema = z.object({ target: z.string(), ids: z.array(z.string()) });
export type ReservationIds = z.infer<typeof reservationIdsSchema>;
