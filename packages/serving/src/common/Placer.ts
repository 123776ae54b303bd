/**
 * Places requests: ranks the engines of a version by the route's policy, requests reservations from
 * their owners, and reserves a gang of engines for a prompt that exceeds the memory of every single
 * one. No engine runs a request before its placement is complete, so every refusal from this module
 * can truthfully state that the request did not run.
 */
import {
  type Clock,
  DisposableOwner,
  type RandomSource,
  runInBackground,
  type ServiceError,
} from '@tanagerdyke/kernel';
import { type Engine, HeldKind, LengthClass } from '@tanagerdyke/contracts';
import type { HostedTarget } from '@tanagerdyke/configuration';
import type { Membership } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { AdmissionQueue } from './AdmissionQueue.js';
import type { AttemptRegistry } from './AttemptRegistry.js';
import { EngineRanking, idleRunTimeMs } from './EngineRanking.js';
import { classifyLength } from './LengthClasses.js';
import { LengthSplit } from './LengthSplit.js';
import type { PromptPrefix, ReserveResponse } from './Messages.js';
import { DEFAULT_RETRY_AFTER_MS, noTarget, overloaded } from './PlacementErrors.js';
import { prefixesOf } from './PromptPrefixes.js';
import type {
  Candidate,
  CompletionRequest,
  PolicyRegistry,
  Reservations,
} from './services/Services.js';
import type { TargetDirectory } from './TargetDirectory.js';

/**
 * Estimate, relative to the prefill time of an idle engine, up to which no second owner is asked.
 */
const ACCEPTABLE_ESTIMATE_FACTOR = 1.3;
/** Added to the product, because for short prompts the factor alone allows almost no wait. */
const ACCEPTABLE_ESTIMATE_SLACK_MS = 20;
const MS_PER_SECOND = 1_000;
/** Requests to an engine to free an attempt before this is left to the owner's reconciliation. */
const FREE_ATTEMPTS = 4;
const FREE_RETRY_MS = 500;
/** Time after the deadline of a request at which the engine frees its memory by itself. */
export const EXPIRY_GRACE_MS = 2_000;

/** Dependencies of `Placer`. */
export interface PlacerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: TargetDirectory;
  readonly reservations: Reservations;
  readonly attempts: AttemptRegistry;
  readonly policies: PolicyRegistry;
  readonly membership: Membership;
}

/** The engines reserved for one attempt: a single one, or a gang of a leader and its followers. */
export interface Placement {
  readonly attemptId: string;
  readonly leader: HostedTarget;
  readonly followers: readonly HostedTarget[];
  readonly lengthClass: LengthClass;
  readonly version: string;
}

/** A request, its requirements and the ranked engines for one try to place it. */
interface PlacementTask {
  readonly request: CompletionRequest;
  readonly version: string;
  readonly candidates: readonly Candidate[];
  readonly memoryTokens: number;
  readonly lengthClass: LengthClass;
  readonly prefixes: readonly PromptPrefix[];
}

/** Reserves engines for the requests of one entry node. */
export class Placer extends DisposableOwner {
  private readonly _queue: AdmissionQueue<Placement>;
  private readonly _split: LengthSplit;
  private readonly _ranking: EngineRanking;

  constructor(private readonly _options: PlacerOptions) {
    super();
    this._queue = this.register(new AdmissionQueue<Placement>(_options.clock));
    this._split = new LengthSplit(_options.clock);
    this._ranking = new EngineRanking({ ..._options, split: this._split });
  }

  /** Number of queued requests of a length class. */
  public queueLength(lengthClass: LengthClass): number {
    return this._queue.queueLength(lengthClass);
  }

  /** Reserves engines, immediately or after queueing; avoids `failedTargets` while others exist. */
  public place(
    request: CompletionRequest,
    failedTargets: ReadonlySet<string>,
    signal: AbortSignal,
  ): Promise<Result<Placement, ServiceError>> {
    const draw = this._options.random.next();
    const engines = this._ranking.enginesOf(
      this._ranking.chooseVersion(request.route, draw),
      failedTargets,
    );
    if (engines.length === 0) {
      return Promise.resolve(Result.err(noTarget(request.route.name)));
    }
    const lengthClass = lengthClassOf(request, engines);
    this._split.recordRequest(lengthClass, request.promptTokens);
    return this._queue.admit({
      lengthClass,
      workspace: request.workspace.name,
      weight: request.workspace.weight,
      tokens: request.promptTokens,
      deadline: request.deadline,
      runMs: idleRunTimeMs(request, engines),
      signal,
      tryPlace: () =>
        this._tryPlace(request, this._ranking.chooseVersion(request.route, draw), failedTargets),
      releaseLate: (placement) => {
        runInBackground('placement.release', () => this.release(placement));
      },
    });
  }

