/**
 * Detects how far an engine is behind the schedule computed from its active requests. An engine may
 * be slow, or still run requests of nodes that lost power, which no other node has a record of any
 * more. By the schedule such an engine is idle, so without this delay every node would keep placing
 * short prompts on it.
 */
import type { ActiveRequest } from './ActiveRequestTable.js';
import { prefillEndAt } from './EngineTiming.js';

/** Longer prefills are overtaken by more urgent ones, so a late one is no sign of a slow engine. */
const SHORT_PREFILL_MS = 60;
/** Covers the round trip to the engine, the step that it is running, and the load update. */
const FIRST_EVENT_GRACE_MS = 60;

/**
 * Returns the time since the first event of the oldest short prompt was due on an engine, or 0 when
 * none is overdue.
 *
 * @param requests all requests that run on this engine alone
 * @param slowdown factor by which the engine is slower than configured
 */
export function scheduleDelayMs(
  requests: readonly ActiveRequest[],
  passMs: number,
  now: number,
  slowdown = 1,
): number {
  const mayBeOverdue = requests.some(
    ({ isGenerating, partPrefillMs, startedAt }) =>
      !isGenerating &&
      partPrefillMs <= SHORT_PREFILL_MS &&
      now - startedAt > partPrefillMs * slowdown + passMs + FIRST_EVENT_GRACE_MS,
  );
  if (!mayBeOverdue) {
    return 0;
  }
  const ordered = [...requests].sort((a, b) => a.startedAt - b.startedAt);
  const short = ordered.filter(({ partPrefillMs }) => partPrefillMs <= SHORT_PREFILL_MS);
  // A later prompt that generates shows that the engine is not stuck. Older ones are disregarded,
  // since the datagram that reports their first event may just be lost.
  const latestGenerating = short.findLast(({ isGenerating }) => isGenerating);
  const oldest = short.find(
    ({ isGenerating, startedAt }) =>
      !isGenerating && startedAt > (latestGenerating?.startedAt ?? Number.NEGATIVE_INFINITY),
  );
  if (oldest === undefined) {
    return 0;
  }
  const pendingUpToOldest = ordered.filter(
    ({ isGenerating, startedAt }) => !isGenerating && startedAt <= oldest.startedAt,
  );
  return Math.max(
    0,
    now - prefillEndAt(pendingUpToOldest, slowdown) - passMs - FIRST_EVENT_GRACE_MS,
  );
}
