/**
 * A retry budget that all nodes share without coordination: each node may use an equal part of the
 * fixed allowance, according to its own count of live nodes, and a ratio of its own recent
 * requests.
 */
import type { Clock } from '@tanagerdyke/kernel';

/** Limits on the retries of all nodes together. */
export interface RetryLimits {
  /** Retries per request within the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries within the window, for all nodes together. */
  readonly allowance: number;
}

/** Share of the limits that is used, since nodes' counts of live nodes differ after a failure. */
const SAFETY_FACTOR = 0.7;

/** Requests and retries of one service within the window. */
interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/** Counts the events of the last `windowMs`. */
class SlidingWindowCounter {
  private readonly _times: number[] = [];

  constructor(
    private readonly _clock: Clock,
    private readonly _windowMs: number,
  ) {}

  public get count(): number {
    this._evictExpired();
    return this._times.length;
  }

  public add(): void {
    this._evictExpired();
    this._times.push(this._clock.now());
  }

  private _evictExpired(): void {
    const windowStart = this._clock.now() - this._windowMs;
    const firstRecent = this._times.findIndex((at) => at > windowStart);
    this._times.splice(0, firstRecent === -1 ? this._times.length : firstRecent);
  }
}

/** Counts this node's requests and retries, and grants retries within its part of the limits. */
export class SharedRetryBudget {
  private readonly _services = new Map<string, ServiceCounts>();

  constructor(
    private readonly _clock: Clock,
    private readonly _limits: RetryLimits,
    private readonly _liveNodes: () => number,
  ) {}

  /** Counts a caller's request to a service. */
  public recordRequest(service: string): void {
    this._countsOf(service).requests.add();
  }

  /** Consumes one retry of a service; returns false when the budget is exhausted. */
  public trySpend(service: string): boolean {
    const { requests, retries } = this._countsOf(service);
    const { allowance, ratio } = this._limits;
    const allowancePart = allowance / Math.max(1, this._liveNodes());
    const maxRetries = SAFETY_FACTOR * (ratio * requests.count + allowancePart);
    if (retries.count + 1 > maxRetries) {
      return false;
    }
    retries.add();
    return true;
  }

  private _countsOf(service: string): ServiceCounts {
    let counts = this._services.get(service);
    if (counts === undefined) {
      const { windowMs } = this._limits;
      counts = {
        requests: new SlidingWindowCounter(this._clock, windowMs),
        retries: new SlidingWindowCounter(this._clock, windowMs),
      };
      this._services.set(service, counts);
    }
    return counts;
  }
}