  /** Frees the memory of a placement on its engines and releases its reservations. */
  public async release(placement: Placement): Promise<void> {
    const { attempts, directory, reservations } = this._options;
    const { attemptId } = placement;
    const members = [placement.leader, ...placement.followers];
    await Promise.all(
      members.map(async (hostedTarget) => {
        attempts.delete(hostedTarget.target.name, attemptId);
        const engine = directory.engine(hostedTarget.target);
        if (engine.isOk) {
          await this._freeUntilConfirmed(engine.value, attemptId);
        }
        await reservations.release(hostedTarget, attemptId);
      }),
    );
  }

  /** Retries a few times; the owner's reconciliation frees what is still held after that. */
  private async _freeUntilConfirmed(engine: Engine, attemptId: string): Promise<void> {
    for (let attemptIndex = 0; attemptIndex < FREE_ATTEMPTS; attemptIndex++) {
      const freed = await engine.free([attemptId]);
      if (freed.isOk) {
        return;
      }
      await this._options.clock.sleep(FREE_RETRY_MS);
    }
  }

  private _tryPlace(
    request: CompletionRequest,
    version: string,
    failedTargets: ReadonlySet<string>,
  ): Promise<Result<Placement, ServiceError>> {
    const engines = this._ranking.enginesOf(version, failedTargets);
    if (engines.length === 0) {
      return Promise.resolve(Result.err(noTarget(request.route.name)));
    }
    const memoryTokens = request.promptTokens + request.maxTokens;
    const lengthClass = lengthClassOf(request, engines);
    const prefixes = prefixesOf(request.prompt);
    const requirements = { request, version, memoryTokens, lengthClass, prefixes };
    const task = { ...requirements, candidates: this._ranking.rank(requirements, engines) };
    return lengthClass === LengthClass.Gang ? this._placeGang(task) : this._placeSingle(task);
  }

  /** Tries the first candidate, and a second one if it refuses or its estimate is too long. */
  private async _placeSingle(task: PlacementTask): Promise<Result<Placement, ServiceError>> {
    const [first, second] = task.candidates;
    const firstOutcome = await this._reserveOn(task, first);
    const isAcceptable =
      firstOutcome.grant !== undefined &&
      firstOutcome.estimateMs <= this._acceptableEstimateMs(task, first);
    if (isAcceptable || second === undefined) {
      return toPlacement(firstOutcome);
    }
    const secondOutcome = await this._reserveOn(task, second);
    if (firstOutcome.grant === undefined || secondOutcome.grant === undefined) {
      return toPlacement(firstOutcome.grant === undefined ? secondOutcome : firstOutcome);
    }
    const [better, worse] =
      firstOutcome.estimateMs <= secondOutcome.estimateMs
        ? [firstOutcome, secondOutcome]
        : [secondOutcome, firstOutcome];
    if (worse.grant !== undefined) {
      this._releaseUnused(worse.grant);
    }
    return toPlacement(better);
  }

  private _acceptableEstimateMs(
    { request }: PlacementTask,
    candidate: Candidate | undefined,
  ): number {
    const speed = candidate?.hostedTarget.target.prefillTokensPerSecond ?? 1;
    const idleMs = (request.promptTokens / speed) * MS_PER_SECOND;
    return idleMs * ACCEPTABLE_ESTIMATE_FACTOR + ACCEPTABLE_ESTIMATE_SLACK_MS;
  }

