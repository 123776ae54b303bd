/**
 * The request rates to which targets limit all nodes together, as their answers state them. A limit
 * is in force until the target sends an answer without one.
 */
import type { Metrics } from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';

export interface RateLimitsOptions {
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** Holds the limits of all targets that state one. */
export class RateLimits {
  private readonly _limits = new Map<string, number>();

  constructor(private readonly _options: RateLimitsOptions) {
    _options.metrics.gauge('tanager_targets_rate_limited', () => this._limits.size);
  }

  /** Records the limit that an answer of the target states; `undefined` if it states none. */
  public recordStatement(target: string, requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === this._limits.get(target)) {
      return;
    }
    this._options.log.write('target.rate-limit', {
      target,
      requestsPerSecond: requestsPerSecond ?? 'none',
    });
    if (requestsPerSecond === undefined) {
      this._limits.delete(target);
    } else {
      this._limits.set(target, requestsPerSecond);
    }
  }

  /** Counts a request that this node sends to the target. */
  public recordRequest(target: string): void {
    if (this._limits.has(target)) {
      this._options.metrics.increment('tanager_rate_limited_requests_total');
    }
  }

  /** Removes the limit of a target that is gone. */
  public remove(target: string): void {
    this._limits.delete(target);
  }
}
