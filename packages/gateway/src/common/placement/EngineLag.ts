/**
 * How far an engine is behind the schedule that the known work gives it. The load that it answers: an
 * engine still works for callers of nodes that lost power, or is slow, and every node goes on to
 * place short prompts on it, since by the schedule it idles.
 */
import type { EngineWork } from './LoadBoard.js';

/** Longer reads are overtaken by more urgent ones, so their lateness shows nothing. */
const SHORT_READ_MS = 60;
/** Way to the engine and back, the step that is under way, and the news about it. */
const ANSWER_GRACE_MS = 60;

/**
 * Time since the engine should have answered its oldest short prompt, 0 when that isn't due.
 *
 * @param works all work on the engine that names no other one
 */
export function engineLagMs(works: readonly EngineWork[], passMs: number, now: number): number {
  const shortWorks = works.filter(({ partMs }) => partMs <= SHORT_READ_MS);
  // An answer to a later prompt shows that the engine isn't stuck; that packet may just be lost.
  const lastBegun = Math.max(
    ...shortWorks.filter(({ isGenerating }) => isGenerating).map(({ startedAt }) => startedAt),
  );
  const waiting = shortWorks
    .filter(({ isGenerating, startedAt }) => !isGenerating && startedAt > lastBegun)
    .sort((a, b) => a.startedAt - b.startedAt);
  const [oldest] = waiting;
  if (oldest === undefined) {
    return 0;
  }
  const readAt = works
    .filter(({ isGenerating, startedAt }) => !isGenerating && startedAt <= oldest.startedAt)
    .sort((a, b) => a.startedAt - b.startedAt)
    .reduce((end, work) => Math.max(end, work.startedAt) + work.partMs, 0);
  return Math.max(0, now - readAt - passMs - ANSWER_GRACE_MS);
}
