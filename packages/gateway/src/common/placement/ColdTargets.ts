/**
 * Keeps which targets are cold, that is slow for some seconds after their start, and the request rate
 * that they tolerate. Load pattern: a zone returns, and all its targets are cold and empty. A target is
 * cold from the first record of its instance, while a record or an answer says so, and for a while
 * after its zone returns; the latest end counts. It is warm when that time is over.
 */
import { type Clock, DisposableOwner, Emitter, type Metrics } from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry, TargetService, WarmUp } from '../Messages.js';
import type { ReadEntry, TargetInstance } from '../state/TargetTable.js';

/** No target takes an hour to warm up, so a longer time is a mistake of the target. */
const MAX_COLD_MS = 3_600_000;
/** A statement is reported to other nodes if it extends the recorded cold time by more than this. */
const NEWS_MS = 300;
/** A statement is reported again after this time while answers repeat it. */
const STATEMENT_REPEAT_MS = 1_000;
/** When there are more instances, the oldest one is discarded. */
const MAX_INSTANCES = 10_000;
/** A record may have been written before the zone returned, so the second one after that counts. */
const RECORDS_AFTER_RETURN = 2;

/** A target states for how much longer it is cold. */
export interface ColdStatement extends TargetInstance {
  readonly leftMs: number;
}

/** The request rate of a cold target. */
export interface ColdLimit {
  readonly requestsPerSecond: number;
  /** Whether coordinators count the requests, so that nodes need not report them to all others. */
  readonly isCoordinated: boolean;
}

export interface ColdTargetsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly findTarget: (id: string) => TargetEntry | undefined;
  readonly findService: (name: string) => TargetService | undefined;
}

interface InstanceRecord {
  readonly startedAt: number | undefined;
  /** When this node read its first record; `undefined` if that was at the start of the node. */
  readonly firstReadAt: number | undefined;
  /** End of the cold time by the newest record. */
  recordEndsAt: number;
  /** Latest end of the cold time by answers, of this node or of others. */
  answerEndsAt: number;
  /** When its zone returned. */
  returnedAt: number | undefined;
  recordsSinceReturn: number;
  reportedAt: number | undefined;
  hasLoggedExcess: boolean;
}

/** Holds the cold times of all instances of targets. */
export class ColdTargets extends DisposableOwner {
  private readonly _instances = new Map<string, InstanceRecord>();
  /** Ids of the targets that were cold when that was last determined. */
  private readonly _cold = new Set<string>();
  private readonly _onStatement = this.register(new Emitter<ColdStatement>());
  /** Fires with what a target stated to this node and others may not know. */
  public readonly onStatement = this._onStatement.event;

  constructor(private readonly _options: ColdTargetsOptions) {
    super();
    _options.metrics.gauge('tanager_targets_cold', () => this._countCold());
  }

  /** Applies an entry of a target as it was read. */
  public applyEntry({ entry, isInitial }: ReadEntry): void {
    const { coldMs, id, startedAt } = entry;
    const now = this._options.clock.now();
    let instance = this._instances.get(id);
    if (instance === undefined || instance.startedAt !== startedAt) {
      instance = this._add(id, startedAt, isInitial ? undefined : now);
    }
    if (this._isCredible(id, instance, coldMs)) {
      instance.recordEndsAt = now + coldMs;
      instance.recordsSinceReturn++;
    }
    this._findLimit(id);
  }

  /** Records what an answer to this node states. */
  public recordAnswer({ id, startedAt }: TargetInstance, leftMs: number): void {
    const instance = this._find(id, startedAt);
    if (instance === undefined || leftMs === 0 || !this._isCredible(id, instance, leftMs)) {
      return;
    }
    const now = this._options.clock.now();
    const isNews = now + leftMs > this._endsAt(id, instance) + NEWS_MS;
    const { reportedAt } = instance;
    this.applyStatement({ id, startedAt, leftMs });
    if (isNews || (reportedAt !== undefined && now - reportedAt >= STATEMENT_REPEAT_MS)) {
      instance.reportedAt = now;
      this._onStatement.fire({ id, startedAt, leftMs });
    }
  }

  /** Applies what a target stated to any node. */
  public applyStatement({ id, leftMs, startedAt }: ColdStatement): void {
    const instance = this._find(id, startedAt);
    if (instance !== undefined && this._isCredible(id, instance, leftMs)) {
      instance.answerEndsAt = Math.max(instance.answerEndsAt, this._options.clock.now() + leftMs);
      this._findLimit(id);
    }
  }

