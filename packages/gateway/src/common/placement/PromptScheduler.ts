/**
 * Places the prompts that enter at this node: asks the coordinator of a cell of engines, or decides
 * itself if it is the coordinator or if none responds. Reports the placed prompts as active
 * requests.
 */
import type { Clock, RandomSource } from '@tanagerdyke/kernel';
import type { Member } from '@tanagerdyke/mesh';
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { type ActiveRequest, toGenerating } from './ActiveRequestTable.js';
import { type AllowedRegions, filterCandidates } from './AllowedRegions.js';
import { chooseCells } from './CellChoice.js';
import { cellsOf, type EngineCell, isInCell } from './EngineCells.js';
import { type EngineScheduler, requestKey, toActiveRequest } from './EngineScheduler.js';
import { AccountState, type TargetSource } from './EngineSelection.js';
import { evacuationRetryMs } from './EvacuatedTargets.js';
import { MAX_LISTED_ENGINES } from './PlacementCodec.js';
import type { CoordinatorAnswer } from './PlacementClient.js';
import {
  type ExpectedAnswer,
  PlacementRefusal,
  type PromptRequest,
  RefusedPrompt,
  UnusableChoice,
} from './PlacementDecision.js';
import { ExplainedOutcome, type PlacementExplanation } from './PlacementExplanation.js';
import type { PromptPlacement } from './PromptPlacer.js';
import type { RateLimits } from './RateLimits.js';
import type { TargetPauses } from './TargetPauses.js';
import type { TargetHealth } from './TargetHealth.js';

/** Request ids are numbers, written in a large base to be short. */
const ID_RADIX = 36;
/**
 * Range of the random part of the ids of a process. A coordinator answers an id that it decided a
 * moment ago with the same decision, so a process that restarts must not use the same ids again.
 */
const PROCESS_RANGE = ID_RADIX ** 4;
/** Retry time while no engine that accepts requests is in an allowed region. */
const NO_ENGINE_RETRY_MS = 1_500;
/** Times that a coordinator is asked again because it chose an engine that can't be used. */
const MAX_UNUSABLE_CHOICES = 2;

/** Records the requests of this node and reports them to the coordinators. */
export interface ActiveRequestPublisher {
  /** Publishes a request that started. */
  publish(request: ActiveRequest): void;
  /** Publishes that a request began to generate. */
  markGenerating(request: ActiveRequest): void;
  /** Publishes that a request ended. */
  remove(id: string): void;
}

/** A prompt as the forwarder hands it over. */
export interface PromptToPlace {
  readonly service: string;
  readonly profile: EngineProfile;
  readonly promptTokens: number;
  /** The most output tokens; memory is reserved for them. */
  readonly outputTokens: number;
  /** What the answer is expected to take; undefined while nothing is learned. */
  readonly expected?: ExpectedAnswer | undefined;
  readonly latencyTargetMs: number;
  readonly pauseTargetMs: number;
  /** When the first event is due, on the clock of this node. */
  readonly dueAt: number;
  /** The deadline of the caller, on the same clock. */
  readonly deadlineAt: number;
  /** Name of the caller's workspace; empty when it has none. */
  readonly workspace: string;
  /** Whether the caller was refused before. */
  readonly isReturning: boolean;
  /** Ids of engines that failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Regions whose engines may get the prompt; all without. */
  readonly allowedRegions?: AllowedRegions;
}

/** A placed prompt, which counts as an active request until `end` is called. */
export interface PlacedPrompt extends PromptPlacement {
  /** Name of the node that decided. */
  readonly decidedBy: string;
  /** Identifies the prompt among the requests that count for the rates of its engines. */
  readonly rateKey: string;
  /** Records that the first event was received. */
  markGenerating(): void;
  end(): void;
}

/** The coordinators of cells, the one to ask first in front. */
export interface CoordinatorSource {
  coordinatorsOf(cell: EngineCell): readonly Pick<Member, 'name' | 'peerAddress'>[];
}

