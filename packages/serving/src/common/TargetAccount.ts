/**
 * The owner's account of an engine: its reservations, the memory they take and the prefill that is
 * queued ahead of a new request. The owner alone grants reservations, so that the nodes don't all
 * send requests to the same engine on the basis of one stale load report.
 */
import type { Clock } from '@tanagerdyke/kernel';
import {
  EnginePriority,
  type HeldItem,
  LengthClass,
  type LoadReport,
} from '@tanagerdyke/contracts';
import type { Target } from '@tanagerdyke/configuration';
import { PRIORITY_OF_CLASS } from './LengthClasses.js';
import type { CapacityHint, ReserveRequest, ReserveResponse } from './Messages.js';
import { PrefixIndex } from './PrefixIndex.js';

const MS_PER_SECOND = 1_000;
const PRIORITIES = [EnginePriority.Interactive, EnginePriority.Normal, EnginePriority.Batch];
/**
 * Longest prefill backlog at which a new request is still granted. Further requests wait in the
 * queues of the entry nodes, which are fair between workspaces; the queue of an engine is not.
 */
const MAX_PREFILL_BACKLOG_MS: Record<LengthClass, number> = {
  [LengthClass.Short]: 150,
  [LengthClass.Medium]: 1_000,
  [LengthClass.Long]: 10_000,
  [LengthClass.Gang]: 30_000,
};
/** Shortest retry time given to a refused request. */
const MIN_RETRY_AFTER_MS = 50;
/** Time after its deadline at which a reservation is removed even if it was never released. */
const RESERVATION_GRACE_MS = 5_000;
/** Share of the memory that may be granted before the engine's first report. */
const UNREPORTED_MEMORY_SHARE = 0.5;

/** Time for which memory is set aside for a gang share after its last refused request. */
const GANG_SHARE_WAIT_MS = 1_000;

/** A reservation or held item, with the entry-node process that it belongs to. */
export interface ReservedItem {
  readonly id: string;
  readonly node: string;
  /** Start of the node's process, in milliseconds of wall time; a restart increases it. */
  readonly incarnation: number;
}

interface Reservation extends ReservedItem {
  readonly memoryTokens: number;
  readonly prefillTokens: number;
  readonly priority: EnginePriority;
  readonly expiresAt: number;
  isPrefillDone: boolean;
}

/** Grants and tracks the reservations of one engine. */
export class TargetAccount {
  /** Estimated content of the engine's prefix cache. */
  public readonly prefixes = new PrefixIndex();
  private readonly _reservations = new Map<string, Reservation>();
  /** Memory set aside for a refused gang share, and the time until which it is. */
  private _pendingGangShare = { tokens: 0, until: 0 };
  private _engineIncarnation: string | undefined;
  private _versions: readonly string[] | undefined;

  constructor(
    private readonly _clock: Clock,
    private _target: Target,
  ) {}

  /** Replaces the configuration object of the target. */
  public update(target: Target): void {
    this._target = target;
  }

  /** Name of the engine. */
  public get target(): string {
    return this._target.name;
  }

  public get items(): readonly ReservedItem[] {
    return [...this._reservations.values()];
  }

  public get usedTokens(): number {
    let used = 0;
    for (const reservation of this._reservations.values()) {
      used += reservation.memoryTokens;
    }
    return used;
  }

  /** Grants or refuses a reservation; a repeated id is granted again without a second charge. */
  public reserve(request: ReserveRequest): ReserveResponse {
    this._removeExpired();
    const priority = PRIORITY_OF_CLASS[request.lengthClass];
    const cachedTokens = this.prefixes.match(request.prefixes);
    const prefillTokens = Math.max(1, request.prefillTokens - cachedTokens);
    const backlogMs = this._prefillMs(this._backlogTokens(priority));
    const estimateMs = backlogMs + this._prefillMs(prefillTokens);
    if (this._reservations.has(request.id)) {
      return this._buildResponse(true, estimateMs);
    }
    const decodeMs = (request.outputTokens / this._target.decodeTokensPerSecond) * MS_PER_SECOND;
    const hasVersion = this._versions?.includes(request.version) ?? true;
    const meetsDeadline = estimateMs + decodeMs <= request.remainingMs;
    const fitsMemory = this._fitsMemory(request);
    const isWithinBacklog = backlogMs <= MAX_PREFILL_BACKLOG_MS[request.lengthClass];
    if (!meetsDeadline || !fitsMemory || !hasVersion || !isWithinBacklog) {
      if (meetsDeadline && hasVersion && !fitsMemory) {
        this._recordGangShare(request);
      }
      return { ...this._buildResponse(false, estimateMs), hasVersion };
    }
    this._reservations.set(request.id, {
      id: request.id,
      node: request.node,
      incarnation: request.incarnation,
      memoryTokens: request.memoryTokens,
      prefillTokens,
      priority,
      expiresAt: this._clock.now() + request.remainingMs + RESERVATION_GRACE_MS,
      isPrefillDone: false,
    });
    this.prefixes.addExpected(request.prefixes);
    return this._buildResponse(true, estimateMs);
  }

