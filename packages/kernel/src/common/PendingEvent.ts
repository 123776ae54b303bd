/** Waiting for one event with a timeout. */
import type { Event } from './Emitter.js';
import type { Clock, Disposable } from './services/Services.js';

/** A pending wait for one event. */
export interface PendingEvent<T> {
  /** The value of the event; `undefined` after a timeout or if the wait was cancelled. */
  readonly value: Promise<T | undefined>;
  cancel(): void;
}

/** Waits for the first event whose value `matches`, for at most `timeoutMs`. */
export function awaitEvent<T>(
  clock: Clock,
  event: Event<T>,
  matches: (value: T) => boolean,
  timeoutMs: number,
): PendingEvent<T> {
  let cancel = (): void => undefined;
  const value = new Promise<T | undefined>((resolve) => {
    const disposables: Disposable[] = [];
    const finish = (found: T | undefined): void => {
      for (const each of disposables) {
        each.dispose();
      }
      resolve(found);
    };
    cancel = () => {
      finish(undefined);
    };
    disposables.push(
      clock.schedule(timeoutMs, cancel),
      event((fired) => {
        if (matches(fired)) {
          finish(fired);
        }
      }),
    );
  });
  return { value, cancel };
}