/** Asks coordinators; see `PlacementClient`. */
export interface CoordinatorClient {
  shouldAsk(coordinator: Pick<Member, 'peerAddress'>): boolean;
  ask(
    coordinator: Pick<Member, 'peerAddress'>,
    request: PromptRequest,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<CoordinatorAnswer | undefined>;
}

/** Dependencies of the prompt scheduler. */
export interface PromptSchedulerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly targets: TargetSource;
  readonly health: TargetHealth;
  readonly rateLimits: RateLimits;
  readonly pauses: TargetPauses;
  readonly scheduler: EngineScheduler;
  readonly publisher: ActiveRequestPublisher;
  readonly cells: CoordinatorSource;
  /** Whether other nodes ask this one if it is a coordinator; not while it has not joined them. */
  readonly isCoordinated: () => boolean;
  /** Called with the cell of each placed prompt, before it is published. */
  readonly onPlaced: (cell: EngineCell) => void;
  readonly client: CoordinatorClient;
  /** Name and zone of this node. */
  readonly node: string;
  readonly availabilityZone: string;
  /** Region of each availability zone. */
  readonly regionByZone: ReadonlyMap<string, string>;
}

/** The decision on a prompt in one cell, by the account of this node. */
export interface CellExplanation extends PlacementExplanation {
  /** Undefined if the cell has the engines of all zones. */
  readonly availabilityZone: string | undefined;
  /** Name of the node that decides; undefined if no node is ready to. */
  readonly coordinator: string | undefined;
  /** Whether this node has a record of all requests of the cell. */
  readonly account: AccountState;
}

/** Where a prompt would be placed. */
export interface PromptExplanation {
  /** Time for which all engines want nothing from this node; the prompt is then refused. */
  readonly pausedMs: number;
  /** The cells that would be asked, up to the one that does not refuse the prompt. */
  readonly cells: readonly CellExplanation[];
}

/** Id of a prompt that is explained, which no placed prompt has. */
const EXPLAINED_ID = 'explained';
/** The choice among other cells that an explanation shows. */
const FIRST: Pick<RandomSource, 'integer'> = { integer: () => 0 };

/** A decision, with the request as it was decided. */
interface Decided {
  readonly decision: PromptPlacement | RefusedPrompt;
  readonly request: PromptRequest;
  readonly by: string;
}

/** Schedules the prompts that enter at this node. */
export class PromptScheduler {
  private readonly _process: string;
  private _count = 0;

  constructor(private readonly _options: PromptSchedulerOptions) {
    this._process = _options.random.integer(PROCESS_RANGE).toString(ID_RADIX);
  }