  /** Marks the prefill of a reservation as done, so that it no longer counts as backlog. */
  public markStarted(id: string): void {
    const reservation = this._reservations.get(id);
    if (reservation !== undefined) {
      reservation.isPrefillDone = true;
    }
  }

  public releaseAll(ids: readonly string[]): void {
    for (const id of ids) {
      this._reservations.delete(id);
    }
  }

  /**
   * Applies a report of the engine: charges held items that this owner has no record of, and stops
   * charging streams that the engine lost in a restart.
   */
  public applyEngineReport(report: LoadReport, held: readonly HeldItem[]): void {
    const { incarnation } = report;
    this._versions = report.versions;
    const hasRestarted =
      this._engineIncarnation !== undefined && this._engineIncarnation !== incarnation;
    this._engineIncarnation = incarnation;
    if (hasRestarted) {
      this.prefixes.clear();
      this._removePrefilledExcept(new Set(held.map(({ id }) => id)));
    }
    for (const item of held) {
      this._addHeldItem(item);
    }
  }

  public get hint(): CapacityHint {
    return {
      freeTokens: this._grantableTokens - this.usedTokens,
      backlogMs: PRIORITIES.map((priority) => this._prefillMs(this._backlogTokens(priority))),
      running: this._reservations.size,
    };
  }

  private get _grantableTokens(): number {
    const { memoryTokens } = this._target;
    return this._engineIncarnation === undefined
      ? memoryTokens * UNREPORTED_MEMORY_SHARE
      : memoryTokens;
  }

  /** Whether the request fits in the memory that is not set aside for a gang share. */
  private _fitsMemory({ lengthClass, memoryTokens }: ReserveRequest): boolean {
    const { tokens, until } = this._pendingGangShare;
    const isSharePending = lengthClass !== LengthClass.Gang && this._clock.now() < until;
    const setAsideTokens = isSharePending ? tokens : 0;
    return this.usedTokens + memoryTokens + setAsideTokens <= this._grantableTokens;
  }

  /**
   * Sets memory aside for a refused gang share. Single prompts end one at a time, so without this
   * the next single prompt would always take the freed memory and starve the gang.
   */
  private _recordGangShare({ lengthClass, memoryTokens }: ReserveRequest): void {
    if (lengthClass === LengthClass.Gang) {
      this._pendingGangShare = {
        tokens: memoryTokens,
        until: this._clock.now() + GANG_SHARE_WAIT_MS,
      };
    }
  }

  private _addHeldItem(item: HeldItem): void {
    if (this._reservations.has(item.id)) {
      return;
    }
    this._reservations.set(item.id, {
      id: item.id,
      node: item.node,
      incarnation: item.incarnation,
      memoryTokens: item.tokens,
      prefillTokens: 0,
      priority: EnginePriority.Interactive,
      expiresAt: this._clock.now() + item.expiresInMs,
      isPrefillDone: true,
    });
  }

  private _removePrefilledExcept(held: ReadonlySet<string>): void {
    for (const { id, isPrefillDone } of this._reservations.values()) {
      if (isPrefillDone && !held.has(id)) {
        this._reservations.delete(id);
      }
    }
  }

  private _buildResponse(isGranted: boolean, estimateMs: number): ReserveResponse {
    const { hint } = this;
    const [interactiveBacklogMs = 0] = hint.backlogMs;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, interactiveBacklogMs / 2);
    return { isGranted, hasVersion: true, isLeaving: false, estimateMs, retryAfterMs, hint };
  }

  /** Prefill tokens that the engine processes before a new request of `priority`. */
  private _backlogTokens(priority: EnginePriority): number {
    let tokens = 0;
    for (const reservation of this._reservations.values()) {
      if (!reservation.isPrefillDone && reservation.priority <= priority) {
        tokens += reservation.prefillTokens;
      }
    }
    return tokens;
  }

  private _prefillMs(tokens: number): number {
    return (tokens / this._target.prefillTokensPerSecond) * MS_PER_SECOND;
  }

  private _removeExpired(): void {
    const now = this._clock.now();
    for (const reservation of this._reservations.values()) {
      if (reservation.expiresAt < now) {
        this._reservations.delete(reservation.id);
      }
    }
  }
}
