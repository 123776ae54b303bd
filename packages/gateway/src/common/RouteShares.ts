/** Weighted distribution of a route's traffic over services. */
import type { RouteShare } from './Messages.js';

/** The service whose share of [0, 1) contains `position`; empty when there are no shares. */
export function chooseService(shares: readonly RouteShare[], position: number): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = position * total;
  for (const { service, weight } of shares) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return shares.at(-1)?.service ?? '';
}
