/**
 * Keeps the request rates to which targets limit all nodes together, as their answers state them or
 * because they are cold. If both apply to a target, both are kept.
 * Load pattern: each node sends a target less than it stated, and all of them together several
 * times as much. So each node counts the requests of all nodes: those that it sends, those that it
 * places for others, and those that others report. A stated limit is in force until the target sends
 * an answer without one, and that of a cold target until it is warm.
 */
import {
  type Clock,
  DisposableOwner,
  Emitter,
  type Metrics,
  type RandomSource,
} from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';
import { ColdRate, type ColdShare } from './ColdRate.js';
import type { ColdLimit } from './ColdTargets.js';
import { RequestRate } from './RequestRate.js';
import { RetrySchedule } from './RetrySchedule.js';

/** A limit is reported again after this time while answers state it. */
const STATEMENT_REPEAT_MS = 1_000;
/** Longer than the time from a decision to the last report of its request. */
const REQUEST_ID_TTL_MS = 5_000;
/**
 * Time by which the count of the coordinator that placed a prompt on a cold target may differ from
 * that of the node that sends it.
 */
const COUNT_TOLERANCE_MS = 100;
/** Requests that started longer ago are repeated reports, which were counted by other coordinators. */
const MAX_START_AGE_MS = 250;
/** Longest time for which a node decides to wait for a cold target without a coordinator. */
const MAX_COLD_WAIT_MS = 100;
/** Number of nodes that is assumed by one that has not joined any others yet. */
const ASSUMED_NODES = 100;
/**
 * Part of the nodes below which those that this one can reach have turns at a cold target, as there
 * may be many groups of nodes that do not reach each other.
 */
const MIN_REACHABLE_SHARE = 0.25;

/** Who decides on the requests that are sent to a target. */
export enum RateDecider {
  /** One node for all, or nodes that see what the others send. */
  Shared = 'shared',
  /** The standby of a coordinator, which may decide as well. */
  Standby = 'standby',
  /** Each node by itself, without the requests of others. */
  Alone = 'alone',
}

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
  readonly random: RandomSource;
  readonly countNodes: () => NodeCounts;
  readonly coldTargets: ColdLimits;
}

/** The limits of cold targets; see `ColdTargets`. */
export interface ColdLimits {
  /** `undefined` when the target is warm. */
  find(target: string): ColdLimit | undefined;
  readonly hasCold: boolean;
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
  /** The limit that the target states. */
  stated: StatedLimit | undefined;
  /** The pace while the target is cold. */
  cold: ColdRate | undefined;
  /** By id: when the request was counted. */
  readonly counted: Map<string, number>;
}

