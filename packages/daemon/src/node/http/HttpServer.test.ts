/** The HTTP front against malformed requests and stalling clients. */
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

describe('HttpFront', () => {
  describe('malformed requests', () => {
    it('answers bytes that are not HTTP', async () => {
      const server = await startServer();
      const problem = await sendForProblem(server, 'no such protocol\r\n\r\n');
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.BadRequest, status: 400 });
      const counted = server.metrics.count('tanager_refusals_total', { kind: 'bad-request' });
      expect(counted).toBe(1);
    });

    it('answers headers over the limit', async () => {
      const server = await startServer({ headerBytes: 1_024 });
      const bytes = `GET /healthz HTTP/1.1\r\nhost: n\r\nx: ${'x'.repeat(4_096)}\r\n\r\n`;
      const problem = await sendForProblem(server, bytes);
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 431 });
    });

    it('answers a body over the limit', async () => {
      const server = await startServer({ bodyBytes: 1_024 });
      const problem = await sendForProblem(server, post('/v1/completions', 'x'.repeat(2_048)));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 413 });
    });

    it('answers a chunked body over the limit', async () => {
      const server = await startServer({ bodyBytes: 1_024 });
      const head = `POST /v1/completions HTTP/1.1\r\nhost: n\r\nconnection: close\r\nauthorization: Bearer ${TOKEN}\r\n`;
      const bytes = `${head}transfer-encoding: chunked\r\n\r\n800\r\n${'x'.repeat(2_048)}\r\n0\r\n\r\n`;
      const problem = await sendForProblem(server, bytes);
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 413 });
    });

    it.each([
      ['JSON that does not parse', '{"model":'],
      ['a key that is not known', '{"model":"answers","prompt":"p","extra":1}'],
      ['bytes that are not UTF-8', Buffer.from([0x22, 0xff, 0xfe, 0x22])],
    ])('answers %s', async (_name, body) => {
      const problem = await sendForProblem(await startServer(), post('/v1/completions', body));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.BadRequest, status: 400 });
    });

    it('answers a prompt over the limit of its model', async () => {
      const prompt = [{ digest: 'd', tokens: MODEL_LIMIT + 1 }];
      const problem = await sendForProblem(
        await startServer(),
        post('/v1/completions', completion(prompt)),
      );
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.TooLarge, status: 413 });
    });

    it('answers a resource that does not exist', async () => {
      const problem = await sendForProblem(await startServer(), post('/v1/nothing', ''));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.NotFound, status: 404 });
    });

    it('answers a defect without its details', async () => {
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
    it('answers one that does not finish its headers', async () => {
      const server = await startServer({ headersTimeoutMs: 20 });
      const problem = await sendForProblem(server, 'GET /healthz HTTP/1.1\r\nhost: n\r\n');
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.RequestTimeout, status: 408 });
    });

    it('answers one that does not finish its body', async () => {
      const server = await startServer({ headersTimeoutMs: 20, requestTimeoutMs: 40 });
      const bytes = post('/v1/completions', 'x', ['x: y']).toString();
      const problem = await sendForProblem(server, bytes.replace('length: 1', 'length: 9'));
      expect(problem).toMatchObject({ ...NOT_RUN, kind: ErrorKind.RequestTimeout, status: 408 });
    });

    it('closes an idle connection', async () => {
      const server = await startServer({ idleTimeoutMs: 20 });
      const received = await send(server, 'GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n').received;
      expect(received).toContain('HTTP/1.1 200 OK');
    });

    it('answers one that half-closes within its body', async () => {
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

    it('answers one that half-closes after its request', async () => {
      const { received, socket } = send(
        await startServer(),
        post('/v1/completions', completion('p')),
      );
      socket.end();
      expect(await received).toContain('event: end');
    });
  });
});
