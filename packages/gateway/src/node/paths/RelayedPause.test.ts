/**
 * Targets that ask a node for a pause while it relays connections of other nodes to them, between real
 * sockets. The target sees the node that relays as the sender.
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
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../../common/Messages.js';
import { forwardCall } from '../CallForwarder.js';
import { RequestOutcome, type RequestReport } from '../ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from '../ForwardingFixture.js';
import { answerText } from '../ForwardingHarness.js';
import { SimulatedCaller, simulatedRequest } from '../SimulatedCaller.js';
import { TargetConnections } from './TargetConnections.js';

/** Time passes this much more slowly, so that no time limit depends on the machine's speed. */
const SLOWDOWN = 4;
/** Time on the clock after which nodes must keep a pause. */
const NOTICE_MS = 400;
const MAX_IN_PAUSE = 2;
const NODES_BEHIND = 3;

/** A node with its connections to targets; `relay` reaches them by its own link. */
interface TestNode {
  readonly fixture: ForwardingFixture;
  readonly connections: TargetConnections;
}

describe('a target that asks a relaying node for a pause', () => {
  const clock = new SlowClock(SLOWDOWN);
  let servers: Server[];
  let arrivals: string[];
  let isPausing: boolean;
  let relayPort: number;
  let nodes: TestNode[];
  let relay: TestNode;
  let behind: readonly TestNode[];

  beforeEach(async () => {
    servers = [];
    arrivals = [];
    nodes = [];
    isPausing = false;
    const probe = createServer();
    relayPort = await listenOnLoopback(probe);
    await closeServer(probe);
    relay = createNode('relay', true);
    await relay.connections.listen();
    behind = Array.from({ length: NODES_BEHIND }, (_each, index) => createNode(`n${index}`, false));
    await addTarget('t0', (socket) => {
      socket.write(
        isPausing ? answerText(503, ['Not-Run: 1', 'Pause: 20000'], '') : answerText(200, [], ''),
      );
    });
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

  async function addTarget(id: string, answer: (socket: Socket) => void): Promise<void> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        arrivals.push(id);
        answer(socket);
      });
    });
    servers.push(server);
    const entry = targetEntry(id, 'app', `127.0.0.1:${await listenOnLoopback(server)}`);
    for (const { fixture } of nodes) {
      fixture.addTarget(entry);
    }
  }

  function call({ fixture }: TestNode): Promise<RequestReport> {
    const request = simulatedRequest(clock, CallKind.NonIdempotent, new SimulatedCaller(), {
      maxAttempts: 2,
      signal: new AbortController().signal,
    });
    return forwardCall(fixture.dependencies, request);
  }

  /** Opens a connection of each node, then lets the target ask for a pause. */
  async function pauseAt(node: TestNode): Promise<void> {
    await Promise.all(nodes.map(call));
    isPausing = true;
    await call(node);
    await clock.sleep(NOTICE_MS);
    arrivals = [];
  }

  it('by a request of another node gets at most two from all nodes through it', async () => {
    await pauseAt(behind[0] ?? relay);
    await Promise.all([...nodes, ...nodes].map(call));
    expect(arrivals.length).toBeLessThanOrEqual(MAX_IN_PAUSE);
  });

  it('by a request of its own gets at most two from all nodes through it', async () => {
    await pauseAt(relay);
    await Promise.all(behind.map(call));
    expect(arrivals.length).toBeLessThanOrEqual(MAX_IN_PAUSE);
  });

  it('gets nothing over connections that are opened during the pause', async () => {
    isPausing = true;
    await call(relay);
    await clock.sleep(NOTICE_MS);
    arrivals = [];
    await Promise.all(behind.map(call));
    expect(arrivals.length).toBeLessThanOrEqual(MAX_IN_PAUSE);
  });

  it('leaves callers of the other nodes to other targets', async () => {
    await pauseAt(relay);
    await addTarget('t1', (socket) => {
      socket.write(answerText(200, [], ''));
    });
    const reports = await Promise.all(behind.map(call));
    expect(reports.map(({ ending }) => ending)).toEqual(behind.map(() => RequestOutcome.Answered));
    expect(arrivals.filter((id) => id === 't0').length).toBeLessThanOrEqual(MAX_IN_PAUSE);
  });
});
