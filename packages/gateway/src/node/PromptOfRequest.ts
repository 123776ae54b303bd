/** Describes a caller's request for placement; used to place prompts and to explain placements. */
import type {
  CallerRequest,
  CallerWorkspace,
  EngineProfile,
  ForwardRoute,
  TargetService,
} from '../common/Messages.js';
import { allowedRegionsOf } from '../common/placement/AllowedRegions.js';
import type { CostEstimate, CostRequest } from '../common/placement/CostEstimates.js';
import type { PromptToPlace } from '../common/placement/PromptScheduler.js';

/** Fraction of the remaining time for which a prompt waits for capacity before it is refused. */
const CAPACITY_WAIT_SHARE = 0.25;
/** A caller with this much less time than the route allows was refused before. */
const MIN_SPENT_MS = 50;

/** What placement needs of a request. Times are on the clock, in ms. */
export interface DescribedRequest {
  readonly caller: Pick<
    CallerRequest,
    'promptTokens' | 'outputTokens' | 'expectedOutputTokens' | 'remainingMs'
  >;
  readonly route: ForwardRoute;
  readonly service: TargetService;
  readonly workspace: Pick<CallerWorkspace, 'allowedRegions' | 'name'> | undefined;
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

/** What is known of the cost of a request before it runs. */
export function costRequestOf(request: DescribedRequest): CostRequest {
  const { caller, route, service, workspace } = request;
  return {
    route: route.name,
    service: service.name,
    workspace: workspace?.name ?? '',
    promptTokens: caller.promptTokens,
    stated: caller.outputTokens,
    hint: caller.expectedOutputTokens,
    profile: service.engine,
  };
}

/** The prompt of a request, without engines that failed it. */
export function promptOf(
  request: DescribedRequest,
  profile: EngineProfile,
  expected: CostEstimate,
  excluded: ReadonlySet<string>,
): PromptToPlace {
  const { caller, deadlineAt, receivedAt, route, service, workspace } = request;
  return {
    service: service.name,
    profile,
    promptTokens: caller.promptTokens,
    outputTokens: caller.outputTokens,
    expected,
    latencyTargetMs: route.latencyTargetMs,
    pauseTargetMs: route.pauseTargetMs,
    dueAt: receivedAt + route.latencyTargetMs,
    deadlineAt,
    workspace: workspace?.name ?? '',
    isReturning: (caller.remainingMs ?? route.timeoutMs) < route.timeoutMs - MIN_SPENT_MS,
    excluded,
    allowedRegions: allowedRegionsOf(route, workspace),
  };
}

/** Until when a prompt waits for capacity. */
export function waitsUntil({ deadlineAt }: DescribedRequest, now: number): number {
  return now + (deadlineAt - now) * CAPACITY_WAIT_SHARE;
}
