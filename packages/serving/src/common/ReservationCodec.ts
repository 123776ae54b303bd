/**
 * The wire format of reservations: positional arrays of whole milliseconds and tokens. Reservations
 * are by far the most frequent messages between nodes; with named fields they would make up most of
 * the bytes that a node sends.
 */
import { LengthClass } from '@tanagerdyke/contracts';
import * as z from 'zod';
import type { ReserveRequest, ReserveResponse } from './Messages.js';

const GRANTED_FLAG = 1;
const HAS_VERSION_FLAG = 2;
const LEAVING_FLAG = 4;

const integer = z.number().int();
const wirePrefixSchema = z.tuple([z.string(), integer.min(0)]);

/** The fields of `ReserveRequest` in the order of their declaration. */
const wireRequestSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  integer,
  z.string(),
  z.string(),
  z.enum(LengthClass),
  integer.min(0),
  z.array(wirePrefixSchema),
  integer.min(0),
  integer.min(0),
  integer,
]);

/** Flags, estimate, retry time, free tokens, running requests, and the backlogs by priority. */
const wireResponseSchema = z.tuple([integer, integer, integer, integer, integer, z.array(integer)]);

/** Validates and decodes a request. */
export const reserveRequestDecoder = wireRequestSchema.transform(
  ([
    target,
    id,
    node,
    incarnation,
    workspace,
    version,
    lengthClass,
    prefillTokens,
    prefixes,
    outputTokens,
    memoryTokens,
    remainingMs,
  ]): ReserveRequest => ({
    target,
    id,
    node,
    incarnation,
    workspace,
    version,
    lengthClass,
    prefillTokens,
    prefixes: prefixes.map(([prefix, tokens]) => ({ prefix, tokens })),
    outputTokens,
    memoryTokens,
    remainingMs,
  }),
);

/** Validates and decodes a response. */
export const reserveResponseDecoder = wireResponseSchema.transform(
  ([flags, estimateMs, retryAfterMs, freeTokens, running, backlogMs]): ReserveResponse => ({
    isGranted: (flags & GRANTED_FLAG) !== 0,
    hasVersion: (flags & HAS_VERSION_FLAG) !== 0,
    isLeaving: (flags & LEAVING_FLAG) !== 0,
    estimateMs,
    retryAfterMs,
    hint: { freeTokens, running, backlogMs },
  }),
);

/** Encodes a request. Rounds the remaining time down, so that the deadline never moves later. */
export function encodeReserveRequest(request: ReserveRequest): z.input<typeof wireRequestSchema> {
  return [
    request.target,
    request.id,
    request.node,
    request.incarnation,
    request.workspace,
    request.version,
    request.lengthClass,
    request.prefillTokens,
    request.prefixes.map(({ prefix, tokens }) => [prefix, tokens]),
    request.outputTokens,
    request.memoryTokens,
    Math.floor(request.remainingMs),
  ];
}

/** Encodes a response. */
export function encodeReserveResponse(
  response: ReserveResponse,
): z.input<typeof wireResponseSchema> {
  const { hint } = response;
  const flags =
    (response.isGranted ? GRANTED_FLAG : 0) |
    (response.hasVersion ? HAS_VERSION_FLAG : 0) |
    (response.isLeaving ? LEAVING_FLAG : 0);
  return [
    flags,
    Math.ceil(response.estimateMs),
    Math.ceil(response.retryAfterMs),
    Math.floor(hint.freeTokens),
    hint.running,
    hint.backlogMs.map(Math.ceil),
  ];
}
