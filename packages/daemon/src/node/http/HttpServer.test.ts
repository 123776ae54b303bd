/** Tests of the HTTP server with malformed requests and stalling clients. */
import { ErrorKind, NotRun } from '@tanagerdyke/kernel';
import { afterEach, describe, expect, it } from 'vitest';
import {
  completion,
  MODEL_LIMIT,
  OPERATOR_TOKEN,
  post,
  sendForProblem,
  parseProblemResponse,
  send,
  startServer,
  stopAll,
  TOKEN,
} from './HttpServerHarness.js';

afterEach(stopAll);

const NOT_RUN = { notRun: NotRun.True };

describe('HttpServer', () => {
  describe('malformed requests', () => {
    it('responds to bytes that are not HTTP with status 400 and counts one refusal', async () => {
      const server = await startServer();
      const problem = await sendForProblem(server, 'no such protocol\r\n\r\n');
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.BadRequest, status: 400 });
      const counted = server.metrics.count('tanager_refusals_total', { kind: 'bad-request' });
      expect(counted).toBe(1);
    });

    it('responds to headers over the limit with status 431', async () => {
      const server = await startServer({ headerBytes: 1_024 });
      const bytes = `GET /healthz HTTP/1.1\r\nhost: n\r\nx: ${'x'.repeat(4_096)}\r\n\r\n`;
      const problem = await sendForProblem(server, bytes);
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 431 });
    });

    it('responds to a body over the limit with status 413', async () => {
      const server = await startServer({ bodyBytes: 1_024 });
      const problem = await sendForProblem(server, post('/v1/completions', 'x'.repeat(2_048)));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 413 });
    });

    it('responds to a chunked body over the limit with status 413', async () => {
      const server = await startServer({ bodyBytes: 1_024 });
      const head = `POST /v1/completions HTTP/1.1\r\nhost: n\r\nconnection: close\r\nauthorization: Bearer ${TOKEN}\r\n`;
      const bytes = `${head}transfer-encoding: chunked\r\n\r\n800\r\n${'x'.repeat(2_048)}\r\n0\r\n\r\n`;
      const problem = await sendForProblem(server, bytes);
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 413 });
    });

    it.each([
      ['JSON that does not parse', '{"model":'],
      ['an unknown key', '{"model":"answers","prompt":"p","extra":1}'],
      ['bytes that are not UTF-8', Buffer.from([0x22, 0xff, 0xfe, 0x22])],
    ])('responds to %s with status 400', async (_name, body) => {
      const problem = await sendForProblem(await startServer(), post('/v1/completions', body));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.BadRequest, status: 400 });
    });

    it('responds to a prompt over the limit of its model with status 413', async () => {
      const prompt = [{ digest: 'd', tokens: MODEL_LIMIT + 1 }];
      const problem = await sendForProblem(
        await startServer(),
        post('/v1/completions', completion(prompt)),
      );
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 413 });
    });

    it('responds to an unknown path with status 404', async () => {
      const problem = await sendForProblem(await startServer(), post('/v1/nothing', ''));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.NotFound, status: 404 });
    });

    it('responds to an unexpected error with status 500 and without its details', async () => {
      const body = JSON.stringify({ id: 'i', base: 0, upserts: [], removals: [] });
      const bytes = post('/v1/operator/configuration', body)
        .toString()
        .replace(TOKEN, OPERATOR_TOKEN);
      const problem = await sendForProblem(await startServer(), bytes);
      expect(problem).toMatchObject({ kind: ErrorKind.Internal, status: 500, notRun: 'unknown' });
      expect(JSON.stringify(problem)).not.toContain('breaks');
    });
  });

  describe('clients that stall', () => {
    it('get status 408 when they do not finish their headers', async () => {
      const server = await startServer({ headersTimeoutMs: 20 });
      const problem = await sendForProblem(server, 'GET /healthz HTTP/1.1\r\nhost: n\r\n');
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.RequestTimeout, status: 408 });
    });

    it('get status 408 when they do not finish their body', async () => {
      const server = await startServer({ headersTimeoutMs: 20, requestTimeoutMs: 40 });
      const bytes = post('/v1/completions', 'x', ['x: y']).toString();
      const problem = await sendForProblem(server, bytes.replace('length: 1', 'length: 9'));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.RequestTimeout, status: 408 });
    });

    it('are disconnected when their connection is idle after a response', async () => {
      const server = await startServer({ idleTimeoutMs: 20 });
      const received = await send(server, 'GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n').received;
      expect(received).toContain('HTTP/1.1 200 OK');
    });

    it('get a problem document when they half-close before the end of their body', async () => {
      const { received, socket } = send(
        await startServer(),
        post('/v1/completions', 'x').toString().replace('length: 1', 'length: 9'),
      );
      socket.end();
      expect(parseProblemResponse(await received)).toMatchObject({
        ...NOT_RUN,
        kind: ErrorKind.BadRequest,
      });
    });

    it('get the whole answer when they half-close after their request', async () => {
      const { received, socket } = send(
        await startServer(),
        post('/v1/completions', completion('p')),
      );
      socket.end();
      expect(await received).toContain('event: end');
    });
  });
});
