/**
 * Decides on which engines prompts are placed, on this node's account of active requests. Load
 * pattern: prompts of all nodes arrive at the same moment, and most engines have few slots free. Each
 * decision includes those before it. A prompt for which no engine has capacity waits in a queue; it
 * is refused at arrival if its turn is not expected while it can wait.
 */
import {
  type Disposable,
  DisposableOwner,
  type RandomSource,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { TargetEntry } from '../Messages.js';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { keyOfCell } from './EngineCells.js';
import { AccountState, EngineSelection, type EngineSelectionOptions } from './EngineSelection.js';
import {
  expectedOutputTokens,
  PlacementRefusal,
  type PromptRequest,
  type RefusedPrompt,
} from './PlacementDecision.js';
import {
  explainCandidate,
  ExplainedOutcome,
  orderCandidates,
  type PlacementExplanation,
} from './PlacementExplanation.js';
import { placementJitter } from './PlacementJitter.js';
import { promptValue } from './PlacementLoss.js';
import { placePrompt, type PromptPlacement, type RandomLoss } from './PromptPlacer.js';
import { PromptQueue, type WaitingPrompt } from './PromptQueue.js';
import { PromptRefusals } from './PromptRefusals.js';

/** The queue is evaluated again after this time even if no request changed. */
const RECHECK_MS = 40;
/** Least time between two evaluations; in a burst, requests change every millisecond. */
const MIN_EVALUATION_INTERVAL_MS = 10;
/** Prompts without capacity after which an evaluation ends; the rest rank behind them. */
const MAX_FAILURES_PER_EVALUATION = 3;
/** Random losses of the engines, by account. */
const RANDOM_LOSSES: Record<AccountState, (random: RandomSource) => RandomLoss> = {
  [AccountState.Complete]: () => () => 0,
  [AccountState.Partial]: placementJitter,
};

type Decision = PromptPlacement | RefusedPrompt;

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

/** Places prompts in turn, each on the account that includes those before it. */
export class EngineScheduler extends DisposableOwner {
  private readonly _queues = new Map<string, PromptQueue<QueuedPrompt>>();
  private readonly _selection: EngineSelection;
  private readonly _refusals: PromptRefusals;
  private _timer: Disposable | undefined;
  private _evaluateAt = Number.POSITIVE_INFINITY;

  constructor(private readonly _options: EngineSelectionOptions) {
    super();
    // Before the other listeners, which look at the loads.
    this._selection = this.register(new EngineSelection(_options));
    this._refusals = new PromptRefusals({ ..._options, selection: this._selection });
    this.register(
      toDisposable(() => {
        this._timer?.dispose();
      }),
    );
    this.register(
      _options.activeRequests.onChange(() => {
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
      return Promise.resolve(
        this._refusals.refuse(request, PlacementRefusal.CallerDisconnected, 0),
      );
    }
    if (refusal !== undefined) {
      return Promise.resolve(this._refusals.refuse(request, refusal, ahead));
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
    const requirements = this._selection.requirementsOf(request);
    const candidates = this._selection.loadsOf(request).map((load) => {
      const alone = placePrompt(request.profile, requirements, [load]);
      const obstacle = this._selection.findObstacle(
        request,
        load.entry.id,
        this._selection.deciderOf(request, account),
      );
      return explainCandidate(load, alone, obstacle, now);
    });
    const isPlaced = refusal === undefined && placement !== undefined;
    const undecided = refusal === undefined ? ExplainedOutcome.Waits : ExplainedOutcome.Refused;
    const refused =
      refusal === undefined ? undefined : this._refusals.preview(request, refusal, ahead);
    return {
      outcome: isPlaced ? ExplainedOutcome.Placed : undecided,
      refusal: refused?.reason,
      targets: isPlaced ? idsOf(placement.targets) : [],
      firstEventMs: isPlaced ? Math.round(placement.firstEventMs) : undefined,
      cost: placement === undefined ? undefined : Math.round(placement.cost * 100) / 100,
      ahead,
      expectedWaitMs: Math.round(expectedWaitMs),
      retryAfterMs: refused === undefined ? undefined : Math.round(refused.retryAfterMs),
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
    const placement =
      ahead === 0 ? this._selection.choose(request, account, createRandomLoss) : undefined;
    if (placement !== undefined) {
      const refusal = placement.isNetLoss ? PlacementRefusal.NetLoss : undefined;
      return { ahead, expectedWaitMs: 0, placement, refusal };
    }
    const decider = this._selection.deciderOf(request, account);
    const expectedWaitMs = this._selection.expectedWaitMs(request, ahead, decider);
    const mayWait =
      account === AccountState.Complete ||
      this._options.rateLimits.permitsWaiting(this._selection.usableIds(request), ahead, decider);
    const isEvacuated = this._selection.evacuationRetryMs(request) !== undefined;
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
        if (now + this._selection.expectedWaitMs(request, ahead) < waitUntil) {
          ahead++;
        } else {
          queue.remove(prompt);
          resolve(this._refusals.refuse(request, PlacementRefusal.NoCapacity, ahead));
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
        decision = isOver
          ? this._refusals.refuse(request, PlacementRefusal.NoCapacity, index)
          : undefined;
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
      return this._refusals.refuse(request, PlacementRefusal.CallerDisconnected, 0);
    }
    const { random } = this._options;
    const placement = this._selection.choose(request, account, () =>
      RANDOM_LOSSES[account](random),
    );
    if (placement === undefined) {
      const isEvacuated = this._selection.evacuationRetryMs(request) !== undefined;
      return isEvacuated
        ? this._refusals.refuse(request, PlacementRefusal.NoCapacity, 0)
        : undefined;
    }
    return placement.isNetLoss
      ? this._refusals.refuse(request, PlacementRefusal.NetLoss, 0)
      : this._commit(request, placement, account);
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
    const decider = this._selection.deciderOf(request, account);
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
