/**
 * Estimates how long prompts wait for a slot. Load pattern: a burst takes all slots within a moment.
 * By their ages alone its requests seem to end at once, so that more prompts wait than can be served
 * before their time is over, and are refused late.
 */
import type { ActiveRequest } from './ActiveRequestTable.js';

/** Part of its age for which a request that is past its expected end is expected to go on. */
const OVERDUE_SHARE = 0.25;

/**
 * Time until `ahead` waiting prompts and another one get capacity.
 *
 * @param active requests that hold the slots
 * @param freeSlots slots that no request holds
 */
export function capacityWaitMs(
  active: readonly ActiveRequest[],
  ahead: number,
  freeSlots: number,
  now: number,
): number {
  return active.some(({ expectedEndAt }) => expectedEndAt !== undefined)
    ? waitByEnds(active, ahead, freeSlots, now)
    : waitByAges(active, ahead, now);
}

/** Requests are half done in the mean, so they end within twice their mean age. */
function waitByAges(active: readonly ActiveRequest[], ahead: number, now: number): number {
  if (active.length === 0) {
    return 0;
  }
  const ages = active.reduce((sum, { startedAt }) => sum + (now - startedAt), 0);
  const meanTimeMs = (2 * ages) / active.length;
  return (ahead * meanTimeMs) / active.length;
}

/**
 * Estimates of the ends scatter, so each request is taken to end at any moment up to twice its
 * remaining time with equal chance. Returns the time by which enough of them are expected to end.
 */
function waitByEnds(
  active: readonly ActiveRequest[],
  ahead: number,
  freeSlots: number,
  now: number,
): number {
  // The last of the slots becomes free about half an interval before the prompt needs it.
  const needed = ahead + 0.5 - freeSlots;
  if (needed <= 0) {
    return 0;
  }
  const latest = active.map((request) => 2 * remainingMs(request, now)).sort((a, b) => a - b);
  let rate = latest.reduce((sum, each) => sum + 1 / each, 0);
  for (const [ended, latestMs] of latest.entries()) {
    const waitMs = (needed - ended) / rate;
    if (waitMs <= latestMs) {
      return waitMs;
    }
    rate -= 1 / latestMs;
  }
  const longestMs = latest.at(-1) ?? 0;
  return (longestMs * needed) / Math.max(1, latest.length);
}

function remainingMs({ expectedEndAt, startedAt }: ActiveRequest, now: number): number {
  const ageMs = Math.max(0, now - startedAt);
  const expectedMs = expectedEndAt === undefined ? ageMs : expectedEndAt - now;
  return Math.max(1, expectedMs, ageMs * OVERDUE_SHARE);
}
