/** Guards against a repeated stop that aborts the requests of a draining daemon. */
import { EventEmitter } from 'node:events';
import { ManualClock, Metrics, ProcessSignals } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { drainRequests } from './RequestDrain.js';
import { RequestTracker } from './RequestTracker.js';
import { drainOnSignal } from './SignalDrain.js';

const TIMEOUT_MS = 1_000;

describe('drainOnSignal', () => {
  let source: EventEmitter;
  let requests: RequestTracker;
  let logged: string[];
  let drains: number;
  let drained: Promise<void>;

  beforeEach(() => {
    source = new EventEmitter();
    requests = new RequestTracker();
    logged = [];
    drains = 0;
    const clock = new ManualClock();
    const node = {
      isDraining: false,
      metrics: new Metrics(),
      requests,
      drain: async (forceSignal: AbortSignal) => {
        drains++;
        await drainRequests({ clock, requests, timeoutMs: TIMEOUT_MS }, forceSignal);
      },
    };
    const logger = { log: (_level: unknown, message: string) => logged.push(message) };
    drained = drainOnSignal(node, new ProcessSignals(source), logger);
  });

  async function emitAll(signals: readonly string[]): Promise<void> {
    for (const signal of signals) {
      source.emit(signal);
      await new Promise(setImmediate);
    }
  }

  it('lets a request end that runs while signals arrive in series', async () => {
    const running = requests.begin();
    await emitAll(['SIGHUP', 'SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2', 'SIGTERM']);
    expect(running.shutdownSignal.aborted).toBe(false);
    running.end();
    await drained;
    expect(drains).toBe(1);
  });

  it('aborts the requests on SIGQUIT', async () => {
    const running = requests.begin();
    running.shutdownSignal.addEventListener('abort', () => {
      running.end();
    });
    await emitAll(['SIGTERM', 'SIGQUIT']);
    expect(running.shutdownSignal.aborted).toBe(true);
    await drained;
  });

  it('writes a bounded number of lines about signals without effect', async () => {
    await emitAll(['SIGTERM', ...Array<string>(50).fill('SIGTERM')]);
    await drained;
    expect(logged.length).toBeLessThan(30);
  });
});
