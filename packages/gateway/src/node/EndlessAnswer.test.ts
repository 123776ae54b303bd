/**
 * Plays targets that send bytes without an end, in each part of an answer, until the connection is
 * closed. Each ends after a bounded number of bytes and a bounded time.
 */
import type { Socket } from 'node:net';
import { SystemClock } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { answerText, ForwardingHarness, STREAM_HEAD } from './ForwardingHarness.js';

const CHUNK = Buffer.alloc(64 * 1024, 'x');
const MIB = 1024 * 1024;
/** Bytes that the buffers of sockets and streams on loopback hold beyond what is read. */
const SOCKET_BUFFER_BYTES = 16 * MIB;
const BUFFERED_ANSWER_BYTES = 16 * MIB;
const EVENT_BYTES = 2 * MIB;
/** Deadline of the requests, and the time after it by which they must have an answer. */
const DEADLINE_MS = 1_000;
const ANSWER_MARGIN_MS = 2_000;

describe('an answer without an end', () => {
  const clock = new SystemClock();
  let harness: ForwardingHarness;
  let written: number;
  /** Resolves when the connection of the endless answer is closed. */
  let closed: Promise<void>;

  beforeEach(async () => {
    written = 0;
    harness = new ForwardingHarness();
    await harness.start();
  });

  afterEach(async () => {
    await harness.stop();
  });

  /** Writes the prefix, then chunks without an end, as fast as they are read. */
  function writeWithoutEnd(
    socket: Socket,
    prefix: string,
    encode = (bytes: Buffer) => bytes,
  ): void {
    closed = new Promise((resolve) => {
      socket.once('close', () => {
        resolve();
      });
    });
    const next = (): void => {
      while (!socket.destroyed) {
        const bytes = encode(CHUNK);
        written += bytes.length;
        if (!socket.write(bytes)) {
          socket.once('drain', next);
          return;
        }
      }
    };
    socket.write(prefix);
    next();
  }

  const chunked = (bytes: Buffer): Buffer =>
    Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]);

  async function expectEnded(path: string, maxBytes: number): Promise<string> {
    const startedAt = clock.now();
    const answer = await harness.post(path, [`Waits: ${DEADLINE_MS}`]);
    expect(clock.now() - startedAt).toBeLessThan(DEADLINE_MS + ANSWER_MARGIN_MS);
    await closed;
    expect(written).toBeLessThan(maxBytes + SOCKET_BUFFER_BYTES);
    return answer;
  }

  /** Expects that the log names the limit, and that the target is not avoided for it. */
  function expectLimit(limit: string): void {
    const failed = harness.lines.filter((line) => line.includes('"request.attempt-failed"'));
    expect(failed).toHaveLength(1);
    expect(JSON.parse(failed[0] ?? '')).toMatchObject({ limit, suspectMs: 0 });
  }

  /**
   * Ways to write a chunk in which most bytes are no payload, or most pieces are small, with the bytes
   * that may be read of them. Payload in small pieces may be as long as any other.
   */
  const PIECES = [
    ['pieces of 1 byte', 6 * BUFFERED_ANSWER_BYTES, '1\r\nx\r\n'],
    ['pieces of 7 bytes', (12 / 7) * BUFFERED_ANSWER_BYTES, '7\r\nxxxxxxx\r\n'],
    [
      'lines of an event, each byte in a piece',
      6 * BUFFERED_ANSWER_BYTES,
      '1\r\nd\r\n1\r\n:\r\n1\r\n\n\r\n',
    ],
    ['chunk extensions', MIB, `1;${'x'.repeat(1_000)}\r\nx\r\n`],
    ["zeros before a chunk's size", MIB, '0'.repeat(1_000)],
  ] as const;

  describe.each([
    ['a call that may not be repeated', '/once/x', 'app'],
    ['a repeatable call', '/idempotent/x', 'app'],
    ['a stream', '/stream/x', 'engine'],
  ])('to %s', (_name, path, service) => {
    it('ends when it comes in the head', async () => {
      await harness.addTarget('t1', service, (socket) => {
        writeWithoutEnd(socket, 'HTTP/1.1 200 OK\r\nAttempt: a1\r\nEndless: ');
      });
      expect(await expectEnded(path, MIB)).toMatch(/^HTTP\/1\.1 50[24]/);
    });

    it('ends when it comes in the status line', async () => {
      await harness.addTarget('t1', service, (socket) => {
        writeWithoutEnd(socket, 'HTTP/1.1 200 ');
      });
      expect(await expectEnded(path, MIB)).toMatch(/^HTTP\/1\.1 50[24]/);
    });

    it('ends when it is informational answers', async () => {
      const informational = Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1_000));
      await harness.addTarget('t1', service, (socket) => {
        writeWithoutEnd(socket, '', () => informational);
      });
      expect(await expectEnded(path, MIB)).toMatch(/^HTTP\/1\.1 50[24]/);
    });

    it('ends when it is no answer at all', async () => {
      await harness.addTarget('t1', service, (socket) => {
        writeWithoutEnd(socket, '');
      });
      expect(await expectEnded(path, MIB)).toMatch(/^HTTP\/1\.1 50[24]/);
    });

    it('ends when it comes in the body of a failure', async () => {
      await harness.addTarget('t1', service, (socket) => {
        writeWithoutEnd(socket, 'HTTP/1.1 500 Failed\r\nAttempt: a1\r\n\r\n');
      });
      expect(await expectEnded(path, BUFFERED_ANSWER_BYTES)).toMatch(/^HTTP\/1\.1 50[24]/);
    });

    // Guards against memory and work that grow with the number of pieces, not with their size.
    it.each([200, 500, 503].flatMap((status) => PIECES.map((each) => [status, ...each] as const)))(
      'ends when a body of status %d comes in %s',
      async (status, _pieces, maxBytes, text) => {
        const unit = Buffer.from(text.repeat(100));
        const refusal = status === 503 ? 'Not-Run: 1\r\n' : '';
        await harness.addTarget('t1', service, (socket) => {
          const head = `HTTP/1.1 ${status} Any\r\nAttempt: a1\r\n${refusal}`;
          writeWithoutEnd(socket, `${head}Transfer-Encoding: chunked\r\n\r\n`, () => unit);
        });
        expect(await expectEnded(path, maxBytes)).toMatch(/^HTTP\/1\.1 50[24]/);
      },
    );

    it('ends when it is empty lines before the status line', async () => {
      await harness.addTarget('t1', service, (socket) => {
        writeWithoutEnd(socket, '', () => Buffer.from('\r\n'.repeat(1_000)));
      });
      expect(await expectEnded(path, MIB)).toMatch(/^HTTP\/1\.1 50[24]/);
    });

    it('does not disturb the answer that it follows', async () => {
      await harness.addTarget('t1', service, (socket) => {
        writeWithoutEnd(socket, answerText(200, [], 'id: 1\ndata: x\n\n'));
      });
      const answer = await expectEnded(path, MIB);
      expect(answer).toContain('HTTP/1.1 200');
      expect(answer.endsWith('id: 1\ndata: x\n\n')).toBe(true);
    });
  });

  it('ends when it comes in the body of a call', async () => {
    await harness.addTarget('t1', 'app', (socket) => {
      writeWithoutEnd(socket, 'HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n');
    });
    expect(await expectEnded('/once/x', BUFFERED_ANSWER_BYTES)).toContain('HTTP/1.1 502');
    expectLimit('answer-bytes');
  });

  it('ends when it comes in one event of a stream', async () => {
    await harness.addTarget('t1', 'engine', (socket) => {
      writeWithoutEnd(socket, STREAM_HEAD, chunked);
    });
    expect(await expectEnded('/stream/x', EVENT_BYTES)).toContain('HTTP/1.1 502');
    expectLimit('event-bytes');
  });

  it('ends at the deadline, and looks incomplete, when it is events of a stream', async () => {
    const event = Buffer.from('data: x\n\n'.repeat(1_000));
    await harness.addTarget('t1', 'engine', (socket) => {
      writeWithoutEnd(socket, STREAM_HEAD, () => chunked(event));
    });
    const startedAt = clock.now();
    const answer = await harness.post('/stream/x', [`Waits: ${DEADLINE_MS}`]);
    expect(clock.now() - startedAt).toBeLessThan(DEADLINE_MS + ANSWER_MARGIN_MS);
    expect(answer.endsWith('0\r\n\r\n')).toBe(false);
    await closed;
  });

  it('of several calls at once takes bounded memory, and small answers still pass', async () => {
    const CALLS = 12;
    const MAX_TOGETHER_BYTES = 32 * MIB;
    let isEndless = true;
    await harness.addTarget('t1', 'app', (socket) => {
      if (isEndless) {
        // Below the limit of one answer, and without an end.
        socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n');
        for (let sent = 0; sent < 12 * MIB; sent += CHUNK.length) {
          written += CHUNK.length;
          socket.write(CHUNK);
        }
      } else {
        socket.write(answerText(200, [], 'ok'));
      }
    });
    const endless = Array.from({ length: CALLS }, () =>
      harness.post('/once/x', [`Waits: ${DEADLINE_MS}`]),
    );
    await clock.sleep(DEADLINE_MS / 2);
    isEndless = false;
    const small = await harness.post('/once/x', [`Waits: ${DEADLINE_MS}`]);
    expect(small).toContain('HTTP/1.1 200');
    expect(harness.bufferedBytes).toBeLessThanOrEqual(MAX_TOGETHER_BYTES);
    expect(harness.bufferedBytes).toBeGreaterThan(0);
    const answers = await Promise.all(endless);
    const others = answers.filter((each) => !/^HTTP\/1\.1 50[24]/.test(each));
    expect(others).toEqual([]);
    expect(harness.bufferedBytes).toBe(0);
  });
});
