/**
 * Learns which engines are slower than others of their service. Load pattern: an engine that is cold
 * or shares its machine answers at a fraction of the configured speed, and has free slots as often
 * as the others, so that it gets as many prompts and answers them late. The time to the first event
 * is compared with the predicted one, for prompts that met no queue. What all engines have in common
 * is an error of the prediction and makes none of them slow.
 *
 * The estimate is bounded and lost within seconds without new samples, so that a slow engine gets
 * fewer prompts than the others and still some.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import { DecayingMean } from './DecayingMean.js';

const HALF_LIFE_MS = 15_000;
/** Log of the largest factor by which one sample counts. */
const MAX_STEP = Math.log(4);
/** Samples as configured that an engine is assumed to have had. */
const PRIOR_WEIGHT = 3;
/** An engine this much slower than others is no slow one: passes start at different moments. */
const TOLERANCE = 1.3;
/** Most that an engine counts as slower, as an idle slow one is still better than a long queue. */
const MAX_SLOWDOWN = 4;
/** With fewer engines, the usual speed is not known. */
const MIN_ENGINES = 3;
/** The usual speed of a service is computed again after this time. */
const USUAL_TTL_MS = 500;
const MAX_ENGINES = 500;
const MAX_PENDING = 2_000;
/** A first event after this time is of an engine that failed. */
const PENDING_TTL_MS = 10_000;

/** An engine is reported as slow from the first factor on, and as usual again below the second. */
const SLOW_FROM = 1.5;
const USUAL_BELOW = 1.2;

/** An engine that became slow, or is no longer. */
export interface SpeedChange {
  readonly target: string;
  readonly isSlow: boolean;
  /** Factor by which it is slower than others of its service. */
  readonly slowdown: number;
}

interface SpeedRecord {
  readonly service: string;
  isSlow: boolean;
  /** Log of the real time as a multiple of the predicted one. */
  readonly excess: DecayingMean;
}

interface PendingEvent {
  readonly service: string;
  readonly target: string;
  readonly predictedMs: number;
  readonly at: number;
}

/** Holds the speed of engines relative to the others of their service. */
export class EngineSpeeds extends DisposableOwner {
  /** By engine, the one that was recorded the longest ago in front. */
  private readonly _records = new Map<string, SpeedRecord>();
  /** By prompt, in the order of their placement. */
  private readonly _pending = new Map<string, PendingEvent>();
  /** By service: the mean excess of its middle engine. */
  private _usual = new Map<string, number>();
  private _usualAt = Number.NEGATIVE_INFINITY;
  private readonly _onChange = this.register(new Emitter<SpeedChange>());
  /** Fires when an engine becomes slow, or is seen not to be slow any more. */
  public readonly onChange = this._onChange.event;

  constructor(private readonly _clock: Clock) {
    super();
  }

  /** Number of engines of which a speed is known. */
  public get size(): number {
    return this._records.size;
  }

  /** Number of engines that are slow. */
  public get slowCount(): number {
    return [...this._records.keys()].filter((id) => this.slowdown(id) >= SLOW_FROM).length;
  }

  /** Records that a prompt was placed on an engine without a queue. */
  public expectFirstEvent(key: string, service: string, target: string, predictedMs: number): void {
    const now = this._clock.now();
    for (const [oldest, { at }] of this._pending) {
      if (now - at < PENDING_TTL_MS && this._pending.size < MAX_PENDING) {
        break;
      }
      this._pending.delete(oldest);
    }
    this._pending.set(key, { service, target, predictedMs, at: now });
  }

  /** Records that the first event of a prompt was received; ignored if none was expected. */
  public recordFirstEvent(key: string): void {
    const pending = this._pending.get(key);
    if (pending !== undefined) {
      this._pending.delete(key);
      const tookMs = this._clock.now() - pending.at;
      if (tookMs < PENDING_TTL_MS) {
        this.record(pending.service, pending.target, pending.predictedMs, tookMs);
      }
    }
  }

  /** Records the time to the first event of a prompt that met no queue. */
  public record(service: string, target: string, predictedMs: number, tookMs: number): void {
    let record = this._records.get(target);
    if (record === undefined) {
      const excess = new DecayingMean(HALF_LIFE_MS, MAX_STEP);
      record = { service, isSlow: false, excess };
    }
    this._records.delete(target);
    this._records.set(target, record);
    const [oldest = ''] = this._records.keys();
    if (this._records.size > MAX_ENGINES) {
      this._records.delete(oldest);
    }
    const excess = Math.log(Math.max(1, tookMs) / Math.max(1, predictedMs));
    record.excess.add(excess, this._clock.now());
    const slowdown = this.slowdown(target);
    const isSlow = slowdown >= (record.isSlow ? USUAL_BELOW : SLOW_FROM);
    if (isSlow !== record.isSlow) {
      record.isSlow = isSlow;
      this._onChange.fire({ target, isSlow, slowdown });
    }
  }

  /** Factor by which an engine is slower than others of its service; 1 when it is not. */
  public slowdown(target: string): number {
    const record = this._records.get(target);
    if (record === undefined) {
      return 1;
    }
    const now = this._clock.now();
    const usual = this._usualOf(record.service, now);
    if (usual === undefined || record.excess.mean <= usual) {
      return 1;
    }
    const weight = record.excess.weightAt(now);
    const ratio = Math.exp(((record.excess.mean - usual) * weight) / (weight + PRIOR_WEIGHT));
    // Grows from 1 at the tolerance, until it meets the ratio.
    return Math.max(1, Math.min(MAX_SLOWDOWN, ratio, (ratio / TOLERANCE) ** 2));
  }

  public remove(target: string): void {
    this._records.delete(target);
  }

  private _usualOf(service: string, now: number): number | undefined {
    if (now - this._usualAt >= USUAL_TTL_MS) {
      this._usualAt = now;
      this._usual = this._computeUsual();
    }
    return this._usual.get(service);
  }

  private _computeUsual(): Map<string, number> {
    const byService = new Map<string, number[]>();
    for (const { excess, service } of this._records.values()) {
      const means = byService.get(service) ?? [];
      means.push(excess.mean);
      byService.set(service, means);
    }
    const usual = new Map<string, number>();
    for (const [service, means] of byService) {
      if (means.length >= MIN_ENGINES) {
        means.sort((a, b) => a - b);
        usual.set(service, means[Math.floor((means.length - 1) / 2)] ?? 0);
      }
    }
    return usual;
  }
}
