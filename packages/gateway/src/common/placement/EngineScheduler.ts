/**
 * Places the prompts of this node on engines and keeps the load board up to date about them. A
 * prompt that finds no room waits until work ends somewhere, for as long as an answer in time stays
 * possible, and is refused otherwise.
 */
import { awaitEvent, type Clock, type RandomSource } from '@tanagerdyke/kernel';
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { computeLoads, type EngineLoad } from './EngineLoad.js';
import { toGenerating, type EngineWork, type LoadBoard } from './LoadBoard.js';
import { type PromptRequirements, promptValue } from './PlacementLoss.js';
import { placementJitter } from './PlacementJitter.js';
import { placePrompt, type PromptPlacement, type RandomLoss } from './PromptPlacer.js';
import type { TargetHealth } from './TargetHealth.js';

/** Without news of ended work, room is looked for again after this time. */
const RECHECK_MS = 40;
/** Under a burst something changes every ms, and each look costs some ms of a small host. */
const MIN_WAIT_MS = 15;
/** Placements of this time are counted to tell how many more are under way unseen. */
const RATE_WINDOW_MS = 1_000;
/** Bounds of the time after which a refused caller should come back. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1_500;
/** The load that makes a prompt harmful lasts for seconds. */
const NET_LOSS_RETRY_MS = 3_000;
/** Ids of work are counters, written short. */
const ID_RADIX = 36;

/** Spreads what this node knows of its own work. */
export interface WorkPublisher {
  publish(work: EngineWork): void;
  begin(work: EngineWork): void;
  withdraw(id: string): void;
}

/** Targets of a service that take work. */
export interface TargetSource {
  ofService(service: string): readonly TargetEntry[];
}

/** What the scheduler needs. */
export interface SchedulerOptions {
  readonly clock: Clock;
  readonly targets: TargetSource;
  readonly board: LoadBoard;
  readonly publisher: WorkPublisher;
  readonly health: TargetHealth;
  readonly availabilityZone: string;
  readonly random: RandomSource;
  /** Nodes that place prompts at the same time. */
  readonly liveNodes: () => number;
  /** Time until all nodes know of a placement. */
  readonly newsDelayMs: () => number;
}

/** A prompt to be placed. */
export interface PromptRequest {
  readonly service: string;
  readonly profile: EngineProfile;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly latencyTargetMs: number;
  readonly pauseTargetMs: number;
  /** When the first event is due, on the clock. */
  readonly dueAt: number;
  /** When the caller gives up. */
  readonly deadlineAt: number;
  /** Engines that failed this request. */
  readonly excluded: ReadonlySet<string>;
}

/** Why a prompt is not placed. */
export enum PlacementRefusal {
  /** No engine of the service takes work. */
  NoEngine = 'no-engine',
  /** Every engine is full, and stayed so for as long as the prompt could wait. */
  NoCapacity = 'no-room',
  /** The prompt would cost other requests more than it is worth. */
  NetLoss = 'harmful',
  /** The caller left while the prompt waited. */
  CallerLeft = 'caller-left',
}

/** A prompt that is not placed, with what decided that. */
export class RefusedPrompt {
  constructor(
    public readonly refusal: PlacementRefusal,
    /** Engines that were looked at. */
    public readonly engines: number,
    /** When room is likely. */
    public readonly retryAfterMs: number,
  ) {}
}

/** A placed prompt; its work counts on the board until it is ended. */
export interface PlacedPrompt extends PromptPlacement {
  /** The first event came. */
  markGenerating(): void;
  end(): void;
}

/** The scheduler of one node. */
export class EngineScheduler {
  private _placed = 0;

  constructor(private readonly _options: SchedulerOptions) {}

  /** Places a prompt, waiting for room until `giveUpAt` at most. */
  public async place(
    request: PromptRequest,
    giveUpAt: number,
    signal: AbortSignal,
  ): Promise<PlacedPrompt | RefusedPrompt> {
    const { board, clock } = this._options;
    for (;;) {
      const { requests } = board;
      const loads = this._computeLoads(request, requests);
      if (signal.aborted) {
        return refuse(loads, PlacementRefusal.CallerLeft);
      }
      const placement = this._tryPlace(request, loads, requests);
      if (placement?.isNetLoss === true) {
        return refuse(loads, PlacementRefusal.NetLoss);
      }
      if (placement !== undefined) {
        return this._admit(request, placement);
      }
      if (clock.now() >= giveUpAt) {
        return refuse(loads, PlacementRefusal.NoCapacity);
      }
      await clock.sleep(MIN_WAIT_MS, signal);
      await awaitEvent(clock, board.onChange, () => true, RECHECK_MS).value;
    }
  }

  private _computeLoads(
    { profile, service }: PromptRequest,
    works: readonly EngineWork[],
  ): EngineLoad[] {
    const { clock, targets } = this._options;
    return computeLoads(profile, targets.ofService(service), works, clock.now());
  }

  private _tryPlace(
    request: PromptRequest,
    loads: readonly EngineLoad[],
    works: readonly EngineWork[],
  ): PromptPlacement | undefined {
    const { clock, health } = this._options;
    const open = loads.filter(({ entry }) => !request.excluded.has(entry.id));
    const sound = open.filter(({ entry }) => !health.isSuspect(entry.id));
    const question: PromptRequirements = {
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      dueInMs: request.dueAt - clock.now(),
      deadlineInMs: request.deadlineAt - clock.now(),
      latencyTargetMs: request.latencyTargetMs,
      pauseTargetMs: request.pauseTargetMs,
      availabilityZone: this._options.availabilityZone,
    };
    const usable = sound.length === 0 ? open : sound;
    return placePrompt(request.profile, question, usable, this._placementJitter(works));
  }

  private _placementJitter(works: readonly EngineWork[]): RandomLoss {
    const { clock, liveNodes, newsDelayMs, random } = this._options;
    const since = clock.now() - RATE_WINDOW_MS;
    return placementJitter({
      random,
      liveNodes: liveNodes(),
      placedPerSecond: works.filter(({ startedAt }) => startedAt > since).length,
      updateDelayMs: newsDelayMs(),
    });
  }

  private _admit(request: PromptRequest, placement: PromptPlacement): PlacedPrompt {
    const { clock, publisher } = this._options;
    const id = (this._placed++).toString(ID_RADIX);
    const { promptTokens, outputTokens } = request;
    const { reservedTokens, targets } = placement;
    const isShared = reservedTokens > 0;
    let work: EngineWork = {
      id,
      targets: targets.map((target) => target.id),
      isMemoryShared: isShared,
      partPrefillMs: placement.partMs,
      startedAt: clock.now(),
      dueAt: request.dueAt,
      isGenerating: false,
      pauseTargetMs: request.pauseTargetMs,
      value: promptValue(promptTokens, outputTokens),
      memoryTokens: isShared ? reservedTokens : promptTokens + outputTokens,
      contextTokens: isShared ? reservedTokens : promptTokens,
    };
    publisher.publish(work);
    let isEnded = false;
    return {
      ...placement,
      markGenerating: () => {
        if (!work.isGenerating && !isEnded) {
          work = toGenerating(work);
          publisher.begin(work);
        }
      },
      end: () => {
        if (!isEnded) {
          isEnded = true;
          publisher.withdraw(id);
        }
      },
    };
  }
}

/** A refusal with the time at which room is likely. */
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
