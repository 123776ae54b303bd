/**
 * The policies `slowdown` and `first-token`, one for each of the two users: the same ranking with
 * different weights. The weight trades keeping prompts on targets of their own role, which protects
 * short requests from long ones, against using the target with the shortest wait. At weight 1 the
 * penalty of the other role equals its cost on an engine that runs short prompts first: the wait
 * for one chunk of a long prompt.
 */
import { isLongClass } from '../LengthSplit.js';
import type {
  Candidate,
  PlacementPolicy,
  PlacementQuery,
  PolicyEnvironment,
  PolicyRegistry,
} from '../services/Services.js';

/** Penalty at weight 1 of a target for the other lengths: the wait for one chunk. */
const ROLE_MISMATCH_PENALTY_MS = 25;
/** Share of the prefill that the prefix cache of a preferred target is expected to save. */
const AFFINITY_SAVED_PREFILL_SHARE = 0.5;
/** Penalty of a target in another availability zone. */
const OTHER_ZONE_PENALTY_MS = 4;
/** Largest random addition, which keeps entry nodes from all choosing the same target. */
const MAX_JITTER_MS = 2;

/** Ranks by estimated wait with a weighted penalty for targets of the other role. */
export class WeightedPolicy implements PlacementPolicy {
  constructor(
    private readonly _environment: PolicyEnvironment,
    private readonly _separationWeight: number,
  ) {}

  public rank(query: PlacementQuery, candidates: readonly Candidate[]): readonly Candidate[] {
    const scored = candidates.map((candidate) => ({
      candidate,
      score: this._score(query, candidate),
    }));
    scored.sort((a, b) => a.score - b.score);
    return scored.map(({ candidate }) => candidate);
  }

  private _score(query: PlacementQuery, candidate: Candidate): number {
    const { host } = candidate.hostedTarget;
    const isMismatch = candidate.isForLong !== isLongClass(query.lengthClass);
    const isOtherZone = host.availabilityZone !== this._environment.availabilityZone;
    return (
      candidate.backlogMs +
      (isMismatch ? ROLE_MISMATCH_PENALTY_MS * this._separationWeight : 0) +
      (isOtherZone ? OTHER_ZONE_PENALTY_MS : 0) -
      (candidate.isAffine ? query.idlePrefillMs * AFFINITY_SAVED_PREFILL_SHARE : 0) +
      this._environment.random() * MAX_JITTER_MS
    );
  }
}

const SLOWDOWN_SEPARATION_WEIGHT = 1;
const FIRST_TOKEN_SEPARATION_WEIGHT = 0;

/** Registers `slowdown` (protects short requests) and `first-token` (treats all lengths alike). */
export function registerPolicies(registry: PolicyRegistry): void {
  registry.register(
    'slowdown',
    (environment) => new WeightedPolicy(environment, SLOWDOWN_SEPARATION_WEIGHT),
  );
  registry.register(
    'first-token',
    (environment) => new WeightedPolicy(environment, FIRST_TOKEN_SEPARATION_WEIGHT),
  );
}
