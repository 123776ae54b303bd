/** Callers that do not behave, and ordinary ones that must not be taken for such, at one front. */
import type { Socket } from 'node:net';
import { SystemClock } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { answerText, attemptOf, ForwardingHarness } from './ForwardingHarness.js';

const HEAD = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n';
const NO_ROUTE_HEAD = HEAD.replace('/once/', '/none/');

describe('the front', () => {
  const clock = new SystemClock();
  let harness: ForwardingHarness;

  beforeEach(async () => {
    harness = new ForwardingHarness();
    await harness.start();
    await harness.addTarget('t1', 'app', (socket, request) => {
      socket.write(answerText(200, [], 'ok', attemptOf(request)));
    });
  });

  afterEach(async () => {
    await harness.stop();
  });

  /** Sends a text, then more once something was answered, and closes the connection after a while. */
  function converse(text: string, more: string, closeAfterMs: number): Promise<string> {
    return harness.send(text, (socket) => {
      socket.once('data', () => socket.write(more));
      setTimeout(() => socket.destroy(), closeAfterMs);
    });
  }

  function writeUntilClosed(socket: Socket, bytes: Buffer): void {
    const next = (): void => {
      while (!socket.destroyed && socket.write(bytes)) {
        // Writes on until the connection takes no more.
      }
    };
    socket.on('drain', next);
    next();
  }

  describe('of an ordinary caller', () => {
    it('forwards a body unchanged that arrives in small chunks', async () => {
      const body = 'abc'.repeat(300);
      const chunks = body.replaceAll('abc', '3\r\nabc\r\n');
      const head = `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
      const answer = await harness.send(`${head}${chunks}0\r\n\r\n`);
      expect(answer).toContain('HTTP/1.1 200');
      expect(harness.received.join('')).toContain(body);
    });

    it('answers before the body has arrived, and serves the next request of the connection', async () => {
      const first = `${NO_ROUTE_HEAD}Content-Length: 30000\r\n\r\n${'x'.repeat(10_000)}`;
      const second = `${HEAD}Connection: close\r\nContent-Length: 0\r\n\r\n`;
      const answer = await converse(first, `${'x'.repeat(20_000)}${second}`, 5_000);
      expect(answer).toMatch(/^HTTP\/1\.1 404.*HTTP\/1\.1 200/s);
    });

    it('answers requests that were sent ahead, in their order', async () => {
      const requests = [1, 2, 3, 4, 5].map((id) =>
        HEAD.replace('a1', `b${id}`).concat('Content-Length: 0\r\n\r\n'),
      );
      const answer = await converse(requests.join(''), '', 1_000);
      const ids = [...answer.matchAll(/Attempt: b(\d)/g)].map(([, id]) => id);
      expect(ids).toEqual(['1', '2', '3', '4', '5']);
    });
  });

  describe('of a caller that does not behave', () => {
    it.each([
      ['with a stated length', NO_ROUTE_HEAD, 'Content-Length: 100000000', 404],
      ['in chunks', NO_ROUTE_HEAD, 'Transfer-Encoding: chunked', 404],
      ['over the limit of the route', HEAD, 'Transfer-Encoding: chunked', 413],
      ['of an unknown key', HEAD.replace('Key: k', 'Key: u'), 'Content-Length: 100000000', 401],
    ])('answers and closes when the body has no end: %s', async (_name, head, framing, status) => {
      const chunk = Buffer.from(`8000\r\n${'x'.repeat(0x8000)}\r\n`);
      const answer = await harness.send(`${head}${framing}\r\n\r\n`, (socket) => {
        writeUntilClosed(socket, chunk);
      });
      expect(answer).toContain(`HTTP/1.1 ${status}`);
      expect(answer).toMatch(/^connection: close/im);
    });

    it('refuses very many header fields', async () => {
      const answer = await converse(`${HEAD}${'a: 1\r\n'.repeat(300)}\r\n`, '', 1_000);
      expect(answer).toContain('HTTP/1.1 431');
    });

    it('refuses a body that stops as not run, at its deadline at the latest', async () => {
      const startedAt = clock.now();
      const answer = await harness.send(`${HEAD}Content-Length: 100\r\n\r\nxxx`);
      expect(answer).toContain('HTTP/1.1 503');
      expect(answer).toMatch(/^retry-after:/im);
      // Not at once, since slow links pause.
      expect(clock.now() - startedAt).toBeGreaterThan(2_000);
      expect(harness.received).toEqual([]);
    });

    it('closes the connection when the answer is not read', async () => {
      const length = 15 * 1024 * 1024;
      const large = new ForwardingHarness();
      await large.start();
      await large.addTarget('t1', 'app', (socket) => {
        socket.write(`HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: ${length}\r\n\r\n`);
        socket.write(Buffer.alloc(length, 'x'));
      });
      let caller: Socket | undefined;
      const ended = large.send(`${HEAD}Content-Length: 0\r\n\r\n`, (socket) => {
        caller = socket;
        socket.pause();
      });
      while (!large.lines.some((line) => line.includes('unread-answer'))) {
        await clock.sleep(100);
      }
      caller?.destroy();
      await ended;
      await large.stop();
    });

    it('closes the connection of very many requests sent ahead, after few of them ran', async () => {
      const requests = `${HEAD}Content-Length: 0\r\n\r\n`.repeat(2_000);
      await converse(requests, '', 1_000);
      expect(harness.received.length).toBeLessThanOrEqual(16);
    });
  });
});
