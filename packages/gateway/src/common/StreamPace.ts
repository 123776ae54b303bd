/**
 * Decides how long a stream may be without an event before another engine is sought, and whether one
 * that was found replaces the engine of the stream. Addresses two load patterns: engines that all
 * answer more slowly than predicted, so that a replacement loses the work done and is no faster; and
 * stalled streams that send a byte, a comment or a part of an event now and then. Only whole events
 * count.
 */

/** A stream is steady when each of this many pauses in a row was long; one pause is no pace. */
const STEADY_PAUSES = 3;
/** A steady stream counts as silent after this multiple of its shortest recent pause. */
const STEADY_PAUSE_FACTOR = 2;

/** Longest waits for the events of a stream. */
export interface StreamPaceLimits {
  readonly firstEventTimeoutMs: number;
  /** For each later event, as long as the stream isn't steadily slower. */
  readonly nextEventTimeoutMs: number;
}

/** The pace of the events from one engine. All times are on the node's clock. */
export class StreamPace {
  private _hasEvents = false;
  private _waitsSince: number;
  private _recentPauses: readonly number[] = [];

  constructor(
    startedAt: number,
    private readonly _limits: StreamPaceLimits,
  ) {
    this._waitsSince = startedAt;
  }

  /** Records that a whole event arrived. */
  public recordEvent(now: number): void {
    if (this._hasEvents) {
      this._recentPauses = [...this._recentPauses, this.silenceMs(now)].slice(-STEADY_PAUSES);
    }
    this._hasEvents = true;
    this._waitsSince = now;
  }

  /** Records that events may arrive again, after a time in which the caller read too slowly. */
  public resume(now: number): void {
    this._waitsSince = now;
  }

  /** Time for which the engine could have sent an event and did not. */
  public silenceMs(now: number): number {
    return now - this._waitsSince;
  }

  /** Silence after which a replacement is sought. */
  public get timeoutMs(): number {
    if (!this._hasEvents) {
      return this._limits.firstEventTimeoutMs;
    }
    const isSteady = this._recentPauses.length === STEADY_PAUSES;
    const steadyMs = isSteady ? STEADY_PAUSE_FACTOR * Math.min(...this._recentPauses) : 0;
    return Math.max(this._limits.nextEventTimeoutMs, steadyMs);
  }
}

/**
 * Whether a stream that was silent for this long is better served by an engine whose first event is
 * predicted after `replacementMs`. The work of the silent engine is lost then, so the wait for it
 * goes on until it has cost as much as the replacement will.
 */
export function isReplacementFaster(silenceMs: number, replacementMs: number): boolean {
  return replacementMs <= silenceMs;
}
