/**
 * Work that is started and that nothing waits for. An exception in it is a defect, and must not cost
 * more than the work in which it occurs: it is reported with the name of the work, and the process
 * goes on. Without a listener the exception is thrown again, so that no process and no test
 * hides it.
 */
import type { Clock, Disposable } from './services/Services.js';
import { toDisposable } from './Disposables.js';

/** Pause after a failure of work that goes on until it is stopped. */
const RESTART_DELAY_MS = 1_000;

/** An exception in background work. */
export interface BackgroundFailure {
  /** Name of the kind of work, in the form of a log event. */
  readonly work: string;
  readonly error: unknown;
}

type FailureListener = (failure: BackgroundFailure) => void;

/** Work of all components of the process has the same listeners. */
const listeners = new Set<FailureListener>();

/** Subscribes to the failures of all background work of the process. */
export function onBackgroundFailure(listener: FailureListener): Disposable {
  listeners.add(listener);
  return toDisposable(() => listeners.delete(listener));
}

/** Starts work that nothing waits for. */
export function runInBackground(work: string, run: () => unknown): void {
  // The promise rejects only when there is no listener, which ends the process.
  // eslint-disable-next-line no-void, @typescript-eslint/no-floating-promises
  void runContained(work, run);
}

/** Starts work that goes on until it is stopped; after a failure, it starts again. */
export function keepRunning(
  clock: Clock,
  signal: AbortSignal,
  work: string,
  run: () => Promise<void>,
): void {
  runInBackground(work, async () => {
    while (!(await runContained(work, run)) && !signal.aborted) {
      await clock.sleep(RESTART_DELAY_MS, signal);
    }
  });
}

/** Calls a listener of events; an exception in it is reported and reaches no other listener. */
export function callContained(work: string, call: () => void): void {
  try {
    call();
  } catch (error) {
    report({ work, error });
  }
}

/** Runs work to its end; resolves with whether it ended without an exception, which is reported. */
export async function runContained(work: string, run: () => unknown): Promise<boolean> {
  try {
    await run();
    return true;
  } catch (error) {
    report({ work, error });
    return false;
  }
}

function report(failure: BackgroundFailure): void {
  if (listeners.size === 0) {
    throw failure.error;
  }
  for (const listener of listeners) {
    listener(failure);
  }
}
