/** Describes forwarded requests for the estimates of their cost. */
import type { CostRequest } from '../common/placement/CostEstimates.js';
import type { ForwardedRequest, ForwardingDependencies } from './ForwardedRequest.js';

/** What is known of the cost of a request before it runs. */
export function costRequestOf({
  caller,
  route,
  service,
  workspace,
}: ForwardedRequest): CostRequest {
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

/** Records how long a call took that was answered. */
export function recordCallCost(
  { costs }: ForwardingDependencies,
  request: ForwardedRequest,
  callMs: number,
): void {
  const costRequest = costRequestOf(request);
  costs.record({ request: costRequest, estimate: costs.estimate(costRequest), callMs });
}
