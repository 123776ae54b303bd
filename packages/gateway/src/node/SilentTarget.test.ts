/** Requests to a target whose open connections go silent for good while new ones work. */
import { createServer, type Server } from 'node:http';
import { closeServer, FaultProxy, listenOnLoopback } from '@tanagerdyke/fakes';
import { SystemClock } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AnswerBuffers } from './AnswerBuffers.js';
import { type BufferedOutcome, exchangeBuffered } from './BufferedExchange.js';
import { targetEntry, testDialect } from './ForwardingFixture.js';
import { directConnections } from './paths/DirectConnections.js';
import { Upstream } from './Upstream.js';

const CONNECTIONS = 4;
const WORK_MS = 100;
/** Longer than any answer takes on a busy machine. */
const TIMEOUT_MS = 3_000;

describe('a target whose connections went silent', () => {
  const clock = new SystemClock();
  let server: Server;
  let proxy: FaultProxy;
  let upstream: Upstream;
  let address: string;

  beforeEach(async () => {
    server = createServer((_request, response) => {
      void clock.sleep(WORK_MS).then(() => response.end('answer'));
    });
    // Connections stay usable throughout the test.
    server.keepAliveTimeout = 60_000;
    proxy = new FaultProxy(await listenOnLoopback(server));
    address = `127.0.0.1:${await proxy.listen()}`;
    upstream = new Upstream(directConnections(clock));
  });

  afterEach(async () => {
    upstream.dispose();
    proxy.close();
    server.closeAllConnections();
    await closeServer(server);
  });

  function send(): Promise<BufferedOutcome> {
    return exchangeBuffered({
      clock,
      dialect: testDialect,
      upstream,
      target: targetEntry('t', 'app', address),
      connections: CONNECTIONS,
      request: { method: 'POST', path: '/', headers: [], body: Buffer.alloc(0), attemptId: 'a1' },
      findObstacle: () => undefined,
      onAnswerHead: () => undefined,
      attemptId: undefined,
      signal: new AbortController().signal,
      timeoutAt: clock.now() + TIMEOUT_MS,
      deadlineAt: clock.now() + TIMEOUT_MS,
      findReplacement: () => false,
      answerBuffers: new AnswerBuffers(),
    });
  }

  it('loses one request, and answers those after it on new connections', async () => {
    await Promise.all(Array.from({ length: CONNECTIONS }, send));
    proxy.silenceOpenConnections();
    expect(await send()).toMatchObject({ answer: undefined, isTimeout: true });
    for (let count = 0; count < CONNECTIONS; count++) {
      expect(await send()).toMatchObject({ answer: { body: Buffer.from('answer') } });
    }
  });
});
