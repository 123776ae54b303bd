/**
 * Selects engines for one prompt, and tells how long it would have to wait for some: by their loads in
 * this node's account, their health, the limits that they state and the zones that are evacuated. Loads
 * are computed once for all prompts of an evaluation, since most of them find no capacity.
 */
import { type Clock, DisposableOwner, type Event, type RandomSource } from '@tanagerdyke/kernel';
import type { TargetEntry } from '../Messages.js';
import type { ZoneChange } from '../state/ZoneEvacuations.js';
import type { ActiveRequestTable } from './ActiveRequestTable.js';
import { capacityWaitMs } from './CapacityWait.js';
import type { CostEstimates } from './CostEstimates.js';
import { type EngineCell, isInCell, keyOfCell } from './EngineCells.js';
import type { EngineLoad } from './EngineLoad.js';
import { EngineLoads } from './EngineLoads.js';
import { evacuationRetryMs } from './EvacuatedTargets.js';
import { expectedOutputTokens, type PromptRequest } from './PlacementDecision.js';
import { AVOIDED, PlacementObstacle } from './PlacementExplanation.js';
import type { PromptRequirements } from './PlacementLoss.js';
import { placePrompt, type PromptPlacement, type RandomLoss } from './PromptPlacer.js';
import { RateDecider, type RateLimits } from './RateLimits.js';
import type { TargetHealth } from './TargetHealth.js';

/** Loads are computed again after this time, since the backlog of the engines shrinks. */
const MAX_LOAD_AGE_MS = 5;
/**
 * Nodes that must report an engine before it is avoided. One alone may be cut off from it, and the
 * others would lose its capacity.
 */
const MIN_REPORTERS = 2;

/** The targets that accept requests. */
export interface TargetSource {
  acceptingTargets(service: string): readonly TargetEntry[];
  /** Targets that would accept requests if their zones were not evacuated. */
  evacuatedTargets(service: string): readonly TargetEntry[];
  readonly onEvacuation: Event<ZoneChange>;
}

/** Dependencies of the selection. */
export interface EngineSelectionOptions {
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

interface CellLoads {
  readonly key: string;
  readonly at: number;
  readonly loads: readonly EngineLoad[];
}

/** Looks at the engines of a prompt; changes nothing but the loads that it keeps. */
export class EngineSelection extends DisposableOwner {
  private readonly _engineLoads: EngineLoads;
  /** Loads of a cell at the start of an evaluation; undefined after a request changed. */
  private _loads: CellLoads | undefined;

  constructor(private readonly _options: EngineSelectionOptions) {
    super();
    this._engineLoads = new EngineLoads(_options.activeRequests);
    this.register(
      _options.activeRequests.onChange(() => {
        this._loads = undefined;
      }),
    );
    this.register(
      _options.targets.onEvacuation(() => {
        this._loads = undefined;
      }),
    );
  }

  /** The best placement now, also if it is a net loss; `undefined` when no engine has capacity. */
  public choose(
    request: PromptRequest,
    account: AccountState,
    createRandomLoss: () => RandomLoss,
  ): PromptPlacement | undefined {
    const loads = this.loadsOf(request);
    return loads.length === 0
      ? undefined
      : this._place(request, account, loads, createRandomLoss());
  }

  /** Who else counts requests against the limits that engines state. */
  public deciderOf({ cell }: PromptRequest, account: AccountState): RateDecider {
    if (account === AccountState.Partial) {
      return RateDecider.Alone;
    }
    return this._options.isFirstCoordinator(cell) ? RateDecider.Shared : RateDecider.Standby;
  }

  /** Loads of the engines that the prompt may use; kept while an evaluation finds no capacity. */
  public loadsOf(request: PromptRequest): readonly EngineLoad[] {
    const { clock, costs } = this._options;
    const now = clock.now();
    const key = keyOfCell(request.cell);
    if (this._loads?.key !== key || now - this._loads.at > MAX_LOAD_AGE_MS) {
      const loads = this.enginesOf(request).map((engine) =>
        this._engineLoads.loadOf(request.profile, engine, now, costs.slowdown(engine.id)),
      );
      this._loads = { key, at: now, loads };
    }
    return this._loads.loads;
  }

  /** The engines of the prompt's cell that accept requests. */
  public enginesOf({ cell }: PromptRequest): readonly TargetEntry[] {
    return this._options.targets
      .acceptingTargets(cell.service)
      .filter((engine) => isInCell(cell, engine));
  }

  /** Why an engine should not get the prompt, other than by its load. */
  public findObstacle(
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

  /** What a placement must fulfil, with times from now on. */
  public requirementsOf(request: PromptRequest): PromptRequirements {
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
  public expectedWaitMs(request: PromptRequest, ahead: number, decider?: RateDecider): number {
    return Math.max(this._capacityWaitMs(request, ahead), this.rateWaitMs(request, ahead, decider));
  }

  /** Time until a request may be sent behind `ahead` waiting prompts, by the limits of the engines. */
  public rateWaitMs(request: PromptRequest, ahead: number, decider?: RateDecider): number {
    const { rateLimits } = this._options;
    return rateLimits.hasLimits ? rateLimits.waitMs(this.usableIds(request), ahead, decider) : 0;
  }

  /** Engines of the cell that the prompt has not excluded. */
  public usableIds(request: PromptRequest): readonly string[] {
    return idsOf(this.enginesOf(request)).filter((id) => !request.excluded.has(id));
  }

  /** Time to retry since all engines of the cell are evacuated; `undefined` if they are not. */
  public evacuationRetryMs(request: PromptRequest): number | undefined {
    const { random, targets } = this._options;
    const { cell } = request;
    const evacuated = targets.evacuatedTargets(cell.service);
    const ofCell = evacuated.filter((engine) => isInCell(cell, engine));
    return evacuationRetryMs(this.enginesOf(request), ofCell, random);
  }

  private _place(
    request: PromptRequest,
    account: AccountState,
    loads: readonly EngineLoad[],
    randomLoss: RandomLoss,
  ): PromptPlacement | undefined {
    const decider = this.deciderOf(request, account);
    const eligible: EngineLoad[] = [];
    const healthy: EngineLoad[] = [];
    for (const load of loads) {
      const obstacle = this.findObstacle(request, load.entry.id, decider);
      if (obstacle === undefined) {
        healthy.push(load);
      }
      if (obstacle === undefined || AVOIDED.has(obstacle)) {
        eligible.push(load);
      }
    }
    const candidates = healthy.length === 0 ? eligible : healthy;
    return placePrompt(request.profile, this.requirementsOf(request), candidates, randomLoss);
  }

  /** Time until `ahead` waiting prompts and this one get capacity. */
  private _capacityWaitMs(request: PromptRequest, ahead: number): number {
    const loads = this.loadsOf(request);
    const active = loads.flatMap(({ primaryRequests }) => primaryRequests);
    const freeSlots = loads.reduce(
      (sum, { entry, primaryRequests }) => sum + Math.max(0, entry.slots - primaryRequests.length),
      0,
    );
    return capacityWaitMs(active, ahead, freeSlots, this._options.clock.now());
  }
}

function idsOf(targets: readonly TargetEntry[]): readonly string[] {
  return targets.map(({ id }) => id);
}
