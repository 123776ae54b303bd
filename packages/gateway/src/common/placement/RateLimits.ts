/**
 * Keeps the request rates to which targets limit all nodes together, as their answers state them.
 * Load pattern: each node sends a target less than it stated, and all of them together several
 * times as much. So each node counts the requests of all nodes: those that it sends, those that it
 * places for others, and those that others report. A limit is in force until the target sends an
 * answer without one.
 */
import { type Clock, DisposableOwner, Emitter, type Metrics } from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';
import { RequestRate } from './RequestRate.js';
import { RetrySchedule } from './RetrySchedule.js';

/** A limit is reported again after this time while answers state it. */
const STATEMENT_REPEAT_MS = 1_000;
/** Longer than the time from a decision to the last report of its request. */
const REQUEST_ID_TTL_MS = 5_000;

/** The numbers of nodes by which a limit is divided when nodes can't reach each other. */
export interface NodeCounts {
  readonly live: number;
  /** The most nodes that were live at the same time. */
  readonly max: number;
}

export interface RateLimitsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly countNodes: () => NodeCounts;
}

/** What a target states: the requests per second that it takes, or `undefined` for no limit. */
export interface RateStatement {
  readonly target: string;
  readonly requestsPerSecond: number | undefined;
}

/** A request that a node sends to a target. */
export interface SentRequest {
  readonly target: string;
  /** Identifies the request at this target among those of all nodes. */
  readonly request: string;
}

interface LimitedTarget {
  readonly rate: RequestRate;
  reportedAt: number;
  /** By id: when the request was counted. */
  readonly counted: Map<string, number>;
}

/** Holds the limits of all targets that state one, and decides who may get a request. */
export class RateLimits extends DisposableOwner {
  private readonly _limited = new Map<string, LimitedTarget>();
  private readonly _turns = new Map<string, RetrySchedule>();
  private readonly _onStatement = this.register(new Emitter<RateStatement>());
  /** Fires with what a target stated to this node, for the other nodes. */
  public readonly onStatement = this._onStatement.event;
  private readonly _onRequest = this.register(new Emitter<SentRequest>());
  /** Fires with each request that this node sends to a limited target, for the other nodes. */
  public readonly onRequest = this._onRequest.event;

  constructor(private readonly _options: RateLimitsOptions) {
    super();
    _options.metrics.gauge('tanager_targets_rate_limited', () => this._limited.size);
  }

  /** Records what an answer to this node states. */
  public recordStatement(statement: RateStatement): void {
    const { target, requestsPerSecond } = statement;
    const now = this._options.clock.now();
    const previous = this._limited.get(target);
    const isChanged = this.applyStatement(statement);
    const isDue = previous !== undefined && now - previous.reportedAt >= STATEMENT_REPEAT_MS;
    if (isChanged || (requestsPerSecond !== undefined && isDue)) {
      const limited = this._limited.get(target);
      if (limited !== undefined) {
        limited.reportedAt = now;
      }
      this._onStatement.fire(statement);
    }
  }

  /** Applies what a target stated to any node; returns whether that changes its limit. */
  public applyStatement({ requestsPerSecond, target }: RateStatement): boolean {
    const { clock, log } = this._options;
    const limited = this._limited.get(target);
    if (limited?.rate.requestsPerSecond === requestsPerSecond) {
      return false;
    }
    log.write('target.rate-limit', { target, requestsPerSecond: requestsPerSecond ?? 'none' });
    if (requestsPerSecond === undefined) {
      this._limited.delete(target);
    } else if (limited === undefined) {
      const now = clock.now();
      const rate = new RequestRate(requestsPerSecond, now);
      this._limited.set(target, { rate, reportedAt: now, counted: new Map() });
    } else {
      limited.rate.requestsPerSecond = requestsPerSecond;
    }
    return true;
  }

  /** Whether any target limits its requests. */
  public get hasLimits(): boolean {
    return this._limited.size > 0;
  }

