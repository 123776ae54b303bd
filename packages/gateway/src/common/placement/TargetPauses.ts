/**
 * Keeps the pauses that targets ask this node for when they refuse a request, be it of this node or
 * of one whose connection it relays. Load pattern: a target at its limit refuses request after
 * request, and each node sends the next one at once. A paused target gets no request from this node
 * until the pause ends.
 */
import {
  type Clock,
  DisposableOwner,
  Emitter,
  type Metrics,
  type RandomSource,
} from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';

/** Longer pauses are shortened, so that a wrong value does not exclude a target for good. */
const MAX_PAUSE_MS = 60_000;
/** Callers that are refused since all targets are paused return spread over this time after it. */
const RETURN_SPREAD_MS = 500;

export interface TargetPausesOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** Holds the end of each pause. */
export class TargetPauses extends DisposableOwner {
  private readonly _endsAt = new Map<string, number>();
  private readonly _onPause = this.register(new Emitter<string>());
  /** Fires with the id of a target that asks for a pause. */
  public readonly onPause = this._onPause.event;

  constructor(private readonly _options: TargetPausesOptions) {
    super();
    _options.metrics.gauge('tanager_targets_paused', () => this.pausedIds.length);
  }

  /** Ids of the targets that are paused. */
  public get pausedIds(): readonly string[] {
    return [...this._endsAt.keys()].filter((id) => this.isPaused(id));
  }

  /** Records that a target asked for a pause; the longest one counts. */
  public record(id: string, pauseMs: number): void {
    const { clock, log } = this._options;
    const now = clock.now();
    for (const [each, endsAt] of this._endsAt) {
      if (now >= endsAt) {
        this._endsAt.delete(each);
      }
    }
    const endsAt = now + Math.min(MAX_PAUSE_MS, pauseMs);
    if (endsAt > (this._endsAt.get(id) ?? 0)) {
      this._endsAt.set(id, endsAt);
      log.write('target.paused', { target: id, pauseMs });
      this._onPause.fire(id);
    }
  }

  public isPaused(id: string): boolean {
    return this._options.clock.now() < (this._endsAt.get(id) ?? 0);
  }

  /**
   * Time after which a caller should retry since all targets are paused; `undefined` if one is not,
   * or there is none. Differs between callers, which would all return when the pause ends.
   */
  public retryAfterMs(ids: readonly string[]): number | undefined {
    const remainingMs = this.remainingMs(ids);
    return remainingMs > 0
      ? remainingMs + this._options.random.next() * RETURN_SPREAD_MS
      : undefined;
  }

  /** Time until the first of the targets is paused no more; 0 if one is not, or there is none. */
  public remainingMs(ids: readonly string[]): number {
    const ends = ids.map((id) => this._endsAt.get(id) ?? 0);
    return ends.length === 0 ? 0 : Math.max(0, Math.min(...ends) - this._options.clock.now());
  }
}
