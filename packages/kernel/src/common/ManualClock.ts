/** A clock that tests advance explicitly, for deterministic tests within one process. */
import { toDisposable } from './Disposables.js';
import type { Clock, Disposable } from './services/Services.js';

interface Timer {
  readonly due: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Microtask ticks run after each timer, so that promise chains settle before the next timer. */
const SETTLE_TICKS = 50;

/** Runs scheduled callbacks in order of their due time during `advance`. */
export class ManualClock implements Clock {
  private _now = 0;
  private _order = 0;
  private readonly _timers = new Set<Timer>();

  constructor(private _wallOffset = 1_700_000_000_000) {}

  public now(): number {
    return this._now;
  }

  public wallTime(): number {
    return this._now + this._wallOffset;
  }

  /** Steps wall time and leaves monotonic time unchanged. */
  public stepWallClock(deltaMs: number): void {
    this._wallOffset += deltaMs;
  }

  public schedule(delayMs: number, callback: () => void): Disposable {
    const timer: Timer = {
      due: this._now + Math.max(0, delayMs),
      order: this._order++,
      callback,
    };
    this._timers.add(timer);
    return toDisposable(() => this._timers.delete(timer));
  }

  public sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepWith(this, delayMs, signal);
  }

  /** Advances time by `deltaMs`, runs the timers that fall due and lets promises settle. */
  public async advance(deltaMs: number): Promise<void> {
    const end = this._now + deltaMs;
    await settle();
    for (let next = this._nextDue(end); next !== undefined; next = this._nextDue(end)) {
      this._timers.delete(next);
      this._now = Math.max(this._now, next.due);
      next.callback();
      await settle();
    }
    this._now = Math.max(this._now, end);
  }

  /** Advances time without running timers, which simulates a pause of the process. */
  public freeze(deltaMs: number): void {
    this._now += deltaMs;
  }

  private _nextDue(end: number): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this._timers) {
      if (timer.due > end) {
        continue;
      }
      const isEarlier =
        first === undefined ||
        timer.due < first.due ||
        (timer.due === first.due && timer.order < first.order);
      if (isEarlier) {
        first = timer;
      }
    }
    return first;
  }
}

/** Implements `Clock.sleep` by means of `Clock.schedule`. */
export function sleepWith(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const onAbort = (): void => {
      timer.dispose();
      resolve();
    };
    const timer = clock.schedule(delayMs, () => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    signal?.addEventListener('abort', onAbort, { once: true });
  });
}

async function settle(): Promise<void> {
  for (let tick = 0; tick < SETTLE_TICKS; tick++) {
    await Promise.resolve();
  }
}
