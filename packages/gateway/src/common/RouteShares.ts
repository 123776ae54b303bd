/** Weighted distribution of a route's traffic over services. */
import type { RouteShare } from './Messages.js';

/**
 * The service whose share of [0, 1) contains `position`; empty when no share has a weight. One without
 * a weight gets no request, also when the sums are rounded.
 */
export function chooseService(shares: readonly RouteShare[], position: number): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = position * total;
  for (const { service, weight } of shares) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return shares.findLast(({ weight }) => weight > 0)?.service ?? '';
}