interface StatedLimit {
  readonly rate: RequestRate;
  reportedAt: number;
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
    _options.metrics.gauge(
      'tanager_targets_rate_limited',
      () => [...this._limited.values()].filter(({ stated }) => stated !== undefined).length,
    );
  }

  /** Records what an answer to this node states. */
  public recordStatement(statement: RateStatement): void {
    const { target, requestsPerSecond } = statement;
    const now = this._options.clock.now();
    const previous = this._limited.get(target)?.stated;
    const isChanged = this.applyStatement(statement);
    const isDue = previous !== undefined && now - previous.reportedAt >= STATEMENT_REPEAT_MS;
    if (isChanged || (requestsPerSecond !== undefined && isDue)) {
      const stated = this._limited.get(target)?.stated;
      if (stated !== undefined) {
        stated.reportedAt = now;
      }
      this._onStatement.fire(statement);
    }
  }

  /** Applies what a target stated to any node; returns whether that changes its limit. */
  public applyStatement({ requestsPerSecond, target }: RateStatement): boolean {
    const { clock, log } = this._options;
    const limited = this._find(target);
    const stated = limited?.stated;
    if (stated?.rate.requestsPerSecond === requestsPerSecond) {
      return false;
    }
    log.write('target.rate-limit', { target, requestsPerSecond: requestsPerSecond ?? 'none' });
    if (stated !== undefined && requestsPerSecond !== undefined) {
      stated.rate.requestsPerSecond = requestsPerSecond;
      return true;
    }
    const now = clock.now();
    this._set(target, {
      counted: limited?.counted ?? new Map<string, number>(),
      cold: limited?.cold,
      stated:
        requestsPerSecond === undefined
          ? undefined
          : { rate: new RequestRate(requestsPerSecond, now), reportedAt: now },
    });
    return true;
  }

  /** Whether any target limits its requests. */
  public get hasLimits(): boolean {
    return this._limited.size > 0 || this._options.coldTargets.hasCold;
  }

  /** Whether the target may get a request now. */
  public permits(target: string, decider = RateDecider.Shared): boolean {
    const limited = this._find(target);
    return limited === undefined || this._waitMs(limited, decider) === 0;
  }

  /**
   * Time until one of the targets may get a request after `ahead` others; 0 when one of them has no
   * limit, or when there are none.
   */
  public waitMs(targets: readonly string[], ahead = 0, decider = RateDecider.Shared): number {
    const limited = this._allLimited(targets);
    const waits = limited.map((each) => this._waitMs(each, decider));
    return limited.length === 0
      ? 0
      : Math.min(...waits) + ahead * this.intervalMs(targets, decider);
  }

  /** Time between two requests to the targets together; 0 when one of them has no limit. */
  public intervalMs(targets: readonly string[], decider = RateDecider.Shared): number {
    const share = this._share();
    const coldShare = this._coldShare(decider);
    const rates = this._allLimited(targets).map(({ cold, stated }) => {
      return 1 / Math.max(stated?.rate.intervalMs(share) ?? 0, cold?.intervalMs(coldShare) ?? 0);
    });
    return rates.length === 0 ? 0 : 1 / rates.reduce((sum, rate) => sum + rate, 0);
  }

  /**
   * Whether a request that no coordinator decides may wait for one of the targets after `ahead`
   * others. All nodes would send a request that waits for a stated limit at the same moment. Cold
   * targets have a short interval, and a node that decides alone has turns of its own at them.
   */
  public permitsWaiting(targets: readonly string[], ahead: number, decider: RateDecider): boolean {
    const limited = this._allLimited(targets);
    const isAnyCold = limited.some(
      ({ cold, stated }) => cold !== undefined && stated === undefined,
    );
    if (!isAnyCold) {
      return this.waitMs(targets, ahead) === 0;
    }
    return decider === RateDecider.Alone || this.waitMs(targets, ahead) <= MAX_COLD_WAIT_MS;
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
  public reserve(targets: readonly string[], request: string, decider = RateDecider.Shared): void {
    for (const target of targets) {
      this.countRequest({ target, request });
      this._recordPlaced(target, decider);
    }
  }

  /** Counts a request that a node reports to coordinators, for those of its targets that are cold. */
  public countStarted(targets: readonly string[], request: string, startedAt: number): void {
    if (this._options.clock.now() - startedAt < MAX_START_AGE_MS) {
      for (const target of targets.filter((each) => this._find(each)?.cold !== undefined)) {
        this.countRequest({ target, request });
      }
    }
  }

  /**
   * Admits a request that this node is about to send. Returns false when a target may not get it
   * now; a request that was counted when it was placed is always admitted.
   */
  public admit(targets: readonly string[], request: string): boolean {
    const isAdmitted = targets.every((target) => {
      const limited = this._find(target);
      return limited === undefined || limited.counted.has(request) || this._isDue(limited);
    });
    if (isAdmitted) {
      for (const target of targets) {
        this._count(target, request);
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
      (target) => this._find(target)?.counted.has(request) === false,
    );
    return uncounted.length === 0 || this.admit(uncounted, request);
  }

  /** Counts a request of any node, once by its id. */
  public countRequest({ request, target }: SentRequest): void {
    const limited = this._find(target);
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
    limited.stated?.rate.count(now, this._share());
    limited.cold?.count(now, this._coldShare(RateDecider.Shared).reachable);
  }

  /** Removes the limit of a target that is gone. */
  public remove(target: string): void {
    this._limited.delete(target);
  }

  /** Counts a request that this node is about to send, and reports it unless coordinators do. */
  private _count(target: string, request: string): void {
    const limited = this._find(target);
    if (limited === undefined) {
      return;
    }
    this.countRequest({ target, request });
    this._recordPlaced(target, RateDecider.Shared);
    this._options.metrics.increment('tanager_rate_limited_requests_total');
    const isCoordinated = this._options.coldTargets.find(target)?.isCoordinated === true;
    if (limited.stated !== undefined || !isCoordinated) {
      this._onRequest.fire({ target, request });
    }
  }

  private _recordPlaced(target: string, decider: RateDecider): void {
    const now = this._options.clock.now();
    this._limited.get(target)?.cold?.recordPlaced(now, this._coldShare(decider));
  }

  /** The limits of a target, with that for cold ones as far as it is cold now. */
  private _find(target: string): LimitedTarget | undefined {
    const { clock, coldTargets, random } = this._options;
    const limited = this._limited.get(target);
    const coldLimit = coldTargets.find(target);
    if (coldLimit === undefined) {
      return limited?.cold === undefined
        ? limited
        : this._set(target, { ...limited, cold: undefined });
    }
    const { requestsPerSecond } = coldLimit;
    if (limited?.cold !== undefined) {
      limited.cold.requestsPerSecond = requestsPerSecond;
      return limited;
    }
    return this._set(target, {
      stated: limited?.stated,
      counted: limited?.counted ?? new Map<string, number>(),
      cold: new ColdRate(requestsPerSecond, clock.now(), random.next()),
    });
  }

  /** Replaces the limits of a target; it has none when neither applies. */
  private _set(target: string, limited: LimitedTarget): LimitedTarget | undefined {
    if (limited.stated === undefined && limited.cold === undefined) {
      this._limited.delete(target);
      return undefined;
    }
    this._limited.set(target, limited);
    return limited;
  }

  private _waitMs({ cold, stated }: LimitedTarget, decider: RateDecider): number {
    const now = this._options.clock.now();
    return Math.max(
      stated?.rate.waitMs(now, this._share()) ?? 0,
      cold?.waitMs(now, this._coldShare(decider)) ?? 0,
    );
  }

  /** Whether a request may be sent that this node or a coordinator has decided to send. */
  private _isDue({ cold, stated }: LimitedTarget): boolean {
    const now = this._options.clock.now();
    // Turns are those of the node that decided.
    const share = { ...this._coldShare(RateDecider.Shared), turns: undefined };
    return (
      (stated?.rate.waitMs(now, this._share()) ?? 0) === 0 &&
      (cold?.waitMs(now, share) ?? 0) <= COUNT_TOLERANCE_MS
    );
  }

  private _coldShare(decider: RateDecider): ColdShare {
    const { live, max } = this._options.countNodes();
    const share = this._share();
    // Nodes notice at different moments that they can't reach each other. The square leaves room for
    // those that have not noticed it and use the whole rate.
    const reachable = share ** 2;
    const isStandby = decider === RateDecider.Standby;
    if (decider === RateDecider.Alone) {
      const nodes = live > 1 ? max : Math.max(max, ASSUMED_NODES);
      return { reachable, isStandby, turns: 1 / nodes };
    }
    return { reachable, isStandby, turns: share < MIN_REACHABLE_SHARE ? share : undefined };
  }

  /** The limits of the targets, or none when one of them has no limit. */
  private _allLimited(targets: readonly string[]): readonly LimitedTarget[] {
    const limited = targets.map((target) => this._find(target));
    const known = limited.filter((each) => each !== undefined);
    return known.length === limited.length ? known : [];
  }

  /** Part of each limit for the nodes that this one can reach, so that those cut off add nothing. */
  private _share(): number {
    const { live, max } = this._options.countNodes();
    return Math.min(1, live / Math.max(1, max));
  }
}