  private async _reserveOn(
    task: PlacementTask,
    candidate: Candidate | undefined,
  ): Promise<ReserveOutcome> {
    if (candidate === undefined) {
      return { grant: undefined, estimateMs: 0, retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    const { hostedTarget } = candidate;
    const { lengthClass, version } = task;
    const attemptId = this._options.random.identifier();
    const grant = { attemptId, leader: hostedTarget, followers: [], lengthClass, version };
    const response = await this._requestReservation(
      task,
      hostedTarget,
      attemptId,
      task.memoryTokens,
    );
    if (response.isOk && response.value.isGranted) {
      return { grant, estimateMs: response.value.estimateMs, retryAfterMs: 0 };
    }
    if (response.isErr) {
      // The owner may have granted the reservation although its response was lost.
      this._releaseUnused(grant);
      return { grant: undefined, estimateMs: 0, retryAfterMs: DEFAULT_RETRY_AFTER_MS };
    }
    this._options.attempts.delete(hostedTarget.target.name, attemptId);
    const { estimateMs, retryAfterMs } = response.value;
    return { grant: undefined, estimateMs, retryAfterMs };
  }

  /** Releases a reservation of an attempt that was not sent to the engine. */
  private _releaseUnused({ attemptId, leader }: Placement): void {
    this._options.attempts.delete(leader.target.name, attemptId);
    runInBackground('placement.release', () =>
      this._options.reservations.release(leader, attemptId),
    );
  }

  /**
   * Reserves the shares of all members or none. All gangs reserve in the same order, by engine
   * name, so that two gangs can't deadlock.
   */
  private async _placeGang(task: PlacementTask): Promise<Result<Placement, ServiceError>> {
    const { lengthClass, memoryTokens, version } = task;
    const [leader, ...followers] = selectGang(task.candidates, memoryTokens);
    if (leader === undefined) {
      return Result.err(noTarget(task.request.route.name));
    }
    const shareTokens = Math.ceil(memoryTokens / (followers.length + 1));
    const attemptId = this._options.random.identifier();
    const placement = { attemptId, leader, followers, lengthClass, version };
    for (const hostedTarget of [leader, ...followers]) {
      const response = await this._requestReservation(task, hostedTarget, attemptId, shareTokens);
      const isHeld =
        response.isOk &&
        response.value.isGranted &&
        (hostedTarget === leader ||
          (await this._holdGangShare(task.request, hostedTarget, attemptId, shareTokens)));
      if (!isHeld) {
        runInBackground('placement.release', () => this.release(placement));
        return Result.err(overloaded(DEFAULT_RETRY_AFTER_MS));
      }
    }
    return Result.ok(placement);
  }

  private async _holdGangShare(
    request: CompletionRequest,
    hostedTarget: HostedTarget,
    attemptId: string,
    tokens: number,
  ): Promise<boolean> {
    const { clock, directory, membership } = this._options;
    const { name, startedAt } = membership.self;
    const engine = directory.engine(hostedTarget.target);
    if (engine.isErr) {
      return false;
    }
    const held = await engine.value.hold({
      id: attemptId,
      kind: HeldKind.GangShare,
      node: name,
      incarnation: startedAt,
      tokens,
      expiresInMs: request.deadline - clock.now() + EXPIRY_GRACE_MS,
    });
    return held.isOk;
  }

  private _requestReservation(
    task: PlacementTask,
    hostedTarget: HostedTarget,
    attemptId: string,
    memoryTokens: number,
  ): Promise<Result<ReserveResponse, ServiceError>> {
    const { request, lengthClass } = task;
    const { self } = this._options.membership;
    // Registered before the request is sent, so that the owner can't find the reservation
    // abandoned.
    this._options.attempts.add(hostedTarget.target.name, attemptId);
    return this._options.reservations.reserve(hostedTarget, {
      target: hostedTarget.target.name,
      id: attemptId,
      node: self.name,
      incarnation: self.startedAt,
      workspace: request.workspace.name,
      version: task.version,
      lengthClass,
      prefillTokens: Math.min(request.promptTokens, memoryTokens),
      prefixes: [...task.prefixes],
      outputTokens: request.maxTokens,
      memoryTokens,
      remainingMs: request.deadline - this._options.clock.now(),
    });
  }
}

/** Result of a reservation request to one owner; `grant` is undefined if it was not granted. */
interface ReserveOutcome {
  readonly grant: Placement | undefined;
  readonly estimateMs: number;
  readonly retryAfterMs: number;
}

function toPlacement({ grant, retryAfterMs }: ReserveOutcome): Result<Placement, ServiceError> {
  return grant === undefined ? Result.err(overloaded(retryAfterMs)) : Result.ok(grant);
}

function lengthClassOf(request: CompletionRequest, engines: readonly HostedTarget[]): LengthClass {
  const largestEngineTokens = Math.max(...engines.map(({ target }) => target.memoryTokens));
  return classifyLength(
    request.promptTokens,
    request.promptTokens + request.maxTokens,
    largestEngineTokens,
  );
}

/**
 * The fewest top-ranked candidates that hold `memoryTokens` in equal shares, or all candidates if
 * those don't suffice. Sorted by name, which is the order in which all gangs reserve.
 */
function selectGang(
  candidates: readonly Candidate[],
  memoryTokens: number,
): readonly HostedTarget[] {
  const members: HostedTarget[] = [];
  for (const { hostedTarget } of candidates) {
    members.push(hostedTarget);
    const smallestTokens = Math.min(...members.map(({ target }) => target.memoryTokens));
    if (smallestTokens * members.length >= memoryTokens) {
      break;
    }
  }
  return members.sort((a, b) => (a.target.name < b.target.name ? -1 : 1));
}