  /** Whether the target may get a request now. */
  public permits(target: string): boolean {
    const limited = this._limited.get(target);
    return (
      limited === undefined || limited.rate.waitMs(this._options.clock.now(), this._share()) === 0
    );
  }

  /**
   * Time until one of the targets may get a request after `ahead` others; 0 when one of them has no
   * limit, or when there are none.
   */
  public waitMs(targets: readonly string[], ahead = 0): number {
    const limited = this._allLimited(targets);
    const now = this._options.clock.now();
    const share = this._share();
    const waits = limited.map(({ rate }) => rate.waitMs(now, share));
    return limited.length === 0 ? 0 : Math.min(...waits) + ahead * this.intervalMs(targets);
  }

  /** Time between two requests to the targets together; 0 when one of them has no limit. */
  public intervalMs(targets: readonly string[]): number {
    const share = this._share();
    const rates = this._allLimited(targets).map(({ rate }) => 1 / rate.intervalMs(share));
    return rates.length === 0 ? 0 : 1 / rates.reduce((sum, rate) => sum + rate, 0);
  }

  /** Time after which a refused caller of the service should retry, in turn with the others. */
  public nextTurnMs(service: string, targets: readonly string[]): number {
    let turns = this._turns.get(service);
    if (turns === undefined) {
      turns = new RetrySchedule();
      this._turns.set(service, turns);
    }
    // Each node gives turns to its own callers, so all of them together need this much longer.
    const turnMs = this.intervalMs(targets) * this._options.countNodes().live;
    return turns.next(this._options.clock.now(), this.waitMs(targets), turnMs);
  }

  /** Counts a request that this node places and another one, or this one, will send. */
  public reserve(targets: readonly string[], request: string): void {
    for (const target of targets) {
      this.countRequest({ target, request });
    }
  }

  /**
   * Admits a request that this node is about to send. Returns false when a target may not get it
   * now; a request that was counted when it was placed is always admitted.
   */
  public admit(targets: readonly string[], request: string): boolean {
    const isAdmitted = targets.every(
      (target) => this._limited.get(target)?.counted.has(request) === true || this.permits(target),
    );
    if (isAdmitted) {
      for (const target of targets.filter((each) => this._limited.has(each))) {
        this.countRequest({ target, request });
        this._options.metrics.increment('tanager_rate_limited_requests_total');
        this._onRequest.fire({ target, request });
      }
    }
    return isAdmitted;
  }

  /**
   * Whether a request that was admitted before may be sent now. It is admitted again for targets that
   * have stated a limit since.
   */
  public confirm(targets: readonly string[], request: string): boolean {
    const uncounted = targets.filter(
      (target) => this._limited.get(target)?.counted.has(request) === false,
    );
    return uncounted.length === 0 || this.admit(uncounted, request);
  }

  /** Counts a request of any node, once by its id. */
  public countRequest({ request, target }: SentRequest): void {
    const limited = this._limited.get(target);
    if (limited === undefined || limited.counted.has(request)) {
      return;
    }
    const now = this._options.clock.now();
    for (const [id, at] of limited.counted) {
      if (now - at < REQUEST_ID_TTL_MS) {
        break;
      }
      limited.counted.delete(id);
    }
    limited.counted.set(request, now);
    limited.rate.count(now, this._share());
  }

  /** Removes the limit of a target that is gone. */
  public remove(target: string): void {
    this._limited.delete(target);
  }

  /** The limits of the targets, or none when one of them has no limit. */
  private _allLimited(targets: readonly string[]): readonly LimitedTarget[] {
    const limited = targets.map((target) => this._limited.get(target));
    const known = limited.filter((each) => each !== undefined);
    return known.length === limited.length ? known : [];
  }

  /** Part of each limit for the nodes that this one can reach, so that those cut off add nothing. */
  private _share(): number {
    const { live, max } = this._options.countNodes();
    return Math.min(1, live / Math.max(1, max));
  }
}
