/**
 * Samples how late timers of this process fire. A large delay shows that the process, and not the
 * network or a peer, is the reason for an answer that seems late.
 */
import { type Clock, type Disposable, DisposableOwner, toDisposable } from '@tanagerdyke/kernel';

/** Shorter than any time limit of a call to a peer. */
const SAMPLE_INTERVAL_MS = 100;
/** Samples that count as recent. */
const RECENT_SAMPLES = 10;

/** Keeps the longest recent delay of a periodic timer. */
export class TimerDelay extends DisposableOwner {
  private _delaysMs: readonly number[] = [];
  private _timer: Disposable | undefined;

  constructor(private readonly _clock: Clock) {
    super();
    this.register(toDisposable(() => this._timer?.dispose()));
    this._scheduleSample();
  }

  /** Longest delay within the last second, in ms. */
  public get recentMs(): number {
    return Math.round(Math.max(0, ...this._delaysMs));
  }

  private _scheduleSample(): void {
    const dueAt = this._clock.now() + SAMPLE_INTERVAL_MS;
    this._timer = this._clock.schedule(SAMPLE_INTERVAL_MS, () => {
      this._delaysMs = [...this._delaysMs.slice(1 - RECENT_SAMPLES), this._clock.now() - dueAt];
      this._scheduleSample();
    });
  }
}
