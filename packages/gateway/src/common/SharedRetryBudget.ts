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

/** What came of one service within the window. */
interface ServiceCounts {
  readonly requests: RecentEvents;
  readonly retries: RecentEvents;
}

/** Counts events of the last `windowMs`, and forgets older ones. */
class RecentEvents {
  private readonly _times: number[] = [];

  constructor(
    private readonly _clock: Clock,
    private readonly _windowMs: number,
  ) {}

  public get count(): number {
    this._forgetOld();
    return this._times.length;
  }

  public add(): void {
    this._forgetOld();
    this._times.push(this._clock.now());
  }

  private _forgetOld(): void {
    const since = this._clock.now() - this._windowMs;
    const firstRecent = this._times.findIndex((at) => at > since);
    this._times.splice(0, firstRecent === -1 ? this._times.length : firstRecent);
  }
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
    this._of(service).requests.add();
  }

  /** Takes one retry at a service, when the budget has one. */
  public trySpend(service: string): boolean {
    const { requests, retries } = this._of(service);
    const { allowance, ratio } = this._bound;
    const fixed = allowance / Math.max(1, this._liveNodes());
    const allowed = USED_SHARE * (ratio * requests.count + fixed);
    if (retries.count + 1 > allowed) {
      return false;
    }
    retries.add();
    return true;
  }

  private _of(service: string): ServiceCounts {
    let counts = this._services.get(service);
    if (counts === undefined) {
      const { windowMs } = this._bound;
      counts = {
        requests: new RecentEvents(this._clock, windowMs),
        retries: new RecentEvents(this._clock, windowMs),
      };
      this._services.set(service, counts);
    }
    return counts;
  }
}
