/** What a decision on a prompt would be, and why; made without placing it. */
import type { EngineLoad } from './EngineLoad.js';
import type { PlacementRefusal } from './PlacementDecision.js';
import type { PromptPlacement } from './PromptPlacer.js';

/** Why an engine would not get a prompt, or only if all others have an obstacle as well. */
export enum PlacementObstacle {
  /** It failed the request, or is paused for the entry node. */
  Excluded = 'excluded',
  /** It gets no further request now, by the rate that it states. */
  RateLimited = 'rate-limited',
  /** It recently failed requests of the entry node or of this one. */
  Suspect = 'suspect',
  /** Several nodes report that it failed them. */
  Reported = 'reported',
  /** It has no free slot, or no memory for the prompt. */
  Full = 'full',
}

/** Obstacles that do not count if every engine has one. */
export const AVOIDED: ReadonlySet<PlacementObstacle> = new Set([
  PlacementObstacle.Suspect,
  PlacementObstacle.Reported,
]);

/** An engine as a candidate for a prompt. */
export interface ExplainedCandidate {
  readonly target: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly usedSlots: number;
  /** Time until the engine has prefilled what it has to. */
  readonly backlogMs: number;
  /** How far it is behind the schedule that its requests have. */
  readonly scheduleDelayMs: number;
  readonly slowdown: number;
  readonly memoryTokens: number;
  /** Time until its last request is expected to end; undefined if none has an estimate. */
  readonly endsInMs: number | undefined;
  /** Time to the first event, and cost, if it had the whole prompt; undefined if it is full. */
  readonly firstEventMs: number | undefined;
  readonly cost: number | undefined;
  readonly obstacle: PlacementObstacle | undefined;
}

/** What would become of a prompt. */
export enum ExplainedOutcome {
  Placed = 'placed',
  Waits = 'waits',
  Refused = 'refused',
}

/** The decision on a prompt in one cell. */
export interface PlacementExplanation {
  readonly outcome: ExplainedOutcome;
  readonly refusal: PlacementRefusal | undefined;
  /** Ids of the engines that would get the prompt, the primary first. */
  readonly targets: readonly string[];
  readonly firstEventMs: number | undefined;
  readonly cost: number | undefined;
  /** Waiting prompts that would be served before it. */
  readonly ahead: number;
  /** Time until it is expected to be placed. */
  readonly expectedWaitMs: number;
  /** Time that a refused caller would be given. */
  readonly retryAfterMs: number | undefined;
  /** The cheapest first; those with an obstacle at the end. */
  readonly candidates: readonly ExplainedCandidate[];
}

/** Describes an engine as a candidate, with the placement on it alone. */
export function explainCandidate(
  load: EngineLoad,
  placement: PromptPlacement | undefined,
  obstacle: PlacementObstacle | undefined,
  now: number,
): ExplainedCandidate {
  const ends = load.primaryRequests
    .map(({ expectedEndAt }) => expectedEndAt)
    .filter((each) => each !== undefined);
  return {
    target: load.entry.id,
    availabilityZone: load.entry.availabilityZone,
    slots: load.entry.slots,
    usedSlots: load.primaryRequests.length,
    backlogMs: Math.round(load.backlogMs),
    scheduleDelayMs: Math.round(load.scheduleDelayMs),
    slowdown: rounded(load.slowdown),
    memoryTokens: Math.round(load.memoryTokens),
    endsInMs: ends.length === 0 ? undefined : Math.max(0, Math.round(Math.max(...ends) - now)),
    firstEventMs: placement === undefined ? undefined : Math.round(placement.firstEventMs),
    cost: placement === undefined ? undefined : rounded(placement.cost),
    obstacle: obstacle ?? (placement === undefined ? PlacementObstacle.Full : undefined),
  };
}

/** Orders candidates by cost, those with an obstacle at the end. */
export function orderCandidates(candidates: readonly ExplainedCandidate[]): ExplainedCandidate[] {
  const rank = ({ cost, obstacle }: ExplainedCandidate): number =>
    (obstacle === undefined ? 0 : Number.MAX_SAFE_INTEGER / 2) +
    (cost ?? Number.MAX_SAFE_INTEGER / 4);
  return [...candidates].sort((a, b) => rank(a) - rank(b));
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}
