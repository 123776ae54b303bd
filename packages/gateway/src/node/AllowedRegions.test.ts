/** Requests that may reach targets of one region only, behind the real forwarders. */
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { UpstreamRequest } from './Upstream.js';

const ANSWER_MS = 15;
const REQUESTS = 20;

const SERVICES: Record<CallKind, string> = {
  [CallKind.Idempotent]: 'app',
  [CallKind.NonIdempotent]: 'app',
  [CallKind.Stream]: 'engine',
};

describe.each([
  ['a call', CallKind.Idempotent],
  ['a call that may not be repeated', CallKind.NonIdempotent],
  ['a stream', CallKind.Stream],
])('%s that may reach one region only', (_name, kind) => {
  let clock: ManualClock;
  let node: ForwardingFixture;
  let arrivals: string[];
  let sent: UpstreamRequest[];
  let full: Set<string>;

  beforeEach(() => {
    clock = new ManualClock();
    arrivals = [];
    sent = [];
    full = new Set();
    node = new ForwardingFixture({
      clock,
      upstream: {
        send: ({ id }, _connections, request, observer) => {
          clock.schedule(ANSWER_MS, () => {
            arrivals.push(id);
            sent.push(request);
            observer.onSendStart();
            const isFull = full.has(id);
            observer.onHead(isFull ? 503 : 200, [
              'Attempt',
              'a1',
              ...(isFull ? ['Not-Run', '1'] : []),
            ]);
            observer.onData(Buffer.from('id: 1\ndata: x\n\n'));
            observer.onEnd();
          });
          return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
        },
      },
    });
    for (const zone of ['a', 'b']) {
      for (const id of [`${zone}0`, `${zone}1`]) {
        const entry = targetEntry(id, SERVICES[kind], `${id}:80`);
        node.addTarget({ ...entry, availabilityZone: zone });
      }
    }
  });

  async function sendAll(allowedRegions: readonly string[]): Promise<ReadonlySet<string>> {
    const reports = Array.from({ length: REQUESTS }, (): Promise<RequestReport> => {
      const request = simulatedRequest(clock, kind, new SimulatedCaller(), {
        ...{ maxAttempts: 4, allowedRegions },
        signal: new AbortController().signal,
      });
      const { engine } = request.service;
      return kind === CallKind.Stream && engine !== undefined
        ? forwardStream(node.dependencies, request, engine)
        : forwardCall(node.dependencies, request);
    });
    await clock.advance(4_000);
    return new Set((await Promise.all(reports)).map(({ ending }) => ending));
  }

  function zonesReached(): ReadonlySet<string> {
    return new Set(arrivals.map((id) => id.slice(0, 1)));
  }

  it('reaches its targets, and is relayed by nodes of the region only', async () => {
    expect(await sendAll(['south'])).toEqual(new Set([RequestOutcome.Answered]));
    expect(zonesReached()).toEqual(new Set(['b']));
    expect(new Set(sent.map(({ relayRegions }) => relayRegions?.join()))).toEqual(
      new Set(['south']),
    );
  });

  it('is not retried elsewhere', async () => {
    full = new Set(['b0', 'b1']);
    await sendAll(['south']);
    expect(zonesReached()).toEqual(new Set(['b']));
  });

  it('is refused when targets of other regions alone accept requests', async () => {
    node.evacuate('b');
    expect(await sendAll(['south'])).toEqual(new Set([RequestOutcome.Refused]));
    expect(await sendAll(['nowhere'])).toEqual(new Set([RequestOutcome.Refused]));
    expect(arrivals).toEqual([]);
  });
});
