/** Tests of draining requests, on a manual clock. */
import { ManualClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { drainRequests } from './RequestDrain.js';
import { RequestTracker } from './RequestTracker.js';

const TIMEOUT_MS = 1_000;

function setUp(): { clock: ManualClock; requests: RequestTracker; force: AbortController } {
  return { clock: new ManualClock(), requests: new RequestTracker(), force: new AbortController() };
}

/** Begins a request that ends as soon as it is aborted. */
function beginAbortable(requests: RequestTracker): AbortSignal {
  const running = requests.begin();
  running.shutdownSignal.addEventListener('abort', () => {
    running.end();
  });
  return running.shutdownSignal;
}

describe('drainRequests', () => {
  it('waits for requests that end on their own', async () => {
    const { clock, force, requests } = setUp();
    const running = requests.begin();
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, force.signal);
    running.end();
    expect(await drained).toBe(0);
    expect(running.shutdownSignal.aborted).toBe(false);
  });

  it('aborts requests that are still running at the timeout', async () => {
    const { clock, force, requests } = setUp();
    const shutdownSignal = beginAbortable(requests);
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, force.signal);
    await clock.advance(TIMEOUT_MS);
    expect(await drained).toBe(1);
    expect(shutdownSignal.aborted).toBe(true);
  });

  it('aborts requests immediately when forced', async () => {
    const { clock, force, requests } = setUp();
    beginAbortable(requests);
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, force.signal);
    force.abort();
    expect(await drained).toBe(1);
  });

  it('aborts requests immediately when forced before the drain starts', async () => {
    const { clock, force, requests } = setUp();
    force.abort();
    beginAbortable(requests);
    expect(await drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, force.signal)).toBe(1);
  });

  it('resolves although an aborted request never ends', async () => {
    const { clock, force, requests } = setUp();
    requests.begin();
    force.abort();
    const drained = drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, force.signal);
    await clock.advance(10 * TIMEOUT_MS);
    expect(await drained).toBe(1);
  });
});
