/**
 * Waits for the requests in flight of a node that shuts down. When the timeout expires or the drain
 * is forced, the remaining requests are aborted and write a final answer, so that no caller sees
 * only a closed socket.
 */
import type { Clock } from '@tanagerdyke/kernel';
import type { RequestTracker } from './RequestTracker.js';

/** Time for aborted requests to write their final answers. */
const FINAL_ANSWER_TIMEOUT_MS = 2_000;

export interface DrainRequestsOptions {
  readonly clock: Clock;
  readonly requests: RequestTracker;
  /** Time for requests to end on their own. */
  readonly timeoutMs: number;
}

/**
 * Resolves with the number of aborted requests when all requests have ended, at the latest
 * `FINAL_ANSWER_TIMEOUT_MS` after they were aborted.
 */
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
  // `any` also covers a signal that is already aborted, which an event listener would miss.
  await requests.whenIdle(AbortSignal.any([forceSignal, timeout.signal]));
  timer.dispose();
}
