/**
 * Plays targets that limit the requests per second of all nodes together, behind the real
 * forwarders. A target gets at most half more than it stated, and five requests, in any four
 * seconds.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { RateLimitReports } from '../common/placement/RateLimitReports.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { ExchangeObserver, RequestSender } from './Upstream.js';

const STATED_PER_SECOND = 1;
const WINDOW_MS = 4_000;
const ALLOWED_IN_WINDOW = (STATED_PER_SECOND * 1.5 * WINDOW_MS) / 1_000 + 5;
const REQUEST_INTERVAL_MS = 50;
const ANSWER_MS = 15;
const REQUESTS = 160;
const NODES = 5;

const SERVICES: Record<CallKind, string> = {
  [CallKind.Idempotent]: 'app',
  [CallKind.NonIdempotent]: 'app',
  [CallKind.Stream]: 'engine',
};

/** How a target answers. */
interface TargetBehaviour {
  readonly requestsPerSecond?: number;
  readonly isFull?: boolean;
}

/** The most arrivals in any window. */
function busiestWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

describe('a target that states a request rate', () => {
  let clock: ManualClock;
  let targets: Map<string, TargetBehaviour>;
  let arrivals: Map<string, number[]>;
  let callers: SimulatedCaller[];
  let nodes: ForwardingFixture[];
  let network: MemoryNetwork;
  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    targets = new Map();
    arrivals = new Map();
    callers = [];
    nodes = [];
  });

  const sender: RequestSender = {
    send: ({ id }, _connections, _request, observer) => {
      arrivals.set(id, [...(arrivals.get(id) ?? []), clock.now()]);
      clock.schedule(ANSWER_MS, () => {
        answer(targets.get(id) ?? {}, observer);
      });
      return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    },
  };

  function answer(
    { isFull, requestsPerSecond }: TargetBehaviour,
    observer: ExchangeObserver,
  ): void {
    const rate = requestsPerSecond === undefined ? [] : ['Rate', String(requestsPerSecond)];
    observer.onSendStart();
    observer.onHead(isFull === true ? 503 : 200, [
      'Attempt',
      'a1',
      ...rate,
      ...(isFull === true ? ['Not-Run', '1'] : []),
    ]);
    observer.onData(Buffer.from('id: 1\ndata: x\n\n'));
    observer.onEnd();
  }

  /** Sends requests at a fixed rate to nodes in turn, and returns their reports. */
  async function play(kind: CallKind): Promise<RequestReport[]> {
    while (nodes.length < NODES) {
      nodes.push(createNode(SERVICES[kind]));
    }
    const forward = kind === CallKind.Stream ? forwardStream : forwardCall;
    const reports: Promise<RequestReport>[] = [];
    for (let index = 0; index < REQUESTS; index++) {
      const node = nodes[index % nodes.length];
      const caller = new SimulatedCaller();
      const request = simulatedRequest(clock, kind, caller, {
        maxAttempts: 2,
        signal: new AbortController().signal,
      });
      const { engine } = request.service;
      if (node !== undefined) {
        callers.push(caller);
        reports.push(
          engine === undefined
            ? forwardCall(node.dependencies, request)
            : forward(node.dependencies, request, engine),
        );
      }
      await clock.advance(REQUEST_INTERVAL_MS);
    }
    await clock.advance(WINDOW_MS);
    return Promise.all(reports);
  }

  function createNode(service: string): ForwardingFixture {
    const fixture = new ForwardingFixture({ clock, upstream: sender });
    const self = members[nodes.length];
    if (self !== undefined) {
      const transport = network.join(self.peerAddress);
      const membership = new FixedMembership(self, members);
      const broadcast = new ZoneBroadcast({ clock, transport, membership });
      const { rateLimits } = fixture.dependencies;
      new RateLimitReports({ broadcast, rateLimits, isKnown: () => true });
    }
    for (const id of targets.keys()) {
      fixture.addTarget(targetEntry(id, service, `${id}:80`));
    }
    return fixture;
  }

  function arrivalsAt(id: string): readonly number[] {
    return arrivals.get(id) ?? [];
  }

  describe('beside one without', () => {
    beforeEach(() => {
      targets.set('limited', { requestsPerSecond: STATED_PER_SECOND }).set('free', {});
    });

    it.each([
      ['idempotent calls', CallKind.Idempotent],
      ['calls that may not be repeated', CallKind.NonIdempotent],
      ['streams', CallKind.Stream],
    ])('gets no more %s than it stated, and all are served', async (_name, kind) => {
      const reports = await play(kind);
      expect(busiestWindow(arrivalsAt('limited'))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
      expect(new Set(reports.map(({ ending }) => ending))).toEqual(
        new Set([RequestOutcome.Answered]),
      );
    });

    it('gets no more retries of requests that the other one refused', async () => {
      targets.set('free', { isFull: true });
      await play(CallKind.Idempotent);
      expect(busiestWindow(arrivalsAt('limited'))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
    });

    it('gets its share again once an answer states no rate', async () => {
      await play(CallKind.Idempotent);
      targets.set('limited', {});
      await play(CallKind.Idempotent);
      expect(busiestWindow(arrivalsAt('limited'))).toBeGreaterThan(ALLOWED_IN_WINDOW);
    });
  });

  describe('as the only one', () => {
    beforeEach(() => {
      targets.set('limited', { requestsPerSecond: STATED_PER_SECOND });
    });

    it.each([
      ['calls', CallKind.NonIdempotent],
      ['streams', CallKind.Stream],
    ])('gets no more %s than it stated; refused callers get turns', async (_name, kind) => {
      const reports = await play(kind);
      expect(busiestWindow(arrivalsAt('limited'))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
      expect(arrivalsAt('limited').length).toBeGreaterThan(REQUESTS / 40);
      const refused = reports.filter(({ ending }) => ending === RequestOutcome.Refused);
      expect(refused.length).toBeGreaterThan(REQUESTS / 2);
      const turns = callers.flatMap(({ headers }) => {
        const index = headers.indexOf('Retry-After');
        return index === -1 ? [] : [Number(headers[index + 1])];
      });
      expect(turns).toHaveLength(refused.length);
      expect(Math.min(...turns)).toBeGreaterThan(0);
      expect(new Set(turns).size).toBeGreaterThan(10);
    });
  });
});
