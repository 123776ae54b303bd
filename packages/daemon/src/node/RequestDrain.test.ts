/** Draining a stopping node's requests on a manual clock. */
import { ManualClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { drainRequests } from './RequestDrain.js';
import { RequestTracker } from './RequestTracker.js';

const TIMEOUT_MS = 1_000;

function setUp(): { clock: ManualClock; requests: RequestTracker; hurry: AbortController } {
  return { clock: new ManualClock(), requests: new RequestTracker(), hurry: new AbortController() };
}

/** Begins a request that ends as soon as it is cut. */
function beginCuttable(requests: RequestTracker): AbortSignal {
  const running = requests.begin();
  running.shutdownSignal.addEventListener('abort', () => {
    running.end();
  });
  return running.shutdownSignal;
}

describe('drainRequests', () => {
  it('waits for requests that end by themselves', async () => {
    const { clock, hurry, requests } = setUp();
    const running = requests.begin();
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, hurry.signal);
    running.end();
    expect(await drained).toBe(0);
    expect(running.shutdownSignal.aborted).toBe(false);
  });

  it('cuts what outlasts the timeout', async () => {
    const { clock, hurry, requests } = setUp();
    const cut = beginCuttable(requests);
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, hurry.signal);
    await clock.advance(TIMEOUT_MS);
    expect(await drained).toBe(1);
    expect(cut.aborted).toBe(true);
  });

  it('cuts at once when hurried', async () => {
    const { clock, hurry, requests } = setUp();
    beginCuttable(requests);
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, hurry.signal);
    hurry.abort();
    expect(await drained).toBe(1);
  });

  it('cuts at once when it was hurried before it began', async () => {
    const { clock, hurry, requests } = setUp();
    hurry.abort();
    beginCuttable(requests);
    expect(await drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, hurry.signal)).toBe(1);
  });

  it('ends although a cut request never does', async () => {
    const { clock, hurry, requests } = setUp();
    requests.begin();
    hurry.abort();
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, hurry.signal);
    await clock.advance(10 * TIMEOUT_MS);
    expect(await drained).toBe(1);
  });
});
