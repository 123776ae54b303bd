/** Records what forwarded calls cost. */
import type { ForwardedRequest, ForwardingDependencies } from './ForwardedRequest.js';
import { costRequestOf } from './PromptOfRequest.js';

/** Records how long a call took that was answered. */
export function recordCallCost(
  { costs }: ForwardingDependencies,
  request: ForwardedRequest,
  callMs: number,
): void {
  const costRequest = costRequestOf(request);
  costs.record({ request: costRequest, estimate: costs.estimate(costRequest), callMs });
}
