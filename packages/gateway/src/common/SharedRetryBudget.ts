/**
 * A retry budget that all nodes share without talking about it: each takes the part of the fixed
 * allowance that its count of live nodes leaves it, and a share of its own recent requests.
 */
import type { Clock } from '@tanagerdyke/kernel';

/** The bound that all nodes together must keep. */
export interface RetryBound {
  /** Retries for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries beyond the ratio, over all nodes. */
  readonly allowance: number;
}

/** Part of the bound that is used, since counts of live nodes differ for a while after a failure. */
const USED_SHARE = 0.7;

interface ServiceCounts {
  requests: number[];
  retries: number[];
}

/** The part of one node. */
export class SharedRetryBudget {
  private readonly _services = new Map<string, ServiceCounts>();

  constructor(
    private readonly _clock: Clock,
    private readonly _bound: RetryBound,
    private readonly _liveNodes: () => number,
  ) {}

  /** Counts a request of a caller for a service. */
  public noteRequest(service: string): void {
    this._of(service).requests.push(this._clock.now());
  }

  /** Takes one retry at a service, when the budget has one. */
  public trySpend(service: string): boolean {
    const counts = this._of(service);
    const { allowance, ratio, windowMs } = this._bound;
    const since = this._clock.now() - windowMs;
    counts.requests = counts.requests.filter((at) => at > since);
    counts.retries = counts.retries.filter((at) => at > since);
    const fixed = allowance / Math.max(1, this._liveNodes());
    const allowed = USED_SHARE * (ratio * counts.requests.length + fixed);
    if (counts.retries.length + 1 > allowed) {
      return false;
    }
    counts.retries.push(this._clock.now());
    return true;
  }

  private _of(service: string): ServiceCounts {
    let counts = this._services.get(service);
    if (counts === undefined) {
      counts = { requests: [], retries: [] };
      this._services.set(service, counts);
    }
    return counts;
  }
}
