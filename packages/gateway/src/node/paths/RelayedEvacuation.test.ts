/**
 * The evacuation of a zone while a node relays connections of others to its targets, between real
 * sockets. The others may learn of the evacuation later than the node that relays.
 */
import { createServer, type Server, type Socket } from 'node:net';
import {
  closeServer,
  FixedMembership,
  listenOnLoopback,
  memberOf,
  SlowClock,
} from '@tanagerdyke/fakes';
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { CallKind } from '../../common/Messages.js';
import { forwardCall } from '../CallForwarder.js';
import { RequestOutcome, type RequestReport } from '../ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from '../ForwardingFixture.js';
import { answerText } from '../ForwardingHarness.js';
import { SimulatedCaller, simulatedRequest } from '../SimulatedCaller.js';
import { TargetConnections } from './TargetConnections.js';

/** Time passes this much more slowly, so that no time limit depends on the machine's speed. */
const SLOWDOWN = 8;
/**
 * Time on the clock after which the notice of the relaying node has arrived. Shorter than an idle
 * connection is kept, which would be closed without the notice as well.
 */
const NOTICE_MS = 25;
const ZONE = 'x';

interface TestNode {
  readonly fixture: ForwardingFixture;
  readonly connections: TargetConnections;
}

describe('an evacuated zone behind a relaying node', () => {
  const clock = new SlowClock(SLOWDOWN);
  let servers: Server[];
  let arrivals: string[];
  let sockets: Socket[];
  let nodes: TestNode[];
  let relayPort: number;
  let relay: TestNode;
  let behind: TestNode;
  let answersAtOnce: boolean;

  beforeEach(async () => {
    servers = [];
    arrivals = [];
    sockets = [];
    nodes = [];
    answersAtOnce = true;
    const probe = createServer();
    relayPort = await listenOnLoopback(probe);
    await closeServer(probe);
    relay = createNode('relay', true);
    await relay.connections.listen();
    behind = createNode('behind', false);
    await addTarget('t0', ZONE);
  });

  afterEach(async () => {
    for (const { connections } of nodes) {
      connections.dispose();
    }
    await Promise.all(servers.map(closeServer));
  });

  function createNode(name: string, reachesTargets: boolean): TestNode {
    const fixture: ForwardingFixture = new ForwardingFixture({
      clock,
      upstream: { send: (...values) => connections.upstream.send(...values) },
    });
    const members = [memberOf(name, '127.0.0.1:1'), memberOf('relay', '127.0.0.1:1')] as const;
    const connections = new TargetConnections({
      ...fixture.dependencies,
      membership: new FixedMembership(members[0], members),
      relayAddress: `127.0.0.1:${relayPort}`,
      isDraining: () => false,
      ...(!reachesTargets && { openOwnLink: () => Promise.resolve(Result.err('the link is cut')) }),
    });
    const node = { fixture, connections };
    nodes.push(node);
    return node;
  }

  async function addTarget(id: string, availabilityZone: string): Promise<void> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        arrivals.push(id);
        sockets.push(socket);
        if (answersAtOnce) {
          socket.write(answerText(200, [], 'ok'));
        }
      });
    });
    servers.push(server);
    const address = `127.0.0.1:${await listenOnLoopback(server)}`;
    for (const { fixture } of nodes) {
      fixture.addTarget({ ...targetEntry(id, 'app', address), availabilityZone });
    }
  }

  function call(caller = new SimulatedCaller()): Promise<RequestReport> {
    const request = simulatedRequest(clock, CallKind.NonIdempotent, caller, {
      maxAttempts: 2,
      signal: new AbortController().signal,
    });
    return forwardCall(behind.fixture.dependencies, request);
  }

  /** The first connection is closed after its answer, as the own link is found lost meanwhile. */
  async function openKeptConnection(): Promise<void> {
    await call();
    await call();
  }

  it('gets no further request over a kept connection, which the relaying node retires', async () => {
    await openKeptConnection();
    expect(relay.connections.relayed).toBe(1);
    await addTarget('t1', 'y');
    relay.fixture.evacuate(ZONE);
    await clock.sleep(NOTICE_MS);
    arrivals = [];
    expect(await call()).toMatchObject({ ending: RequestOutcome.Answered, targets: 't0 t1' });
    expect(arrivals).toEqual(['t1']);
  });

  it('gets no request over a kept connection when only the node behind knows', async () => {
    await openKeptConnection();
    behind.fixture.evacuate(ZONE);
    arrivals = [];
    expect(await call()).toMatchObject({ ending: RequestOutcome.Refused });
    expect(arrivals).toEqual([]);
  });

  it('answers the request that is on a connection when it is evacuated', async () => {
    answersAtOnce = false;
    const caller = new SimulatedCaller();
    const report = call(caller);
    await vi.waitFor(() => {
      expect(arrivals).toEqual(['t0']);
    });
    const text = answerText(200, [], 'a long answer');
    sockets[0]?.write(text.slice(0, -8));
    relay.fixture.evacuate(ZONE);
    behind.fixture.evacuate(ZONE);
    await clock.sleep(NOTICE_MS);
    sockets[0]?.write(text.slice(-8));
    expect(await report).toMatchObject({ ending: RequestOutcome.Answered });
    expect(caller.body).toBe('a long answer');
  });

  it('gets no new connection', async () => {
    relay.fixture.evacuate(ZONE);
    expect(await call()).toMatchObject({ ending: RequestOutcome.Refused });
    expect(relay.connections.relayed).toBe(0);
    expect(arrivals).toEqual([]);
  });
});
