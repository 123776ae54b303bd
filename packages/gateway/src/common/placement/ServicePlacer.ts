/**
 * Chooses the target of a plain call: few requests in flight, rare failures, the own availability
 * zone among equals. Failure rates are compared with the best target, since a service may fail some
 * requests by itself wherever they run.
 */
import type { TargetEntry } from '../Messages.js';

/** A target with what this node knows of it. */
export interface ServiceCandidate {
  readonly entry: TargetEntry;
  /** Requests of this node that it has not answered. */
  readonly inFlight: number;
  /** Recent share of failures, from 0 to 1. */
  readonly failureRate: number;
  readonly isSuspect: boolean;
}

/** Requests in flight that a failure rate of 1 weighs as much as. */
const FAILURE_WEIGHT = 12;
/** Differences in failure rate that may be chance. */
const FAILURE_RATE_TOLERANCE = 0.15;
/** Requests in flight at a near target that outweigh a far one. */
const REMOTE_ZONE_WEIGHT = 1.5;
const SUSPECT_WEIGHT = 100;

/** The best of the candidates; `undefined` when there is none. */
export function placeCall(
  candidates: readonly ServiceCandidate[],
  availabilityZone: string,
): TargetEntry | undefined {
  const lowest = Math.min(...candidates.map(({ failureRate }) => failureRate));
  let best: { readonly entry: TargetEntry; readonly weight: number } | undefined;
  for (const { entry, failureRate, inFlight, isSuspect } of candidates) {
    const excess = Math.max(0, failureRate - lowest - FAILURE_RATE_TOLERANCE);
    const weight =
      inFlight +
      excess * FAILURE_WEIGHT +
      (entry.availabilityZone === availabilityZone ? 0 : REMOTE_ZONE_WEIGHT) +
      (isSuspect ? SUSPECT_WEIGHT : 0);
    if (best === undefined || weight < best.weight) {
      best = { entry, weight };
    }
  }
  return best?.entry;
}
