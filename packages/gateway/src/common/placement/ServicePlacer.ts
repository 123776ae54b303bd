/**
 * Chooses the target of a request to a plain service by its remaining work, its failure rate and its
 * availability zone. The remaining work is that of this node's requests in flight and the wait that
 * answers show. Failure rates count only as far as they exceed that of the best target, since a service
 * may fail some requests on any target.
 */
import type { TargetEntry } from '../Messages.js';

/** A target with its state as recorded by this node. */
export interface ServiceCandidate {
  readonly entry: TargetEntry;
  /** Requests of this node to it that have not ended. */
  readonly inFlight: number;
  /** Wait in the queue of the target, in usual durations of a request. */
  readonly wait: number;
  /** Recent share of failures, from 0 to 1. */
  readonly failureRate: number;
  readonly isSuspect: boolean;
}

/** Requests in flight that an excess failure rate of 1 counts as. */
const FAILURE_WEIGHT = 12;
/** Differences in failure rate up to this may be random. */
const FAILURE_RATE_TOLERANCE = 0.15;
/** Requests in flight that another availability zone counts as. */
const REMOTE_ZONE_WEIGHT = 1.5;
/** Requests in flight that a wait of one usual duration counts as. */
const WAIT_WEIGHT = 1.5;
/** Requests in flight that a suspect target counts as, so that any healthy one is preferred. */
const SUSPECT_WEIGHT = 100;

/** Returns the best candidate, or `undefined` when there is none. */
export function placeCall(
  candidates: readonly ServiceCandidate[],
  availabilityZone: string,
): TargetEntry | undefined {
  const lowestRate = Math.min(...candidates.map(({ failureRate }) => failureRate));
  let best: { readonly entry: TargetEntry; readonly weight: number } | undefined;
  for (const { entry, failureRate, inFlight, isSuspect, wait } of candidates) {
    const excessRate = Math.max(0, failureRate - lowestRate - FAILURE_RATE_TOLERANCE);
    const weight =
      inFlight +
      wait * WAIT_WEIGHT +
      excessRate * FAILURE_WEIGHT +
      (entry.availabilityZone === availabilityZone ? 0 : REMOTE_ZONE_WEIGHT) +
      (isSuspect ? SUSPECT_WEIGHT : 0);
    if (best === undefined || weight < best.weight) {
      best = { entry, weight };
    }
  }
  return best?.entry;
}
