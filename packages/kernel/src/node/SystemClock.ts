/** The clock of a real process. */
import { performance } from 'node:perf_hooks';
import { callContained } from '../common/BackgroundWork.js';
import { toDisposable } from '../common/Disposables.js';
import { sleepWith } from '../common/ManualClock.js';
import type { Clock, Disposable } from '../common/services/Services.js';

/** Node.js runs timers with longer delays at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Monotonic time from `performance.now`, timers from the event loop. */
export class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }

  public wallTime(): number {
    return Date.now();
  }

  public schedule(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(
      () => {
        callContained('timer', callback);
      },
      Math.min(MAX_DELAY_MS, Math.max(0, delayMs)),
    );
    return toDisposable(() => {
      clearTimeout(timer);
    });
  }

  public sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepWith(this, delayMs, signal);
  }
}
