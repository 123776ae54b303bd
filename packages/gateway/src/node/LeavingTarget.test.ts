/**
 * Plays targets that state in their answers that they are leaving while their entries still say that
 * they accept requests, behind the real forwarders.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind, type TargetEntry } from '../common/Messages.js';
import { LeavingReports } from '../common/state/LeavingReports.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { RequestSender } from './Upstream.js';

const ANSWER_MS = 15;
const REQUESTS = 20;
const REQUEST_INTERVAL_MS = 50;
const NODES = 3;

const SERVICES: Record<CallKind, string> = {
  [CallKind.Idempotent]: 'app',
  [CallKind.NonIdempotent]: 'app',
  [CallKind.Stream]: 'engine',
};

describe('a target that states that it is leaving', () => {
  let clock: ManualClock;
  let leaving: Set<string>;
  let full: Set<string>;
  let arrivals: string[];
  let nodes: ForwardingFixture[];
  let memberships: FixedMembership[];
  let network: MemoryNetwork;
  let entries: TargetEntry[];

  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );

  const sender: RequestSender = {
    send: ({ id }, _connections, _request, observer) => {
      arrivals.push(id);
      clock.schedule(ANSWER_MS, () => {
        const isFull = full.has(id);
        observer.onSendStart();
        observer.onHead(isFull ? 503 : 200, [
          ...['Attempt', 'a1'],
          ...(leaving.has(id) ? ['Leaving', '1'] : []),
          ...(isFull ? ['Not-Run', '1'] : []),
        ]);
        observer.onData(Buffer.from('id: 1\ndata: x\n\n'));
        observer.onEnd();
      });
      return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    },
  };

  beforeEach(() => {
    clock = new ManualClock();
    leaving = new Set();
    full = new Set();
    arrivals = [];
    nodes = [];
    entries = [];
  });

  function createNodes(service: string): void {
    network = new MemoryNetwork(clock, new SeededRandom(1));
    entries = ['t0', 't1'].map((id) => ({
      ...targetEntry(id, service, `${id}:80`),
      startedAt: 1,
    }));
    memberships = members.map((self) => new FixedMembership(self, members));
    nodes = memberships.map(createNode);
  }

  function createNode(membership: FixedMembership): ForwardingFixture {
    const fixture = new ForwardingFixture({ clock, upstream: sender });
    const { targets } = fixture.dependencies;
    const transport = network.join(membership.self.peerAddress);
    const broadcast = new ZoneBroadcast({ clock, transport, membership });
    new LeavingReports({ broadcast, membership, targets });
    for (const entry of entries) {
      fixture.addTarget(entry);
    }
    return fixture;
  }

  /** Starts a node again without the state that it had; the others learn of the new process. */
  async function restart(index: number): Promise<void> {
    const self = members[index] ?? memberOf('n', '127.0.0.1:1');
    network.leave(self.peerAddress);
    nodes[index] = createNode(new FixedMembership(self, members));
    for (const membership of memberships) {
      membership.applyUpdate({ ...self, startedAt: self.startedAt + 1, stateVersion: 0 });
    }
    await clock.advance(100);
  }

  async function send(kind: CallKind, node: number, count: number): Promise<RequestReport[]> {
    const reports: Promise<RequestReport>[] = [];
    for (let index = 0; index < count; index++) {
      const request = simulatedRequest(clock, kind, new SimulatedCaller(), {
        maxAttempts: 2,
        signal: new AbortController().signal,
      });
      const { engine } = request.service;
      const dependencies = nodes[node]?.dependencies;
      if (dependencies !== undefined) {
        reports.push(
          engine === undefined || kind !== CallKind.Stream
            ? forwardCall(dependencies, request)
            : forwardStream(dependencies, request, engine),
        );
      }
      await clock.advance(REQUEST_INTERVAL_MS);
    }
    await clock.advance(1_000);
    return Promise.all(reports);
  }

  function outcomesOf(reports: readonly RequestReport[]): ReadonlySet<RequestOutcome> {
    return new Set(reports.map(({ ending }) => ending));
  }

  describe.each([
    ['idempotent calls', CallKind.Idempotent],
    ['calls that may not be repeated', CallKind.NonIdempotent],
    ['streams', CallKind.Stream],
  ])('for %s', (_name, kind) => {
    beforeEach(async () => {
      createNodes(SERVICES[kind]);
      leaving.add('t0');
      while (!arrivals.includes('t0')) {
        await send(kind, 0, 1);
      }
      arrivals = [];
    });

    it('gets nothing more from the node that received its statement', async () => {
      const reports = await send(kind, 0, REQUESTS);
      expect(arrivals).not.toContain('t0');
      expect(outcomesOf(reports)).toEqual(new Set([RequestOutcome.Answered]));
    });

    it('gets nothing more from the other nodes', async () => {
      const reports = await send(kind, 1, REQUESTS);
      expect(arrivals).not.toContain('t0');
      expect(outcomesOf(reports)).toEqual(new Set([RequestOutcome.Answered]));
    });

    it.each([0, 1, NODES - 1])('gets nothing from node %i after its restart', async (index) => {
      await restart(index);
      await send(kind, index, REQUESTS);
      expect(arrivals).not.toContain('t0');
    });

    it('gets no retry of a request that another target refused', async () => {
      full.add('t1');
      const reports = await send(kind, 0, REQUESTS);
      expect(arrivals).not.toContain('t0');
      expect(outcomesOf(reports)).toEqual(new Set([RequestOutcome.Refused]));
    });

    it('is used again when another one has started under its id', async () => {
      leaving.clear();
      full.add('t1');
      for (const node of nodes) {
        for (const entry of entries.slice(0, 1)) {
          node.addTarget({ ...entry, startedAt: 2 });
        }
      }
      await send(kind, 0, REQUESTS);
      expect(arrivals).toContain('t0');
    });

    it('stays unused when its entry is written again', async () => {
      for (const node of nodes) {
        for (const entry of entries.slice(0, 1)) {
          node.addTarget({ ...entry, slots: entry.slots + 1 });
        }
      }
      await send(kind, 0, REQUESTS);
      expect(arrivals).not.toContain('t0');
    });
  });
});
