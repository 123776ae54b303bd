/**
 * Decides on which engines prompts are placed, on this node's account of active requests. Load
 * pattern: prompts of all nodes arrive at the same moment, and most engines have few slots free. Each
 * decision includes those before it. A prompt for which no engine has capacity waits in a queue; it
 * is refused at arrival if its turn is not expected while it can wait.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  type Event,
  type RandomSource,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { TargetEntry } from '../Messages.js';
import type { ZoneChange } from '../state/ZoneEvacuations.js';
import type { ActiveRequest, ActiveRequestTable } from './ActiveRequestTable.js';
import { capacityWaitMs } from './CapacityWait.js';
import type { CostEstimates } from './CostEstimates.js';
import { type EngineCell, isInCell, keyOfCell } from './EngineCells.js';
import type { EngineLoad } from './EngineLoad.js';
import { EngineLoads } from './EngineLoads.js';
import { prefillMs } from './EngineTiming.js';
import { evacuationRetryMs } from './EvacuatedTargets.js';
import {
  expectedOutputTokens,
  PlacementRefusal,
  type PromptRequest,
  RefusedPrompt,
} from './PlacementDecision.js';
import {
  AVOIDED,
  explainCandidate,
  ExplainedOutcome,
  orderCandidates,
  type PlacementExplanation,
  PlacementObstacle,
} from './PlacementExplanation.js';
import { placementJitter } from './PlacementJitter.js';
import { type PromptRequirements, promptValue } from './PlacementLoss.js';
import { placePrompt, type PromptPlacement, type RandomLoss } from './PromptPlacer.js';
import { PromptQueue, type WaitingPrompt } from './PromptQueue.js';
import { RateDecider, type RateLimits } from './RateLimits.js';
import { RetrySchedule } from './RetrySchedule.js';
import type { TargetHealth } from './TargetHealth.js';

/** The queue is evaluated again after this time even if no request changed. */
const RECHECK_MS = 40;
/** Least time between two evaluations; in a burst, requests change every millisecond. */
const MIN_EVALUATION_INTERVAL_MS = 10;
/** Loads are computed again after this time, since the backlog of the engines shrinks. */
const MAX_LOAD_AGE_MS = 5;
/** Prompts without capacity after which an evaluation ends; the rest rank behind them. */
const MAX_FAILURES_PER_EVALUATION = 3;
/** Retry time of a prompt that would be a net loss; the load that makes it so lasts for seconds. */
const NET_LOSS_RETRY_MS = 3_000;
/**
 * Nodes that must report an engine before it is avoided. One alone may be cut off from it, and the
 * others would lose its capacity.
 */
const MIN_REPORTERS = 2;
/** Retry time while no engine accepts requests. */
const NO_ENGINE_RETRY_MS = 1_500;

/** The targets that accept requests. */
export interface TargetSource {
  acceptingTargets(service: string): readonly TargetEntry[];
  /** Targets that would accept requests if their zones were not evacuated. */
  evacuatedTargets(service: string): readonly TargetEntry[];
  readonly onEvacuation: Event<ZoneChange>;
}

/** Dependencies of the scheduler. */
export interface SchedulerOptions {
  readonly clock: Clock;
  readonly targets: TargetSource;
  readonly activeRequests: ActiveRequestTable;
  readonly health: TargetHealth;
  readonly rateLimits: RateLimits;
  readonly costs: CostEstimates;
  readonly random: RandomSource;
  /** Whether this node is the first coordinator of a cell, by its list of members. */
  readonly isFirstCoordinator: (cell: EngineCell) => boolean;
}

/** How far a decision can rely on the account. */
export enum AccountState {
  /** All placements of the cell are decided on this account. */
  Complete = 'complete',
  /** Other nodes place prompts that this account doesn't have. */
  Partial = 'partial',
}

/** Random losses of the engines, by account. */
const RANDOM_LOSSES: Record<AccountState, (random: RandomSource) => RandomLoss> = {
  [AccountState.Complete]: () => () => 0,
  [AccountState.Partial]: placementJitter,
};

type Decision = PromptPlacement | RefusedPrompt;

interface CellLoads {
  readonly key: string;
  readonly at: number;
  readonly loads: readonly EngineLoad[];
}

interface QueuedPrompt extends WaitingPrompt {
  readonly waitUntil: number;
  readonly account: AccountState;
  readonly signal: AbortSignal;
  readonly resolve: (decision: Decision) => void;
}

/** What to do with a prompt: refuse it, place it, or, without either, let it wait. */
interface Verdict {
  readonly ahead: number;
  readonly expectedWaitMs: number;
  readonly placement: PromptPlacement | undefined;
  readonly refusal: PlacementRefusal | undefined;
}

