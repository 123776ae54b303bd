/**
 * Waits for the requests of a stopping node. When they take too long, or the stop is hurried, each
 * remaining request is told to give its final answer, so that no caller sees only a closed socket.
 */
import type { Clock } from '@tanagerdyke/kernel';
import type { RequestTracker } from './RequestTracker.js';

/** Time for cut requests to write their final answers. */
const FINAL_ANSWER_TIMEOUT_MS = 2_000;

/** What a drain needs. */
export interface DrainRequestsOptions {
  readonly clock: Clock;
  readonly requests: RequestTracker;
  /** Time for requests to end by themselves. */
  readonly timeoutMs: number;
}

/** Resolves when all requests have ended; answers how many had to be cut. */
export async function drainRequests(
  { clock, requests, timeoutMs }: DrainRequestsOptions,
  forceSignal: AbortSignal,
): Promise<number> {
  await waitForIdle(clock, requests, timeoutMs, forceSignal);
  const { running } = requests;
  if (running > 0) {
    requests.abortAll();
    await waitForIdle(clock, requests, FINAL_ANSWER_TIMEOUT_MS, new AbortController().signal);
  }
  return running;
}

async function waitForIdle(
  clock: Clock,
  requests: RequestTracker,
  timeoutMs: number,
  forceSignal: AbortSignal,
): Promise<void> {
  const timeout = new AbortController();
  const timer = clock.schedule(timeoutMs, () => {
    timeout.abort();
  });
  // A hurry that came before this wait counts too, which an event listener alone would miss.
  await requests.whenIdle(AbortSignal.any([forceSignal, timeout.signal]));
  timer.dispose();
}
