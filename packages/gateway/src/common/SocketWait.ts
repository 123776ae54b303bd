/**
 * A time limit for something that arrives on a socket. Load pattern: a host is frozen for some seconds.
 * When its process goes on, all timers are overdue and run before anything is read, so that answers
 * that have arrived meanwhile would count as missing, and work that runs would be started elsewhere.
 */
import { type Clock, type Disposable, toDisposable } from '@tanagerdyke/kernel';

/** A timer that is later than this shows that the process stood still, or was busy. */
const LATE_TIMER_MS = 20;
/**
 * Longest time after a standstill in which what has arrived is read, and what was lost is sent again;
 * as long as the standstill otherwise.
 */
const MAX_CATCH_UP_MS = 500;

/** Calls back when nothing disposed of the wait in time; later if the process stood still. */
export function scheduleSocketWait(clock: Clock, limitMs: number, onLimit: () => void): Disposable {
  let timer: Disposable;
  const arm = (delayMs: number): void => {
    const dueAt = clock.now() + Math.max(0, delayMs);
    timer = clock.schedule(delayMs, () => {
      const lateMs = clock.now() - dueAt;
      if (lateMs > LATE_TIMER_MS) {
        arm(Math.min(lateMs, MAX_CATCH_UP_MS));
      } else {
        onLimit();
      }
    });
  };
  arm(limitMs);
  return toDisposable(() => {
    timer.dispose();
  });
}
