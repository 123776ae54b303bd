/**
 * Plays calls of many nodes to cold targets of a plain service, behind the real forwarder. A cold target
 * crashes when it gets more than half more than its rate, and five requests, in any second.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { ColdReports } from '../common/placement/ColdReports.js';
import { RateLimitReports } from '../common/placement/RateLimitReports.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import type { RequestSender } from './Upstream.js';

const NODES = 20;
const WARM_UP = { durationMs: 3_000, requestsPerSecond: 14 };
const ALLOWED_IN_SECOND = WARM_UP.requestsPerSecond * 1.5 + 5;
const CALL_INTERVAL_MS = 10;
const CALLS = 250;
const ANSWER_MS = 15;
const MAX_REFUSAL_MS = 300;

describe('a cold target of a plain service', () => {
  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );
  let clock: ManualClock;
  let random: SeededRandom;
  let arrivals: number[];
  let coldMs: string | undefined;
  let nodes: readonly ForwardingFixture[];

  beforeEach(() => {
    clock = new ManualClock();
    random = new SeededRandom(1);
    arrivals = [];
    coldMs = undefined;
    const network = new MemoryNetwork(clock, random);
    network.loss = 0.02;
    nodes = members.map((self, seed) => {
      const fixture = new ForwardingFixture({ clock, upstream: sender, warmUp: WARM_UP, seed });
      const transport = network.join(self.peerAddress);
      const membership = new FixedMembership(self, members);
      const broadcast = new ZoneBroadcast({ clock, transport, membership });
      new RateLimitReports({ ...fixture.dependencies, broadcast, isKnown: () => true });
      new ColdReports({ ...fixture.dependencies, broadcast });
      return fixture;
    });
  });

  const sender: RequestSender = {
    send: ({ id }, _connections, _request, observer) => {
      const delayMs = random.integer(8);
      if (id === 'cold') {
        arrivals.push(clock.now() + delayMs);
      }
      clock.schedule(delayMs + ANSWER_MS, () => {
        const obstacle = observer.findObstacle();
        expect(obstacle).toBeUndefined();
        observer.onSendStart();
        const statement = coldMs === undefined ? [] : ['Cold', coldMs];
        observer.onHead(200, ['Attempt', 'a1', ...statement]);
        observer.onEnd();
      });
      return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    },
  };

  function addTarget(id: string, entryColdMs: number): void {
    for (const node of nodes) {
      node.addTarget({ ...targetEntry(id, 'app', `${id}:80`), coldMs: entryColdMs });
    }
  }

  async function play(): Promise<readonly RequestReport[]> {
    const reports: Promise<RequestReport>[] = [];
    for (let index = 0; index < CALLS; index++) {
      const request = simulatedRequest(clock, CallKind.NonIdempotent, new SimulatedCaller(), {
        maxAttempts: 2,
        signal: new AbortController().signal,
      });
      const node = nodes[random.integer(NODES)];
      if (node !== undefined) {
        reports.push(forwardCall(node.dependencies, request));
      }
      await clock.advance(CALL_INTERVAL_MS);
    }
    await clock.advance(MAX_REFUSAL_MS);
    return Promise.all(reports);
  }

  function busiestSecond(): number {
    return Math.max(
      ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + 1_000).length),
    );
  }

  it('gets no more calls than it tolerates, and the others are refused as not run', async () => {
    addTarget('cold', WARM_UP.durationMs);
    const reports = await play();
    expect(busiestSecond()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    const answered = reports.filter(({ ending }) => ending === RequestOutcome.Answered);
    const refused = reports.filter(({ ending }) => ending === RequestOutcome.Refused);
    expect(answered.length).toBeGreaterThan(WARM_UP.requestsPerSecond * 2);
    expect(answered.length + refused.length).toBe(CALLS);
  });

  it('beside a warm one: gets no more calls than it tolerates, and all are served', async () => {
    addTarget('cold', WARM_UP.durationMs);
    addTarget('warm', 0);
    const reports = await play();
    expect(busiestSecond()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    expect(reports.every(({ ending }) => ending === RequestOutcome.Answered)).toBe(true);
  });

  it('that says so only in its answers: gets no more calls once it has said it', async () => {
    addTarget('cold', 0);
    addTarget('warm', 0);
    await play();
    const before = arrivals.length;
    coldMs = String(WARM_UP.durationMs);
    await play();
    const from = arrivals[before] ?? 0;
    arrivals = arrivals.filter((at) => at > from + 100);
    expect(busiestSecond()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
  });
});
