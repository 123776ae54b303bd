/** The split of a route's traffic over services by weight. */
import type { RouteShare } from './Messages.js';

/** The service that a number from [0, 1) falls to; empty when no share has a weight. */
export function chooseShare(shares: readonly RouteShare[], position: number): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let left = position * total;
  for (const { service, weight } of shares) {
    left -= weight;
    if (left < 0) {
      return service;
    }
  }
  return shares.at(-1)?.service ?? '';
}
