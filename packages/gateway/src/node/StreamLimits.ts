/** How long a stream may be silent before it is resumed elsewhere, and how urgent it is to its engine. */
import type { ForwardRoute } from '../common/Messages.js';

/** A stream is silent when the expected time to its first event passed this many times … */
const FIRST_SILENCE_FACTOR = 2;
/** … and this long after, … */
const FIRST_SILENCE_MARGIN_MS = 1_000;
/** … but not before its latency target passed this many times. */
const FIRST_SILENCE_TARGETS = 1.2;
/** After its first event a stream is silent after this many times its pause target. */
const SILENCE_PAUSES = 3;
const SILENCE_MARGIN_MS = 300;
/** … and at least this: engines pause over a second for a long read, callers leave after two. */
const MIN_SILENCE_MS = 1_500;
/** Latency targets up to which a prompt is urgent to its engine, with the priority that it gets. */
const ENGINE_PRIORITIES = [
  { latencyTargetMs: 600, priority: 2 },
  { latencyTargetMs: 2_000, priority: 4 },
] as const;
const LEAST_PRIORITY = 6;

/** Longest silence before the first event of a stream that is expected after `expectedMs`. */
export function firstSilenceMs(expectedMs: number, { latencyTargetMs }: ForwardRoute): number {
  return Math.max(
    expectedMs * FIRST_SILENCE_FACTOR + FIRST_SILENCE_MARGIN_MS,
    latencyTargetMs * FIRST_SILENCE_TARGETS,
  );
}

/** Longest silence after the first event. */
export function laterSilenceMs({ pauseTargetMs }: ForwardRoute): number {
  return Math.max(MIN_SILENCE_MS, pauseTargetMs * SILENCE_PAUSES + SILENCE_MARGIN_MS);
}

/** 0 is the most urgent, 9 the least. */
export function enginePriority({ latencyTargetMs }: ForwardRoute): number {
  const found = ENGINE_PRIORITIES.find((each) => latencyTargetMs <= each.latencyTargetMs);
  return found?.priority ?? LEAST_PRIORITY;
}
