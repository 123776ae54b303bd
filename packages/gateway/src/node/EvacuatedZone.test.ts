/** Plays the evacuation of a zone behind the real forwarders. */
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import { type ExchangeObserver, WithheldRequest } from './Upstream.js';

const ANSWER_MS = 15;
const REQUESTS = 12;
const EVENT = 'id: 1\ndata: x\n\n';
const HEAD = ['Attempt', 'a1'];

const SERVICES: Record<CallKind, string> = {
  [CallKind.Idempotent]: 'app',
  [CallKind.NonIdempotent]: 'app',
  [CallKind.Stream]: 'engine',
};

describe('an evacuated zone', () => {
  let clock: ManualClock;
  let node: ForwardingFixture;
  let arrivals: string[];
  /** What each target does with a request; by default it answers. */
  let scripts: Map<string, (observer: ExchangeObserver) => void>;
  /** Called before a request is sent, as while it waits for a connection. */
  let onConnect: () => void;

  beforeEach(() => {
    clock = new ManualClock();
    arrivals = [];
    scripts = new Map();
    onConnect = () => undefined;
    node = new ForwardingFixture({
      clock,
      upstream: {
        send: ({ id }, _connections, _request, observer) => {
          clock.schedule(ANSWER_MS, () => {
            onConnect();
            const obstacle = observer.findObstacle();
            if (obstacle !== undefined) {
              observer.onError(new WithheldRequest(obstacle));
              return;
            }
            arrivals.push(id);
            observer.onSendStart();
            (scripts.get(id) ?? answer)(observer);
          });
          return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
        },
      },
    });
  });

  function addTargets(kind: CallKind): void {
    for (const [id, availabilityZone] of [
      ['a0', 'a'],
      ['a1', 'a'],
      ['b0', 'b'],
      ['b1', 'b'],
    ] as const) {
      node.addTarget({ ...targetEntry(id, SERVICES[kind], `${id}:80`), availabilityZone });
    }
  }

  function answer(observer: ExchangeObserver): void {
    observer.onHead(200, HEAD);
    observer.onData(Buffer.from(EVENT));
    observer.onEnd();
  }

  function send(kind: CallKind, caller = new SimulatedCaller()): Promise<RequestReport> {
    const request = simulatedRequest(clock, kind, caller, {
      maxAttempts: 3,
      signal: new AbortController().signal,
    });
    const { engine } = request.service;
    return kind === CallKind.Stream && engine !== undefined
      ? forwardStream(node.dependencies, request, engine)
      : forwardCall(node.dependencies, request);
  }

  async function sendAll(kind: CallKind, count = REQUESTS): Promise<RequestOutcome[]> {
    const reports = Array.from({ length: count }, () => send(kind));
    await clock.advance(1_000);
    return (await Promise.all(reports)).map(({ ending }) => ending);
  }

  function zonesReached(): ReadonlySet<string> {
    return new Set(arrivals.map((id) => id.slice(0, 1)));
  }

  describe.each([
    ['idempotent calls', CallKind.Idempotent],
    ['calls that may not be repeated', CallKind.NonIdempotent],
    ['streams', CallKind.Stream],
  ])('for %s', (_name, kind) => {
    beforeEach(() => {
      addTargets(kind);
    });

    it('gets none, and its targets are used again afterwards', async () => {
      node.evacuate('a');
      expect(new Set(await sendAll(kind, 6))).toEqual(new Set([RequestOutcome.Answered]));
      expect(zonesReached()).toEqual(new Set(['b']));
      node.evacuate('a', false);
      await sendAll(kind);
      expect(zonesReached()).toContain('a');
    });

    it('gets none that was about to be sent when it was evacuated', async () => {
      onConnect = () => {
        onConnect = () => undefined;
        node.evacuate('a');
      };
      expect(new Set(await sendAll(kind, 6))).toEqual(new Set([RequestOutcome.Answered]));
      expect(zonesReached()).toEqual(new Set(['b']));
    });

    it('gets no second attempt', async () => {
      node.evacuate('a');
      scripts.set('b0', refuse);
      scripts.set('b1', refuse);
      await sendAll(kind);
      expect(zonesReached()).toEqual(new Set(['b']));
    });

    it.each([
      ['at once', 0],
      ['also when it waited', 100],
    ])('refuses a request %s when all zones are evacuated', async (_when, waitedMs) => {
      if (waitedMs > 0) {
        for (const id of ['a0', 'a1', 'b0', 'b1']) {
          node.removeTarget(id);
        }
      } else {
        node.evacuate('a');
        node.evacuate('b');
      }
      const callers = Array.from({ length: REQUESTS }, () => new SimulatedCaller());
      const reports = callers.map((caller) => send(kind, caller));
      await clock.advance(waitedMs);
      addTargets(kind);
      node.evacuate('a');
      node.evacuate('b');
      await clock.advance(30);
      expect(callers.map(({ status }) => status)).toEqual(callers.map(() => 503));
      const times = callers.map(({ headers }) =>
        Number(headers[headers.indexOf('Retry-After') + 1]),
      );
      expect(Math.min(...times)).toBeGreaterThanOrEqual(2);
      expect(new Set(times).size).toBeGreaterThan(REQUESTS / 2);
      expect(new Set((await Promise.all(reports)).map(({ ending }) => ending))).toEqual(
        new Set([RequestOutcome.Refused]),
      );
      expect(arrivals).toEqual([]);
    });

    it('gives the answer to what runs there', async () => {
      const running: ExchangeObserver[] = [];
      node.evacuate('b');
      for (const id of ['a0', 'a1']) {
        scripts.set(id, (observer) => {
          observer.onHead(200, HEAD);
          running.push(observer);
        });
      }
      const callers = [new SimulatedCaller(), new SimulatedCaller()];
      const reports = callers.map((caller) => send(kind, caller));
      await clock.advance(50);
      node.evacuate('a');
      await clock.advance(200);
      for (const observer of running) {
        observer.onData(Buffer.from(EVENT));
        observer.onEnd();
      }
      await clock.advance(50);
      expect((await Promise.all(reports)).map(({ ending }) => ending)).toEqual([
        RequestOutcome.Answered,
        RequestOutcome.Answered,
      ]);
      expect(callers.map(({ body }) => body)).toEqual([EVENT, EVENT]);
    });
  });

  it('gets no stream that is resumed after its engine broke it off', async () => {
    addTargets(CallKind.Stream);
    for (const id of ['a0', 'a1', 'b0']) {
      scripts.set(id, (observer) => {
        observer.onHead(200, HEAD);
        observer.onData(Buffer.from(EVENT));
        node.evacuate('a');
        observer.onError(new Error('the engine ended'));
      });
    }
    const reports = Array.from({ length: 4 }, () => send(CallKind.Stream));
    await clock.advance(ANSWER_MS);
    arrivals = [];
    await clock.advance(1_000);
    await Promise.all(reports);
    expect(arrivals.length).toBeGreaterThan(0);
    expect(zonesReached()).toEqual(new Set(['b']));
  });

  function refuse(observer: ExchangeObserver): void {
    observer.onHead(503, [...HEAD, 'Not-Run', '1']);
    observer.onEnd();
  }
});