/** A refusal before a turn to retry is handed out. */
interface DescribedRefusal {
  readonly reason: PlacementRefusal;
  readonly engineCount: number;
  /** Time until capacity is expected, and for which the prompt will take it. */
  readonly earliestMs: number;
  readonly turnMs: number;
  /** Time to retry when it does not depend on turns. */
  readonly retryAfterMs: number | undefined;
}

/** Places prompts in turn, each on the account that includes those before it. */
export class EngineScheduler extends DisposableOwner {
  private readonly _queues = new Map<string, PromptQueue<QueuedPrompt>>();
  private readonly _retries = new RetrySchedule();
  private readonly _engineLoads: EngineLoads;
  private _timer: Disposable | undefined;
  /** Loads of a cell at the start of an evaluation; undefined after a request changed. */
  private _loads: CellLoads | undefined;
  private _evaluateAt = Number.POSITIVE_INFINITY;

  constructor(private readonly _options: SchedulerOptions) {
    super();
    this._engineLoads = new EngineLoads(_options.activeRequests);
    this.register(
      toDisposable(() => {
        this._timer?.dispose();
      }),
    );
    this.register(
      _options.activeRequests.onChange(() => {
        this._loads = undefined;
        if (this.waiting > 0) {
          this._scheduleEvaluation(MIN_EVALUATION_INTERVAL_MS);
        }
      }),
    );
    this.register(
      _options.activeRequests.onStart(({ node, request: { id, startedAt, targets } }) => {
        _options.rateLimits.countStarted(targets, requestKey({ id, node }), startedAt);
      }),
    );
    this.register(
      _options.targets.onEvacuation(({ isEvacuated }) => {
        this._loads = undefined;
        if (isEvacuated) {
          this._refuseLate();
        }
        this._evaluate();
      }),
    );
    this.register(
      _options.activeRequests.onGenerating((request) => {
        _options.costs.speeds.recordFirstEvent(requestKey(request));
      }),
    );
  }

