/**
 * Places the prompts of this node on engines and publishes them as active requests. A prompt for
 * which no engine has capacity waits until requests end, for as long as an answer in time stays
 * possible, and is refused after that.
 */
import { awaitEvent, type Clock, type RandomSource } from '@tanagerdyke/kernel';
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { type ActiveRequest, type ActiveRequestTable, toGenerating } from './ActiveRequestTable.js';
import { computeLoads, type EngineLoad } from './EngineLoad.js';
import { placementJitter } from './PlacementJitter.js';
import { type PromptRequirements, promptValue } from './PlacementLoss.js';
import { placePrompt, type PromptPlacement, type RandomLoss } from './PromptPlacer.js';
import type { TargetHealth } from './TargetHealth.js';

/** A waiting prompt is evaluated again after this time even if no request changed. */
const RECHECK_MS = 40;
/**
 * Least time between two evaluations of a waiting prompt. In a burst, requests change every
 * millisecond, and one evaluation takes some milliseconds on a small host.
 */
const MIN_WAIT_MS = 15;
/**
 * Window over which the placements of all nodes are counted, as far as their requests are still
 * active. Their rate gives the number of placements that this node has not received yet.
 */
const RATE_WINDOW_MS = 1_000;
/** Bounds of the time after which a refused caller should retry. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1_500;
/** Retry time of a prompt that would be a net loss; the load that makes it so lasts for seconds. */
const NET_LOSS_RETRY_MS = 3_000;
/** Request ids are counters, written in a large base to be short. */
const ID_RADIX = 36;

/** Records the requests of this node and notifies the other nodes of them. */
export interface ActiveRequestPublisher {
  /** Publishes a request that started. */
  publish(request: ActiveRequest): void;
  /** Publishes that a request began to generate. */
  markGenerating(request: ActiveRequest): void;
  /** Publishes that a request ended. */
  remove(id: string): void;
}

/** The targets that accept requests. */
export interface TargetSource {
  acceptingTargets(service: string): readonly TargetEntry[];
}

/** Dependencies of the scheduler. */
export interface SchedulerOptions {
  readonly clock: Clock;
  readonly targets: TargetSource;
  readonly activeRequests: ActiveRequestTable;
  readonly publisher: ActiveRequestPublisher;
  readonly health: TargetHealth;
  readonly availabilityZone: string;
  readonly random: RandomSource;
  /** Nodes that place prompts at the same time. */
  readonly liveNodes: () => number;
  /** Time until all nodes have received the update about a placement. */
  readonly updateDelayMs: () => number;
}

/** A prompt to be placed. */
export interface PromptRequest {
  readonly service: string;
  readonly profile: EngineProfile;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly latencyTargetMs: number;
  readonly pauseTargetMs: number;
  /** When the first event is due, on the clock of this node. */
  readonly dueAt: number;
  /** The deadline of the caller, on the same clock. */
  readonly deadlineAt: number;
  /** Ids of engines that failed this request. */
  readonly excluded: ReadonlySet<string>;
}

/** Why a prompt is not placed. */
export enum PlacementRefusal {
  /** No engine of the service accepts requests. */
  NoEngine = 'no-engine',
  /** No engine had capacity for as long as the prompt could wait. */
  NoCapacity = 'no-room',
  /** The prompt would cost other requests more than it is worth. */
  NetLoss = 'harmful',
  /** The caller disconnected while the prompt waited. */
  CallerDisconnected = 'caller-left',
}

/** The refusal of a prompt, with its reason. */
export class RefusedPrompt {
  constructor(
    public readonly refusal: PlacementRefusal,
    /** Number of engines of the service that accept requests, including those excluded. */
    public readonly engineCount: number,
    /** Time after which the prompt is likely to be placed, so that the caller should retry. */
    public readonly retryAfterMs: number,
  ) {}
}

/** A placed prompt, which counts as an active request until `end` is called. */
export interface PlacedPrompt extends PromptPlacement {
  /** Records that the first event was received. */
  markGenerating(): void;
  end(): void;
}

/** Schedules the prompts that enter at this node. */
export class EngineScheduler {
  private _placed = 0;

  constructor(private readonly _options: SchedulerOptions) {}