  /**
   * Records that targets may get requests again after a time without any. They may have become cold
   * meanwhile, and their records say so only later.
   */
  public recordReturn(ids: readonly string[]): void {
    for (const id of ids) {
      const instance = this._instances.get(id);
      if (instance !== undefined) {
        instance.returnedAt = this._options.clock.now();
        instance.recordsSinceReturn = 0;
        this._findLimit(id);
      }
    }
  }

  /** Discards a target that is gone, unless its start time would identify it if it came back. */
  public remove({ id, startedAt }: TargetInstance): void {
    if (startedAt === undefined) {
      this._instances.delete(id);
    }
  }

  /** The limit of a target that is cold; `undefined` when it is warm. */
  public find(id: string): ColdLimit | undefined {
    return this._findLimit(id);
  }

  /** Whether any target is cold. */
  public get hasCold(): boolean {
    return this._countCold() > 0;
  }

  private _countCold(): number {
    return [...this._cold].filter((id) => this._findLimit(id) !== undefined).length;
  }

  private _add(
    id: string,
    startedAt: number | undefined,
    firstReadAt: number | undefined,
  ): InstanceRecord {
    const instance = {
      startedAt,
      firstReadAt,
      recordEndsAt: Number.NEGATIVE_INFINITY,
      answerEndsAt: Number.NEGATIVE_INFINITY,
      returnedAt: undefined,
      recordsSinceReturn: 0,
      reportedAt: undefined,
      hasLoggedExcess: false,
    };
    this._instances.delete(id);
    this._instances.set(id, instance);
    const [oldest] = this._instances.keys();
    if (this._instances.size > MAX_INSTANCES && oldest !== undefined) {
      this._instances.delete(oldest);
    }
    return instance;
  }

  private _find(id: string, startedAt: number | undefined): InstanceRecord | undefined {
    const instance = this._instances.get(id);
    return instance?.startedAt === startedAt ? instance : undefined;
  }

  private _isCredible(id: string, instance: InstanceRecord, coldMs: number): boolean {
    const isCredible = coldMs <= MAX_COLD_MS;
    if (!isCredible && !instance.hasLoggedExcess) {
      instance.hasLoggedExcess = true;
      this._options.log.write('target.cold-ignored', { target: id, coldMs, maxMs: MAX_COLD_MS });
    }
    return isCredible;
  }

  private _findLimit(id: string): ColdLimit | undefined {
    const { clock, findService, findTarget, log } = this._options;
    const instance = this._instances.get(id);
    const target = instance === undefined ? undefined : findTarget(id);
    const service = target === undefined ? undefined : findService(target.service);
    const { warmUp } = service ?? {};
    const leftMs =
      instance === undefined || warmUp === undefined
        ? 0
        : this._endsAt(id, instance, warmUp) - clock.now();
    if (warmUp === undefined || leftMs <= 0) {
      if (this._cold.delete(id)) {
        log.write('target.warm', { target: id, service: service?.name });
      }
      return undefined;
    }
    const { requestsPerSecond } = warmUp;
    if (!this._cold.has(id)) {
      this._cold.add(id);
      const fields = { target: id, service: service?.name, bornAt: instance?.startedAt };
      log.write('target.cold', { ...fields, leftMs: Math.round(leftMs), requestsPerSecond });
    }
    return { requestsPerSecond, isCoordinated: service?.engine !== undefined };
  }

  /** When the instance is warm; the past if it is. */
  private _endsAt(
    id: string,
    { answerEndsAt, firstReadAt, recordEndsAt, recordsSinceReturn, returnedAt }: InstanceRecord,
    warmUp: WarmUp | undefined = this._findWarmUp(id),
  ): number {
    const { durationMs = 0 } = warmUp ?? {};
    const isReturning = returnedAt !== undefined && recordsSinceReturn < RECORDS_AFTER_RETURN;
    return Math.max(
      recordEndsAt,
      answerEndsAt,
      firstReadAt === undefined ? Number.NEGATIVE_INFINITY : firstReadAt + durationMs,
      isReturning ? returnedAt + durationMs : Number.NEGATIVE_INFINITY,
    );
  }

  private _findWarmUp(id: string): WarmUp | undefined {
    const { findService, findTarget } = this._options;
    const target = findTarget(id);
    return target === undefined ? undefined : findService(target.service)?.warmUp;
  }
}
