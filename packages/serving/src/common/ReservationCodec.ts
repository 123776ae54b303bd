/**
 * Reservations on the wire: positional, with whole milliseconds and tokens. They are by far the most
 * frequent messages between nodes, and with named fields they would take most of a node's bytes.
 */
import { LengthClass } from '@tanagerdyke/contracts';
import * as z from 'zod';
import type { ReserveAnswer, ReserveRequest } from './Messages.js';

const GRANTED_FLAG = 1;
const HAS_VERSION_FLAG = 2;
const LEAVING_FLAG = 4;

const whole = z.number().int();
const wirePrefixSchema = z.tuple([z.string(), whole.min(0)]);

/** A request in the order of the fields of `ReserveRequest`. */
const wireRequestSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  whole,
  z.string(),
  z.string(),
  z.enum(LengthClass),
  whole.min(0),
  z.array(wirePrefixSchema),
  whole.min(0),
  whole.min(0),
  whole,
]);

/** Flags, estimate, retry time, free tokens and running requests; then backlogs by priority. */
const wireAnswerSchema = z.tuple([whole, whole, whole, whole, whole, z.array(whole)]);

/** Reads a request from the wire. */
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

/** Reads an answer from the wire. */
export const reserveAnswerDecoder = wireAnswerSchema.transform(
  ([flags, estimateMs, retryAfterMs, freeTokens, running, backlogMs]): ReserveAnswer => ({
    isGranted: (flags & GRANTED_FLAG) !== 0,
    hasVersion: (flags & HAS_VERSION_FLAG) !== 0,
    isLeaving: (flags & LEAVING_FLAG) !== 0,
    estimateMs,
    retryAfterMs,
    hint: { freeTokens, running, backlogMs },
  }),
);

/** A request for the wire. The time left is rounded down, so that no deadline grows. */
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

/** An answer for the wire. */
export function encodeReserveAnswer(answer: ReserveAnswer): z.input<typeof wireAnswerSchema> {
  const { hint } = answer;
  const flags =
    (answer.isGranted ? GRANTED_FLAG : 0) |
    (answer.hasVersion ? HAS_VERSION_FLAG : 0) |
    (answer.isLeaving ? LEAVING_FLAG : 0);
  return [
    flags,
    Math.ceil(answer.estimateMs),
    Math.ceil(answer.retryAfterMs),
    Math.floor(hint.freeTokens),
    hint.running,
    hint.backlogMs.map(Math.ceil),
  ];
}
