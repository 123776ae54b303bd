/**
 * How far an engine is behind the schedule that the known work gives it. The load that it answers: an
 * engine still works for callers of nodes that lost power, or is slow, and every node goes on to
 * place short prompts on it, since by the schedule it idles.
 */
import { prefillEndAt } from './EngineTiming.js';
import type { EngineWork } from './LoadBoard.js';

/** Longer reads are overtaken by more urgent ones, so their lateness shows nothing. */
const SHORT_PREFILL_MS = 60;
/** Way to the engine and back, the step that is under way, and the news about it. */
const FIRST_EVENT_GRACE_MS = 60;

/**
 * Time since the engine should have answered its oldest short prompt, 0 when that isn't due.
 *
 * @param works all work on the engine that names no other one
 */
export function scheduleDelayMs(works: readonly EngineWork[], passMs: number, now: number): number {
  const ordered = [...works].sort((a, b) => a.startedAt - b.startedAt);
  const shortWorks = ordered.filter(({ partPrefillMs }) => partPrefillMs <= SHORT_PREFILL_MS);
  // An answer to a later prompt shows that the engine isn't stuck; that packet may just be lost.
  const lastBegun = shortWorks.findLast(({ isGenerating }) => isGenerating);
  const oldest = shortWorks.find(
    ({ isGenerating, startedAt }) =>
      !isGenerating && startedAt > (lastBegun?.startedAt ?? Number.NEGATIVE_INFINITY),
  );
  if (oldest === undefined) {
    return 0;
  }
  const before = ordered.filter(
    ({ isGenerating, startedAt }) => !isGenerating && startedAt <= oldest.startedAt,
  );
  return Math.max(0, now - prefillEndAt(before) - passMs - FIRST_EVENT_GRACE_MS);
}
