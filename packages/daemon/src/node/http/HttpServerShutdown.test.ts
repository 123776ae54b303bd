/**
 * Tests of the HTTP server at its connection limit, at shutdown of its node, and of its metrics.
 */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { v7 as uuidv7 } from 'uuid';
import { afterEach, describe, expect, it } from 'vitest';
import {
  failAfter,
  completion,
  floodForever,
  hangAfterFirst,
  post,
  parseProblemResponse,
  send,
  startServer,
  stopAll,
  waitUntilIdle,
  waitUntilRunning,
} from './HttpServerHarness.js';

afterEach(stopAll);

const NOT_RUN = { notRun: NotRun.True };

describe('HttpServer', () => {
  describe('connections over the limit', () => {
    it('get their request refused with a retry time', async () => {
      const server = await startServer({ connections: 1 });
      const { socket } = send(server, 'GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n');
      await new Promise((resolve) => socket.once('data', resolve));
      const received = await send(server, 'GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n').received;
      expect(received).toMatch(/retry-after: 1\r\n/i);
      expect(parseProblemResponse(received)).toMatchObject({
        ...NOT_RUN,
        kind: ErrorKind.Overloaded,
      });
    });
  });

  describe('requests in flight at shutdown', () => {
    it('end with an error event when they are streamed', async () => {
      const server = await startServer({}, hangAfterFirst);
      const { received, socket } = send(server, post('/v1/completions', completion('p')));
      await new Promise((resolve) => socket.once('data', resolve));
      server.node.requests.abortAll();
      const text = await received;
      expect(text).toContain('event: error');
      expect(text).toContain(`"kind":"${ErrorKind.Draining}"`);
      expect(text).toContain('"notRun":"false"');
      expect(server.node.requests.running).toBe(0);
    });

    it.each([
      ['a completion that is not streamed', '/v1/completions', completion('p', false)],
      ['a call', '/v1/routes/reorders/calls', '{}'],
    ])('end with a problem document: %s', async (_name, path, body) => {
      const server = await startServer({}, hangAfterFirst);
      const { received } = send(server, post(path, body, [`idempotency-key: ${uuidv7()}`]));
      await waitUntilRunning(server);
      server.node.requests.abortAll();
      expect(parseProblemResponse(await received)).toMatchObject({
        kind: ErrorKind.Draining,
        status: 503,
      });
    });

    it('receive their final answers before the server closes', async () => {
      const server = await startServer({}, hangAfterFirst);
      const { received, socket } = send(server, post('/v1/completions', completion('p')));
      await new Promise((resolve) => socket.once('data', resolve));
      server.node.requests.abortAll();
      await server.httpServer.close();
      expect(await received).toContain('event: error');
    });
  });

  describe('a client that does not read', () => {
    it('is disconnected after the deadline', async () => {
      const server = await startServer({}, floodForever);
      const deadline = ['tanager-deadline-ms: 50'];
      const { socket } = send(server, post('/v1/completions', completion('p'), deadline));
      socket.pause();
      await waitUntilRunning(server);
      await waitUntilIdle(server);
      expect(server.node.requests.running).toBe(0);
    });
  });

  describe('a completion whose frame source throws', () => {
    it.each([0, 1])('is no longer counted as running after %i frames', async (frames) => {
      const server = await startServer({}, () => failAfter(frames));
      const { received } = send(server, post('/v1/completions', completion('p')));
      await received;
      expect(server.node.requests.running).toBe(0);
    });
  });

  describe('metrics and events', () => {
    it('label a short prompt as short and name its workspace', async () => {
      const server = await startServer();
      await send(server, post('/v1/completions', completion('p'))).received;
      expect(server.metrics.count('tanager_requests_total', { class: 'short' })).toBe(1);
      const events = server.timeLine.read(0, 10);
      expect(events[0]).toMatchObject({
        name: 'completion.admitted',
        fields: { workspace: 'w', class: 'short', route: 'answers' },
      });
    });

    it('count a refusal once', async () => {
      const refusal = new ServiceError(ErrorKind.Overloaded, 'full', { remedy: 'come back' });
      const server = await startServer({}, async function* () {
        await Promise.resolve();
        yield Result.err(refusal);
      });
      await send(server, post('/v1/completions', completion('p'))).received;
      expect(server.metrics.count('tanager_refusals_total', { kind: 'overloaded' })).toBe(1);
    });
  });
});