  /** Places a prompt, waiting for capacity until `waitUntil` at most. */
  public async place(
    request: PromptRequest,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<PlacedPrompt | RefusedPrompt> {
    const { activeRequests: table, clock } = this._options;
    for (;;) {
      const { requests: activeRequests } = table;
      const loads = this._computeLoads(request, activeRequests);
      if (signal.aborted) {
        return refuse(loads, PlacementRefusal.CallerDisconnected);
      }
      const placement = this._tryPlace(request, loads, activeRequests);
      if (placement?.isNetLoss === true) {
        return refuse(loads, PlacementRefusal.NetLoss);
      }
      if (placement !== undefined) {
        return this._publish(request, placement);
      }
      if (clock.now() >= waitUntil) {
        return refuse(loads, PlacementRefusal.NoCapacity);
      }
      await clock.sleep(MIN_WAIT_MS, signal);
      await awaitEvent(clock, table.onChange, () => true, RECHECK_MS).value;
    }
  }

  private _computeLoads(
    { profile, service }: PromptRequest,
    activeRequests: readonly ActiveRequest[],
  ): EngineLoad[] {
    const { clock, targets } = this._options;
    return computeLoads(profile, targets.acceptingTargets(service), activeRequests, clock.now());
  }

  private _tryPlace(
    request: PromptRequest,
    loads: readonly EngineLoad[],
    activeRequests: readonly ActiveRequest[],
  ): PromptPlacement | undefined {
    const { clock, health } = this._options;
    const eligible = loads.filter(({ entry }) => !request.excluded.has(entry.id));
    const healthy = eligible.filter(({ entry }) => !health.isSuspect(entry.id));
    const prompt: PromptRequirements = {
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      dueInMs: request.dueAt - clock.now(),
      deadlineInMs: request.deadlineAt - clock.now(),
      latencyTargetMs: request.latencyTargetMs,
      pauseTargetMs: request.pauseTargetMs,
      availabilityZone: this._options.availabilityZone,
    };
    const candidates = healthy.length === 0 ? eligible : healthy;
    return placePrompt(request.profile, prompt, candidates, this._placementJitter(activeRequests));
  }

  private _placementJitter(activeRequests: readonly ActiveRequest[]): RandomLoss {
    const { clock, liveNodes, updateDelayMs, random } = this._options;
    const since = clock.now() - RATE_WINDOW_MS;
    return placementJitter({
      random,
      liveNodes: liveNodes(),
      placedPerSecond: activeRequests.filter(({ startedAt }) => startedAt > since).length,
      updateDelayMs: updateDelayMs(),
    });
  }

  private _publish(request: PromptRequest, placement: PromptPlacement): PlacedPrompt {
    const { clock, publisher } = this._options;
    const id = (this._placed++).toString(ID_RADIX);
    const { promptTokens, outputTokens } = request;
    const { reservedTokens, targets } = placement;
    const isMemoryShared = reservedTokens > 0;
    let activeRequest: ActiveRequest = {
      id,
      targets: targets.map((target) => target.id),
      isMemoryShared,
      partPrefillMs: placement.partPrefillMs,
      startedAt: clock.now(),
      dueAt: request.dueAt,
      isGenerating: false,
      pauseTargetMs: request.pauseTargetMs,
      value: promptValue(promptTokens, outputTokens),
      memoryTokens: isMemoryShared ? reservedTokens : promptTokens + outputTokens,
      contextTokens: isMemoryShared ? reservedTokens : promptTokens,
    };
    publisher.publish(activeRequest);
    let isEnded = false;
    return {
      ...placement,
      markGenerating: () => {
        if (!activeRequest.isGenerating && !isEnded) {
          activeRequest = toGenerating(activeRequest);
          publisher.markGenerating(activeRequest);
        }
      },
      end: () => {
        if (!isEnded) {
          isEnded = true;
          publisher.remove(id);
        }
      },
    };
  }
}

/** Refuses a prompt, with the time after which the caller should retry. */
function refuse(loads: readonly EngineLoad[], refusal: PlacementRefusal): RefusedPrompt {
  if (loads.length === 0) {
    return new RefusedPrompt(PlacementRefusal.NoEngine, 0, MAX_RETRY_MS);
  }
  const soonestMs = Math.min(...loads.map(({ backlogMs, passMs }) => backlogMs + passMs));
  const retryAfterMs =
    refusal === PlacementRefusal.NetLoss
      ? NET_LOSS_RETRY_MS
      : Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, soonestMs));
  return new RefusedPrompt(refusal, loads.length, retryAfterMs);
}
