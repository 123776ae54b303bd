/** Timeouts after which a stream is resumed on another engine, and its priority on an engine. */
import type { ForwardRoute } from '../common/Messages.js';

/** The timeout of the first event is this multiple of its predicted time, plus the margin. */
const FIRST_EVENT_FACTOR = 2;
const FIRST_EVENT_MARGIN_MS = 1_000;
/** It is at least this multiple of the route's latency target. */
const FIRST_EVENT_TARGET_FACTOR = 1.2;
/** The timeout of later events is this multiple of the route's pause target, plus the margin. */
const PAUSE_TARGET_FACTOR = 3;
const PAUSE_MARGIN_MS = 300;
/**
 * Lower limit of the timeout of later events: engines pause for over a second during a long
 * prefill, and callers disconnect after a pause of two seconds.
 */
const MIN_NEXT_EVENT_TIMEOUT_MS = 1_500;
/** Priorities of prompts on their engine, for latency targets up to the given one. */
const ENGINE_PRIORITIES = [
  { latencyTargetMs: 600, priority: 2 },
  { latencyTargetMs: 2_000, priority: 4 },
] as const;
const LOWEST_PRIORITY = 6;

/** Longest wait for the first event of a stream that is predicted after `expectedMs`. */
export function firstEventTimeoutMs(expectedMs: number, { latencyTargetMs }: ForwardRoute): number {
  return Math.max(
    expectedMs * FIRST_EVENT_FACTOR + FIRST_EVENT_MARGIN_MS,
    latencyTargetMs * FIRST_EVENT_TARGET_FACTOR,
  );
}

/** Longest wait for each event after the first one. */
export function nextEventTimeoutMs({ pauseTargetMs }: ForwardRoute): number {
  return Math.max(MIN_NEXT_EVENT_TIMEOUT_MS, pauseTargetMs * PAUSE_TARGET_FACTOR + PAUSE_MARGIN_MS);
}

/** The priority of a prompt on its engine: 0 is the most urgent, 9 the least. */
export function enginePriority({ latencyTargetMs }: ForwardRoute): number {
  const found = ENGINE_PRIORITIES.find((each) => latencyTargetMs <= each.latencyTargetMs);
  return found?.priority ?? LOWEST_PRIORITY;
}
