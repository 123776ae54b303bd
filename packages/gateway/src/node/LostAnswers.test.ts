/**
 * Requests whose answer was lost after they had run, or may have: they must not run again, and their
 * callers must not be told that they did not run.
 */
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { RequestOutcome } from './ForwardedRequest.js';
import {
  answerText,
  attemptOf,
  ForwardingHarness,
  STREAM_HEAD,
  type TargetScript,
} from './ForwardingHarness.js';
import { configuration, ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { ManualClock } from '@tanagerdyke/kernel';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { RequestSender } from './Upstream.js';

const REQUESTS = 8;

/** How a target loses the answer to a request that it ran. */
type Loss = (socket: Socket, request: string) => void;

describe('a request whose answer is lost', () => {
  let harness: ForwardingHarness;
  /** Attempts in the order in which they ran. */
  let ran: string[];

  beforeEach(async () => {
    ran = [];
    harness = new ForwardingHarness();
    await harness.start();
  });

  afterEach(() => harness.stop());

  /** Answers the first request of each connection, runs the next one and loses its answer. */
  function losingLater(loss: Loss): TargetScript {
    const used = new Set<Socket>();
    return (socket, request) => {
      ran.push(attemptOf(request));
      if (used.has(socket)) {
        loss(socket, request);
      } else {
        used.add(socket);
        socket.write(answerText(200, [], 'ok', attemptOf(request)));
      }
    };
  }

  const losses: readonly (readonly [string, Loss])[] = [
    ['the connection is reset', (socket) => socket.resetAndDestroy()],
    ['the connection is closed in order', (socket) => socket.end()],
    [
      'the answer ends within its head',
      (socket) => socket.end('HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nAtt'),
    ],
    [
      'a refusal ends within its body',
      (socket, request) =>
        socket.end(answerText(503, ['Not-Run: 1'], 'refused', attemptOf(request)).slice(0, -3)),
    ],
    [
      'the answer is that to another request',
      (socket) => socket.write(answerText(503, ['Not-Run: 1'], '', 'other')),
    ],
  ];

  describe.each(losses)('since %s, on a kept connection', (_how, loss) => {
    it('runs once, and its caller is not told that it did not run', async () => {
      await harness.addTarget('t1', 'app', losingLater(loss));
      await harness.addTarget('t2', 'app', losingLater(loss));
      const statuses: string[] = [];
      for (let index = 0; index < REQUESTS; index++) {
        const answer = await harness.post('/once/x', [], '', `a${index}`);
        statuses.push(answer.slice(9, 12));
      }
      expect(statuses).toContain('502');
      expect(ran).toHaveLength(REQUESTS);
      expect(new Set(ran).size).toBe(REQUESTS);
      expect(statuses.filter((status) => status !== '200' && status !== '502')).toEqual([]);
    });
  });

  it('is not refused as not run when a second target refuses it', async () => {
    let count = 0;
    const script: TargetScript = (socket, request) => {
      count++;
      if (count === 1) {
        socket.destroy();
      } else {
        socket.write(answerText(503, ['Not-Run: 1'], '', attemptOf(request)));
      }
    };
    for (const id of ['t1', 't2']) {
      await harness.addTarget(id, 'app', script);
      await harness.addTarget(id.replace('t', 'e'), 'engine', script);
    }
    expect(await harness.post('/idempotent/x')).toContain('HTTP/1.1 502');
    count = 0;
    expect(await harness.post('/stream/x', ['Prompt: 10', 'Output: 10'])).toContain('HTTP/1.1 502');
  });

  it('is not refused as not run when its stream had begun without an event', async () => {
    let count = 0;
    const script: TargetScript = (socket, request) => {
      count++;
      if (count === 1) {
        socket.write(STREAM_HEAD);
        setImmediate(() => socket.destroy());
      } else {
        socket.write(answerText(503, ['Not-Run: 1'], '', attemptOf(request)));
      }
    };
    await harness.addTarget('e1', 'engine', script);
    await harness.addTarget('e2', 'engine', script);
    const answer = await harness.post('/stream/x', ['Prompt: 10', 'Output: 10']);
    expect(answer).toContain('HTTP/1.1 502');
  });
});

describe('a stream that may run once', () => {
  it.each([
    ['before its first event', false],
    ['after its first event', true],
  ])('is sent to no other engine when it is lost or silent %s', async (_when, hasEvent) => {
    for (const isSilent of [false, true]) {
      const clock = new ManualClock();
      const caller = new SimulatedCaller();
      let sent = 0;
      const upstream: RequestSender = {
        send: (_target, _connections, _request, observer) => {
          sent++;
          clock.schedule(10, () => {
            observer.onSendStart();
            observer.onHead(200, ['Attempt', 'a1']);
            if (hasEvent) {
              observer.onData(Buffer.from('id: 1\ndata: x\n\n'));
            }
            if (!isSilent) {
              observer.onError(new Error('reset'));
            }
          });
          return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
        },
      };
      const node = new ForwardingFixture({ clock, upstream });
      node.addTarget(targetEntry('e1', 'engine', '10.0.0.1:80'));
      node.addTarget(targetEntry('e2', 'engine', '10.0.0.2:80'));
      const request = simulatedRequest(clock, CallKind.Stream, caller, {
        maxAttempts: 3,
        signal: new AbortController().signal,
      });
      const profile = configuration.services.find(({ name }) => name === 'engine')?.engine;
      if (profile === undefined) {
        throw new Error('the test configuration has no engines');
      }
      const once = { ...request, route: { ...request.route, isResumable: false } };
      const report = forwardStream(node.dependencies, once, profile);
      await clock.advance(10_000);
      const { ending } = await report;
      expect(sent).toBe(1);
      expect(caller.status).not.toBe(503);
      expect(ending).not.toBe(RequestOutcome.Refused);
    }
  });
});
