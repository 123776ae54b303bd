/**
 * The load of each engine at one moment, computed from the active requests on record: the
 * prefill it still has to do, the requests that it generates, and the memory in use.
 */
import type { EngineProfile, TargetEntry } from '../Messages.js';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { passMs, prefillEndAt } from './EngineTiming.js';
import { scheduleDelayMs } from './ScheduleDelay.js';

/** A part of a prompt that an engine has not prefilled yet. */
export interface PendingPrefill {
  readonly request: ActiveRequest;
  /** When the engine is expected to have prefilled it. */
  readonly endsAt: number;
}

/** The load of one engine. */
export interface EngineLoad {
  readonly entry: TargetEntry;
  /** Factor by which it is slower than the profile states; its times include it. */
  readonly slowdown: number;
  /** Requests whose primary is this engine, generating or still in prefill. */
  readonly primaryRequests: readonly ActiveRequest[];
  /** Number of requests with another primary that this engine prefills or holds a part of. */
  readonly assistingPrefills: number;
  /** Number of primary requests that are generating. */
  readonly generating: number;
  /** Parts of primary requests that are not prefilled yet. */
  readonly primaryPrefills: readonly PendingPrefill[];
  /** Time until all pending parts are prefilled, in the order in which the engine does so. */
  readonly backlogMs: number;
  /** Time until the parts for other primaries are prefilled; these go first. */
  readonly assistingBacklogMs: number;
  /** How long the engine has been behind this schedule; it is expected to stay so as long again. */
  readonly scheduleDelayMs: number;
  /** Time of a pass without prefill. */
  readonly passMs: number;
  /** Memory that the requests on this engine take. */
  readonly memoryTokens: number;
}

/** Computes the load of each engine, in the order of `entries`. */
export function computeLoads(
  profile: EngineProfile,
  entries: readonly TargetEntry[],
  requests: readonly ActiveRequest[],
  now: number,
  slowdownOf: (target: string) => number = () => 1,
): EngineLoad[] {
  const byTarget = new Map<string, ActiveRequest[]>(entries.map(({ id }) => [id, []]));
  for (const request of requests) {
    for (const target of request.targets) {
      byTarget.get(target)?.push(request);
    }
  }
  return entries.map((entry) =>
    computeLoad(profile, entry, byTarget.get(entry.id) ?? [], now, slowdownOf(entry.id)),
  );
}

/** Computes the load of one engine from the requests on it. */
export function computeLoad(
  profile: EngineProfile,
  entry: TargetEntry,
  requests: readonly ActiveRequest[],
  now: number,
  slowdown: number,
): EngineLoad {
  const primaryRequests: ActiveRequest[] = [];
  const pending: ActiveRequest[] = [];
  let generating = 0;
  let contextTokens = 0;
  let memoryTokens = 0;
  for (const request of requests) {
    const isPrimary = request.targets[0] === entry.id;
    const holdsMemory = isPrimary || request.isMemoryShared;
    if (isPrimary) {
      primaryRequests.push(request);
      generating += request.isGenerating ? 1 : 0;
    }
    if (holdsMemory) {
      memoryTokens += request.memoryTokens;
      contextTokens += request.isGenerating ? request.contextTokens : 0;
    }
    if (!request.isGenerating) {
      pending.push(request);
    }
  }
  const loadPassMs = passMs(profile, generating, contextTokens) * slowdown;
  const isPending = pending.length > 0;
  const { assistingBacklogMs, backlogMs, primaryPrefills } = isPending
    ? schedulePrefills(entry.id, pending, now, slowdown)
    : IDLE;
  const delayMs = isPending ? delayOf(primaryRequests, loadPassMs, now, slowdown) : 0;
  return {
    entry,
    slowdown,
    primaryRequests,
    assistingPrefills: requests.length - primaryRequests.length,
    generating,
    primaryPrefills,
    backlogMs,
    assistingBacklogMs,
    scheduleDelayMs: delayMs,
    passMs: loadPassMs,
    memoryTokens,
  };
}

function delayOf(
  primaryRequests: readonly ActiveRequest[],
  loadPassMs: number,
  now: number,
  slowdown: number,
): number {
  const unassisted = primaryRequests.filter(({ targets }) => targets.length === 1);
  return scheduleDelayMs(unassisted, loadPassMs, now, slowdown);
}

type PrefillSchedule = Pick<EngineLoad, 'primaryPrefills' | 'backlogMs' | 'assistingBacklogMs'>;

/** The schedule of an engine without pending prefill, as most are. */
const IDLE: PrefillSchedule = { primaryPrefills: [], backlogMs: 0, assistingBacklogMs: 0 };

/**
 * Schedules the pending prefill of an engine. An engine prefills parts for other primaries before
 * those of its own requests, whichever came first. A part whose time is over counts as prefilled,
 * even if the update that says so has not been received yet.
 */
function schedulePrefills(
  target: string,
  requests: readonly ActiveRequest[],
  now: number,
  slowdown: number,
): PrefillSchedule {
  const ordered = [...requests].sort((a, b) => a.startedAt - b.startedAt);
  const assisting = ordered.filter(({ targets }) => targets[0] !== target);
  const primary = ordered.filter(({ targets }) => targets[0] === target);
  const backlogMs = Math.max(0, prefillEndAt(ordered, slowdown) - now);
  const assistingBacklogMs = Math.max(0, prefillEndAt(assisting, slowdown) - now);
  // Primary requests are prefilled in the order of their start, so the time that is left for them
  // belongs to the latest ones. Going backwards, each takes its part until none is left.
  let primaryEndAt = now + backlogMs;
  let remainingBacklogMs = backlogMs - assistingBacklogMs;
  const primaryPrefills = primary.reverse().map((request) => {
    const endsAt = primaryEndAt;
    const remainingMs = Math.min(request.partPrefillMs * slowdown, remainingBacklogMs);
    primaryEndAt -= remainingMs;
    remainingBacklogMs -= remainingMs;
    return { request, endsAt };
  });
  return { primaryPrefills: primaryPrefills.reverse(), backlogMs, assistingBacklogMs };
}