  /** Number of prompts that wait for capacity. */
  public get waiting(): number {
    return [...this._queues.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Decides on a prompt, after waiting for capacity until `waitUntil` at most. */
  public decide(
    request: PromptRequest,
    waitUntil: number,
    signal: AbortSignal,
    account: AccountState,
  ): Promise<Decision> {
    const { clock, random } = this._options;
    const arrivedAt = clock.now();
    const verdict = this._judge(request, waitUntil, account, () => RANDOM_LOSSES[account](random));
    const { ahead, placement, refusal } = verdict;
    if (ahead === 0 && signal.aborted) {
      return Promise.resolve(this._refuse(request, PlacementRefusal.CallerDisconnected, 0));
    }
    if (refusal !== undefined) {
      return Promise.resolve(this._refuse(request, refusal, ahead));
    }
    if (placement !== undefined) {
      return Promise.resolve(this._commit(request, placement, account));
    }
    return new Promise((resolve) => {
      this._queueOf(request).add({ request, arrivedAt, waitUntil, account, signal, resolve });
      this._scheduleEvaluation(RECHECK_MS);
    });
  }

  /**
   * Explains what `decide` would decide now. Nothing is placed, reserved, counted or queued, and no
   * turn to retry is handed out.
   */
  public explain(
    request: PromptRequest,
    waitUntil: number,
    account: AccountState,
  ): PlacementExplanation {
    const now = this._options.clock.now();
    const verdict = this._judge(request, waitUntil, account, () => () => 0);
    const { ahead, expectedWaitMs, placement, refusal } = verdict;
    const requirements = this._requirementsOf(request);
    const candidates = this._loadsOf(request).map((load) => {
      const alone = placePrompt(request.profile, requirements, [load]);
      const obstacle = this._findObstacle(
        request,
        load.entry.id,
        this._deciderOf(request, account),
      );
      return explainCandidate(load, alone, obstacle, now);
    });
    const isPlaced = refusal === undefined && placement !== undefined;
    const undecided = refusal === undefined ? ExplainedOutcome.Waits : ExplainedOutcome.Refused;
    const refused =
      refusal === undefined ? undefined : this._describeRefusal(request, refusal, ahead);
    return {
      outcome: isPlaced ? ExplainedOutcome.Placed : undecided,
      refusal: refused?.reason,
      targets: isPlaced ? idsOf(placement.targets) : [],
      firstEventMs: isPlaced ? Math.round(placement.firstEventMs) : undefined,
      cost: placement === undefined ? undefined : Math.round(placement.cost * 100) / 100,
      ahead,
      expectedWaitMs: Math.round(expectedWaitMs),
      retryAfterMs:
        refused === undefined
          ? undefined
          : Math.round(
              refused.retryAfterMs ?? this._retries.peek(now, refused.earliestMs, refused.turnMs),
            ),
      candidates: orderCandidates(candidates),
    };
  }

  /** What to do with a prompt that arrives now; changes nothing. */
  private _judge(
    request: PromptRequest,
    waitUntil: number,
    account: AccountState,
    createRandomLoss: () => RandomLoss,
  ): Verdict {
    const now = this._options.clock.now();
    const queue = this._queues.get(keyOfCell(request.cell));
    const ahead = queue?.countAhead({ request, arrivedAt: now }, now) ?? 0;
    const placement = ahead === 0 ? this._choose(request, account, createRandomLoss) : undefined;
    if (placement !== undefined) {
      const refusal = placement.isNetLoss ? PlacementRefusal.NetLoss : undefined;
      return { ahead, expectedWaitMs: 0, placement, refusal };
    }
    const decider = this._deciderOf(request, account);
    const expectedWaitMs = this._expectedWaitMs(request, ahead, decider);
    const mayWait =
      account === AccountState.Complete ||
      this._options.rateLimits.permitsWaiting(this._usableIds(request), ahead, decider);
    const isEvacuated = this._evacuationRetryMs(request) !== undefined;
    const isRefused = isEvacuated || !mayWait || now + expectedWaitMs >= waitUntil;
    const refusal = isRefused ? PlacementRefusal.NoCapacity : undefined;
    return { ahead, expectedWaitMs, placement, refusal };
  }

  private _queueOf({ cell }: PromptRequest): PromptQueue<QueuedPrompt> {
    const key = keyOfCell(cell);
    let queue = this._queues.get(key);
    if (queue === undefined) {
      queue = new PromptQueue();
      this._queues.set(key, queue);
    }
    return queue;
  }

  private _scheduleEvaluation(delayMs: number): void {
    const { clock } = this._options;
    const at = clock.now() + delayMs;
    if (at >= this._evaluateAt) {
      return;
    }
    this._evaluateAt = at;
    this._timer?.dispose();
    this._timer = clock.schedule(delayMs, () => {
      this._evaluateAt = Number.POSITIVE_INFINITY;
      this._evaluate();
    });
  }

  private _evaluate(): void {
    if (this.isDisposed) {
      return;
    }
    for (const queue of this._queues.values()) {
      this._evaluateQueue(queue);
    }
    if (this.waiting > 0) {
      this._scheduleEvaluation(RECHECK_MS);
    }
  }

  /** Refuses waiting prompts whose turn is no longer expected in time, those behind first ones. */
  private _refuseLate(): void {
    const now = this._options.clock.now();
    for (const queue of this._queues.values()) {
      let ahead = 0;
      for (const prompt of queue.inOrder(now)) {
        const { request, resolve, waitUntil } = prompt;
        if (now + this._expectedWaitMs(request, ahead) < waitUntil) {
          ahead++;
        } else {
          queue.remove(prompt);
          resolve(this._refuse(request, PlacementRefusal.NoCapacity, ahead));
        }
      }
    }
  }

  private _evaluateQueue(queue: PromptQueue<QueuedPrompt>): void {
    const now = this._options.clock.now();
    let failures = 0;
    for (const [index, prompt] of queue.inOrder(now).entries()) {
      const { account, request, signal, waitUntil } = prompt;
      const isOver = signal.aborted || now >= waitUntil;
      const mayTry = failures < MAX_FAILURES_PER_EVALUATION;
      let decision = mayTry || isOver ? this._decideNow(request, account, signal) : undefined;
      if (decision === undefined) {
        failures++;
        decision = isOver ? this._refuse(request, PlacementRefusal.NoCapacity, index) : undefined;
      }
      if (decision !== undefined) {
        queue.remove(prompt);
        prompt.resolve(decision);
      }
    }
  }

  /** Places or refuses a prompt; `undefined` when no engine has capacity. */
  private _decideNow(
    request: PromptRequest,
    account: AccountState,
    signal: AbortSignal,
  ): Decision | undefined {
    if (signal.aborted) {
      return this._refuse(request, PlacementRefusal.CallerDisconnected, 0);
    }
    const { random } = this._options;
    const placement = this._choose(request, account, () => RANDOM_LOSSES[account](random));
    if (placement === undefined) {
      const isEvacuated = this._evacuationRetryMs(request) !== undefined;
      return isEvacuated ? this._refuse(request, PlacementRefusal.NoCapacity, 0) : undefined;
    }
    return placement.isNetLoss
      ? this._refuse(request, PlacementRefusal.NetLoss, 0)
      : this._commit(request, placement, account);
  }

  /** The best placement now, also if it is a net loss; `undefined` when no engine has capacity. */
  private _choose(
    request: PromptRequest,
    account: AccountState,
    createRandomLoss: () => RandomLoss,
  ): PromptPlacement | undefined {
    const loads = this._loadsOf(request);
    return loads.length === 0
      ? undefined
      : this._place(request, account, loads, createRandomLoss());
  }

  /** Enters a placement in the account, before the entry node reports it. */
  private _commit(
    request: PromptRequest,
    placement: PromptPlacement,
    account: AccountState,
  ): PromptPlacement {
    const { activeRequests: table, clock, rateLimits } = this._options;
    table.set(request.node, toActiveRequest(request, placement, clock.now()));
    this._expectFirstEvent(request, placement);
    const decider = this._deciderOf(request, account);
    rateLimits.reserve(idsOf(placement.targets), requestKey(request), decider);
    return placement;
  }

  private _expectFirstEvent(request: PromptRequest, placement: PromptPlacement): void {
    const { configuredFirstEventMs, targets } = placement;
    if (configuredFirstEventMs !== undefined) {
      const { service } = request.cell;
      const { speeds } = this._options.costs;
      speeds.expectFirstEvent(requestKey(request), service, targets[0].id, configuredFirstEventMs);
    }
  }

  private _deciderOf({ cell }: PromptRequest, account: AccountState): RateDecider {
    if (account === AccountState.Partial) {
      return RateDecider.Alone;
    }
    return this._options.isFirstCoordinator(cell) ? RateDecider.Shared : RateDecider.Standby;
  }

  /** Loads of the engines that the prompt may use; kept while an evaluation finds no capacity. */
  private _loadsOf(request: PromptRequest): readonly EngineLoad[] {
    const { clock, costs } = this._options;
    const now = clock.now();
    const key = keyOfCell(request.cell);
    if (this._loads?.key !== key || now - this._loads.at > MAX_LOAD_AGE_MS) {
      const loads = this._enginesOf(request).map((engine) =>
        this._engineLoads.loadOf(request.profile, engine, now, costs.slowdown(engine.id)),
      );
      this._loads = { key, at: now, loads };
    }
    return this._loads.loads;
  }

  private _enginesOf({ cell }: PromptRequest): readonly TargetEntry[] {
    return this._options.targets
      .acceptingTargets(cell.service)
      .filter((engine) => isInCell(cell, engine));
  }

  private _place(
    request: PromptRequest,
    account: AccountState,
    loads: readonly EngineLoad[],
    randomLoss: RandomLoss,
  ): PromptPlacement | undefined {
    const decider = this._deciderOf(request, account);
    const eligible: EngineLoad[] = [];
    const healthy: EngineLoad[] = [];
    for (const load of loads) {
      const obstacle = this._findObstacle(request, load.entry.id, decider);
      if (obstacle === undefined) {
        healthy.push(load);
      }
      if (obstacle === undefined || AVOIDED.has(obstacle)) {
        eligible.push(load);
      }
    }
    const candidates = healthy.length === 0 ? eligible : healthy;
    return placePrompt(request.profile, this._requirementsOf(request), candidates, randomLoss);
  }

  /** Why an engine should not get the prompt, other than by its load. */
  private _findObstacle(
    request: PromptRequest,
    id: string,
    decider: RateDecider,
  ): PlacementObstacle | undefined {
    const { health, rateLimits } = this._options;
    if (request.excluded.has(id)) {
      return PlacementObstacle.Excluded;
    }
    if (!rateLimits.permits(id, decider)) {
      return PlacementObstacle.RateLimited;
    }
    if (request.suspects.has(id) || health.isSuspect(id)) {
      return PlacementObstacle.Suspect;
    }
    return health.countReporters(id) < MIN_REPORTERS ? undefined : PlacementObstacle.Reported;
  }

  private _requirementsOf(request: PromptRequest): PromptRequirements {
    const now = this._options.clock.now();
    return {
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      expectedOutputTokens: expectedOutputTokens(request),
      dueInMs: request.dueAt - now,
      deadlineInMs: request.deadlineAt - now,
      latencyTargetMs: request.latencyTargetMs,
      pauseTargetMs: request.pauseTargetMs,
      availabilityZone: request.availabilityZone,
    };
  }

  /** Time until `ahead` waiting prompts and this one get capacity, and a request may be sent. */
  private _expectedWaitMs(request: PromptRequest, ahead: number, decider?: RateDecider): number {
    return Math.max(
      this._capacityWaitMs(request, ahead),
      this._rateWaitMs(request, ahead, decider),
    );
  }

  private _rateWaitMs(request: PromptRequest, ahead: number, decider?: RateDecider): number {
    const { rateLimits } = this._options;
    return rateLimits.hasLimits ? rateLimits.waitMs(this._usableIds(request), ahead, decider) : 0;
  }

  private _usableIds(request: PromptRequest): readonly string[] {
    return idsOf(this._enginesOf(request)).filter((id) => !request.excluded.has(id));
  }

  /** Time until `ahead` waiting prompts and this one get capacity. */
  private _capacityWaitMs(request: PromptRequest, ahead: number): number {
    const loads = this._loadsOf(request);
    const active = loads.flatMap(({ primaryRequests }) => primaryRequests);
    const freeSlots = loads.reduce(
      (sum, { entry, primaryRequests }) => sum + Math.max(0, entry.slots - primaryRequests.length),
      0,
    );
    return capacityWaitMs(active, ahead, freeSlots, this._options.clock.now());
  }

  /** Time to retry since all engines of the cell are evacuated; `undefined` if they are not. */
  private _evacuationRetryMs(request: PromptRequest): number | undefined {
    const { random, targets } = this._options;
    const { cell } = request;
    const evacuated = targets.evacuatedTargets(cell.service);
    const ofCell = evacuated.filter((engine) => isInCell(cell, engine));
    return evacuationRetryMs(this._enginesOf(request), ofCell, random);
  }

  private _refuse(request: PromptRequest, refusal: PlacementRefusal, ahead: number): RefusedPrompt {
    const described = this._describeRefusal(request, refusal, ahead);
    const { earliestMs, engineCount, reason, turnMs } = described;
    const now = this._options.clock.now();
    const retryAfterMs = described.retryAfterMs ?? this._retries.next(now, earliestMs, turnMs);
    return new RefusedPrompt(
      reason,
      engineCount,
      retryAfterMs,
      reason === PlacementRefusal.NoEngine ? 0 : ahead,
    );
  }

  private _describeRefusal(
    request: PromptRequest,
    refusal: PlacementRefusal,
    ahead: number,
  ): DescribedRefusal {
    const { rateLimits } = this._options;
    const engineCount = this._enginesOf(request).length;
    if (engineCount === 0 && refusal === PlacementRefusal.NoCapacity) {
      const reason = PlacementRefusal.NoEngine;
      const retryAfterMs = this._evacuationRetryMs(request) ?? NO_ENGINE_RETRY_MS;
      return { reason, engineCount, earliestMs: 0, turnMs: 0, retryAfterMs };
    }
    const earliestMs =
      refusal === PlacementRefusal.NetLoss
        ? NET_LOSS_RETRY_MS
        : this._expectedWaitMs(request, ahead + 1);
    const turnMs = Math.max(
      prefillMs(request.profile, request.promptTokens) / Math.max(1, engineCount),
      rateLimits.intervalMs(this._usableIds(request)),
    );
    const isRateLimited =
      refusal === PlacementRefusal.NoCapacity && this._rateWaitMs(request, ahead) > 0;
    const reason = isRateLimited ? PlacementRefusal.RateLimited : refusal;
    return { reason, engineCount, earliestMs, turnMs, retryAfterMs: undefined };
  }
}

/** The record of a prompt that was just placed. */
export function toActiveRequest(
  request: PromptRequest,
  placement: PromptPlacement,
  now: number,
): ActiveRequest {
  const { dueAt, expected, id, outputTokens, pauseTargetMs, promptTokens } = request;
  const { firstEventMs, partPrefillMs, reservedTokens, targets } = placement;
  const isMemoryShared = reservedTokens > 0;
  return {
    id,
    targets: targets.map((target) => target.id),
    isMemoryShared,
    partPrefillMs,
    startedAt: now,
    dueAt,
    expectedEndAt:
      expected?.generationMs === undefined ? undefined : now + firstEventMs + expected.generationMs,
    isGenerating: false,
    pauseTargetMs,
    value: promptValue(promptTokens, expectedOutputTokens(request)),
    memoryTokens: isMemoryShared ? reservedTokens : promptTokens + outputTokens,
    contextTokens: isMemoryShared ? reservedTokens : promptTokens,
  };
}

/** Identifies a placed prompt among those of all nodes. */
export function requestKey({ id, node }: Pick<PromptRequest, 'id' | 'node'>): string {
  return `${node} ${id}`;
}

function idsOf(targets: readonly TargetEntry[]): readonly string[] {
  return targets.map(({ id }) => id);
}
