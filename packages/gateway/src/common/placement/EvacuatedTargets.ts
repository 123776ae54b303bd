/**
 * When callers return whose requests only targets in evacuated zones could take. Load pattern: all
 * zones are evacuated, and each node refuses its callers at the same moment; with the same time to
 * retry they would return together, and again and again while the evacuation lasts.
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import type { TargetEntry } from '../Messages.js';

/** An evacuation lasts for many seconds, and every retry before its end is refused. */
const MIN_RETURN_MS = 2_000;
const RETURN_SPREAD_MS = 3_000;

/**
 * Returns the time after which to retry, different for each caller; `undefined` if a target accepts
 * requests, or if none is missing because of an evacuation.
 */
export function evacuationRetryMs(
  accepting: readonly TargetEntry[],
  evacuated: readonly TargetEntry[],
  random: RandomSource,
): number | undefined {
  return accepting.length === 0 && evacuated.length > 0
    ? MIN_RETURN_MS + random.next() * RETURN_SPREAD_MS
    : undefined;
}