  /** Places a prompt, waiting for capacity until `waitUntil` at most. */
  public async place(
    prompt: PromptToPlace,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<PlacedPrompt | RefusedPrompt> {
    const { availabilityZone, pauses, random, targets } = this._options;
    const all = targets.acceptingTargets(prompt.service);
    const evacuated = targets.evacuatedTargets(prompt.service);
    const engines = this._allowedOf(all, prompt);
    const evacuationMs = evacuationRetryMs(engines, this._allowedOf(evacuated, prompt), random);
    if (evacuationMs !== undefined) {
      return new RefusedPrompt(PlacementRefusal.Evacuated, 0, evacuationMs);
    }
    if (engines.length === 0 && all.length > 0) {
      return new RefusedPrompt(PlacementRefusal.NoEngine, 0, NO_ENGINE_RETRY_MS);
    }
    const retryAfterMs = pauses.retryAfterMs(engines.map(({ id }) => id));
    if (retryAfterMs !== undefined) {
      return new RefusedPrompt(PlacementRefusal.Paused, engines.length, retryAfterMs);
    }
    const usable = this._usableCells(prompt.service, engines);
    const failed = all.filter(({ id }) => prompt.excluded.has(id));
    const failedZones = new Set(failed.map((engine) => engine.availabilityZone));
    const cells = chooseCells(usable, availabilityZone, random, failedZones);
    let refused = new RefusedPrompt(PlacementRefusal.NoEngine, 0, 0);
    for (const cell of cells) {
      const forbidden = this._forbiddenOf(prompt, cell);
      const request = this._toRequest(prompt, cell, forbidden);
      // A request to a coordinator lists so many engines only; it would choose other forbidden ones.
      const decided =
        forbidden.length > MAX_LISTED_ENGINES
          ? await this._decideHere(request, waitUntil, signal, AccountState.Partial)
          : await this._decide(request, waitUntil, signal);
      const decision = this._withoutForbidden(decided, prompt);
      if (!(decision instanceof RefusedPrompt)) {
        return this._publish(decided.request, decision, decided.by);
      }
      refused = decision;
      if (decision.refusal === PlacementRefusal.CallerDisconnected) {
        break;
      }
    }
    return refused;
  }

  /** The cells of a service in which a prompt may use engines, or all if there are none. */
  private _usableCells(service: string, engines: readonly TargetEntry[]): readonly EngineCell[] {
    const { targets } = this._options;
    // An evacuation must not divide the engines anew: the coordinators of other cells have no account.
    const divided = [...targets.acceptingTargets(service), ...targets.evacuatedTargets(service)];
    const cells = cellsOf(service, divided);
    const usable = cells.filter((cell) => engines.some((engine) => isInCell(cell, engine)));
    return usable.length > 0 ? usable : cells;
  }

  /**
   * Explains where a prompt would be placed, by the account of this node. Nothing is placed, reserved,
   * counted or queued, and no other node is asked.
   */
  public explain(prompt: PromptToPlace, waitUntil: number): PromptExplanation {
    const { availabilityZone, cells, isCoordinated, node, pauses, scheduler, targets } =
      this._options;
    const engines = this._allowedOf(targets.acceptingTargets(prompt.service), prompt);
    const pausedMs = pauses.remainingMs(engines.map(({ id }) => id));
    const explained: CellExplanation[] = [];
    const usable = this._usableCells(prompt.service, engines);
    for (const cell of chooseCells(usable, availabilityZone, FIRST)) {
      const [coordinator] = cells.coordinatorsOf(cell);
      const isDecidedHere = coordinator?.name === node && isCoordinated();
      const account = isDecidedHere ? AccountState.Complete : AccountState.Partial;
      const forbidden = this._forbiddenOf(prompt, cell);
      const request = this._toRequest(prompt, cell, forbidden, EXPLAINED_ID);
      const explanation = scheduler.explain(request, waitUntil, account);
      explained.push({
        availabilityZone: cell.availabilityZone,
        coordinator: coordinator?.name,
        account,
        ...explanation,
      });
      if (explanation.outcome !== ExplainedOutcome.Refused) {
        break;
      }
    }
    return { pausedMs: Math.round(pausedMs), cells: explained };
  }

  private _allowedOf(
    engines: readonly TargetEntry[],
    { allowedRegions }: PromptToPlace,
  ): readonly TargetEntry[] {
    return filterCandidates(engines, allowedRegions, this._options.regionByZone);
  }

  /** Refuses a placement on an engine that is forbidden, and began to accept requests meanwhile. */
  private _withoutForbidden(
    { decision, request }: Decided,
    prompt: PromptToPlace,
  ): PromptPlacement | RefusedPrompt {
    if (decision instanceof RefusedPrompt) {
      return decision;
    }
    const { targets } = decision;
    if (this._allowedOf(targets, prompt).length === targets.length) {
      return decision;
    }
    this._options.publisher.remove(request.id);
    return new RefusedPrompt(PlacementRefusal.NoEngine, 0, NO_ENGINE_RETRY_MS);
  }

  /** Ids of the engines of a cell that are in no allowed region. */
  private _forbiddenOf(prompt: PromptToPlace, cell: EngineCell): readonly string[] {
    if (prompt.allowedRegions === undefined) {
      return [];
    }
    const engines = this._options.targets.acceptingTargets(cell.service);
    const allowed = new Set(this._allowedOf(engines, prompt));
    return engines
      .filter((engine) => isInCell(cell, engine) && !allowed.has(engine))
      .map(({ id }) => id);
  }

  private _toRequest(
    prompt: PromptToPlace,
    cell: EngineCell,
    forbidden: readonly string[],
    id = this._nextId(),
  ): PromptRequest {
    const { availabilityZone, health, node, pauses, targets } = this._options;
    const suspects = targets
      .acceptingTargets(cell.service)
      .filter((engine) => health.isSuspect(engine.id))
      .map((engine) => engine.id);
    return {
      ...prompt,
      id,
      node,
      availabilityZone,
      cell,
      // The decision is that of a coordinator, which has no record of this node's pauses.
      // The forbidden engines come first, as a request to a coordinator lists so many only.
      excluded: new Set([...forbidden, ...prompt.excluded, ...pauses.pausedIds]),
      suspects: new Set(suspects),
    };
  }

  private async _decide(
    request: PromptRequest,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<Decided> {
    const { cells, client, isCoordinated, node } = this._options;
    for (const coordinator of cells.coordinatorsOf(request.cell)) {
      if (coordinator.name === node) {
        const account = isCoordinated() ? AccountState.Complete : AccountState.Partial;
        return this._decideHere(request, waitUntil, signal, account);
      }
      if (signal.aborted) {
        break;
      }
      if (client.shouldAsk(coordinator)) {
        const decided = await this._askCoordinator(coordinator, request, waitUntil, signal);
        if (decided !== undefined) {
          return decided;
        }
      }
    }
    return this._decideHere(request, waitUntil, signal, AccountState.Partial);
  }

  private async _decideHere(
    request: PromptRequest,
    waitUntil: number,
    signal: AbortSignal,
    account: AccountState,
  ): Promise<Decided> {
    const { node, rateLimits, scheduler } = this._options;
    const decision = await scheduler.decide(request, waitUntil, signal, account);
    if (!(decision instanceof RefusedPrompt)) {
      // The scheduler has counted the request; this reports it.
      rateLimits.admit(
        decision.targets.map(({ id }) => id),
        requestKey(request),
      );
    }
    return { decision, request, by: node };
  }

  /** Asks again without the engines that this node can't use, if the coordinator chose some. */
  private async _askCoordinator(
    coordinator: Pick<Member, 'name' | 'peerAddress'>,
    original: PromptRequest,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<Decided | undefined> {
    const { client, publisher } = this._options;
    let request = original;
    for (let choices = 0; choices <= MAX_UNUSABLE_CHOICES; choices++) {
      const asked = await client.ask(coordinator, request, waitUntil, signal);
      const answer = this._withoutLimited(request, asked);
      if (answer === undefined) {
        return undefined;
      }
      if (!(answer instanceof UnusableChoice)) {
        return { decision: answer, request, by: coordinator.name };
      }
      publisher.remove(request.id);
      const excluded = new Set([...request.excluded, ...answer.engines]);
      request = { ...request, id: this._nextId(), excluded };
    }
    return undefined;
  }

  /**
   * Admits a placement. Makes it unusable if an engine may not get a request now, by limits that the
   * coordinator has no record of.
   */
  private _withoutLimited(
    request: PromptRequest,
    answer: CoordinatorAnswer | undefined,
  ): CoordinatorAnswer | undefined {
    if (
      answer === undefined ||
      answer instanceof RefusedPrompt ||
      answer instanceof UnusableChoice
    ) {
      return answer;
    }
    const { rateLimits } = this._options;
    const ids = answer.targets.map(({ id }) => id);
    return rateLimits.admit(ids, requestKey(request))
      ? answer
      : new UnusableChoice(ids.filter((id) => !rateLimits.permits(id)));
  }

  private _nextId(): string {
    return `${this._process}.${(this._count++).toString(ID_RADIX)}`;
  }

  private _publish(
    request: PromptRequest,
    placement: PromptPlacement,
    decidedBy: string,
  ): PlacedPrompt {
    const { clock, onPlaced, publisher } = this._options;
    onPlaced(request.cell);
    let activeRequest = toActiveRequest(request, placement, clock.now());
    publisher.publish(activeRequest);
    let isEnded = false;
    return {
      ...placement,
      decidedBy,
      rateKey: requestKey(request),
      markGenerating: () => {
        if (!activeRequest.isGenerating && !isEnded) {
          activeRequest = toGenerating(activeRequest);
          publisher.markGenerating(activeRequest);
        }
      },
      end: () => {
        if (!isEnded) {
          isEnded = true;
          publisher.remove(activeRequest.id);
        }
      },
    };
  }
}
