/**
 * Requests that were cut off without an answer during a planned stop: at a front that drains, closes and
 * ends, over real connections. When it does so is decided in `DrainSchedule`.
 */
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  answerText,
  attemptOf,
  chunkOf,
  ForwardingHarness,
  STREAM_END,
  STREAM_HEAD,
} from './ForwardingHarness.js';

const EVENT = 'id: 1\ndata: event\n\n';
/** More than the buffers of a connection hold. */
const LARGE_BYTES = 12 * 1024 * 1024;
/** Time in which a node that accepts requests again would forward one. */
const REOPENED_MS = 100;
/** Connections that a front opens to a target of the test configuration at most. */
const CONNECTIONS = 42;

describe('a planned stop', () => {
  let harness: ForwardingHarness;
  let held: { readonly socket: Socket; readonly attempt: string }[];

  beforeEach(async () => {
    harness = new ForwardingHarness();
    held = [];
    await harness.start();
  });

  afterEach(() => harness.stop());

  function drain(): void {
    harness.isDraining = true;
  }

  /** Refuses new requests, as a node does when others have taken over. */
  function refuse(): void {
    drain();
    harness.isClosed = true;
    harness.front.refuseIncomplete();
  }

  /** Ends the front, as a node does before its process exits. */
  function end(): void {
    drain();
    harness.isClosed = true;
    harness.front.close();
  }

  async function holdingTarget(service: string): Promise<void> {
    await harness.addTarget('holding', service, (socket, request) => {
      held.push({ socket, attempt: attemptOf(request) });
    });
  }

  function expectRefusedAsNotRun(answer: string): void {
    expect(answer).toContain('HTTP/1.1 503');
    expect(answer).toMatch(/^retry-after: /im);
    expect(answer).toContain('draining');
  }

  describe('of a node that drains', () => {
    it('answers a request on a new connection and closes the connection after it', async () => {
      await harness.addTarget('t1', 'app', (socket) => socket.write(answerText(200, [], 'ok')));
      drain();
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n';
      const answer = await harness.send(`${head}Content-Length: 0\r\n\r\n`);
      expect(answer).toContain('HTTP/1.1 200');
      expect(answer).toMatch(/^connection: close/im);
    });

    it('answers the request in flight on a kept connection, and the next one', async () => {
      await harness.addTarget('t1', 'app', (socket, request) => {
        const attempt = attemptOf(request);
        drain();
        socket.write(answerText(200, [], `answer ${attempt}`, attempt));
      });
      const requestOf = (attempt: string): string =>
        `POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: ${attempt}\r\nContent-Length: 0\r\n\r\n`;
      const answer = await harness.send(requestOf('a1'));
      expect(answer).toContain('answer a1');
      expect(answer).toMatch(/^connection: close/im);
    });

    it('ends a request that is accepted late by the time at which the node ends', async () => {
      await holdingTarget('app');
      drain();
      harness.lastAnswerAt = harness.clock.now() + 300;
      const startedAt = harness.clock.now();
      expect(await harness.post('/once/x')).toContain('HTTP/1.1 504');
      expect(harness.clock.now() - startedAt).toBeLessThan(2_500);
    });

    it('is not idle while the answer to a slow reader is incomplete', async () => {
      const body = 'x'.repeat(LARGE_BYTES);
      await harness.addTarget('t1', 'app', (socket) => socket.write(answerText(200, [], body)));
      let reader: Socket | undefined;
      const answer = harness.post('/once/x', [], '', 'a1');
      const slow = harness.send(
        'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\nConnection: close\r\n\r\n',
        (socket) => {
          reader = socket;
          socket.pause();
        },
      );
      await answer;
      await vi.waitFor(() => {
        expect(harness.lines.filter((line) => line.includes('request.finished'))).toHaveLength(2);
      });
      expect(harness.front.running).toBe(1);
      reader?.resume();
      expect((await slow).length).toBeGreaterThan(LARGE_BYTES);
      await vi.waitFor(() => {
        expect(harness.front.running).toBe(0);
      });
    });
  });

  describe('of a node that refuses new requests', () => {
    it('refuses one that may last until after its end, while it still accepts brief ones', async () => {
      await harness.addTarget('t1', 'app', (socket) => socket.write(answerText(200, [], 'ok')));
      harness.isLate = true;
      harness.lastAnswerAt = harness.clock.now() + 1_000;
      expectRefusedAsNotRun(await harness.post('/once/x', ['waits: 3000']));
      expect(harness.received).toEqual([]);
      expect(await harness.post('/once/x', ['waits: 500'])).toContain('HTTP/1.1 200');
    });

    it('refuses a request whose body is incomplete at once, and reads the rest', async () => {
      await harness.addTarget('t1', 'app', (socket) => socket.write(answerText(200, [], 'ok')));
      let caller: Socket | undefined;
      let text = '';
      const answer = harness.send(
        'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\nContent-Length: 900\r\n\r\nhalf',
        (socket) => {
          caller = socket;
          socket.on('data', (chunk) => {
            text += chunk.toString('latin1');
          });
        },
      );
      await vi.waitFor(() => {
        expect(harness.front.running).toBe(1);
      });
      refuse();
      await vi.waitFor(() => {
        expectRefusedAsNotRun(text);
      });
      // The connection is not reset under a caller that still sends.
      expect(caller?.destroyed).toBe(false);
      caller?.write('x'.repeat(896));
      caller?.write(
        'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a2\r\nContent-Length: 0\r\n\r\n',
      );
      expect((await answer).match(/HTTP\/1\.1 503/g)).toHaveLength(2);
      expect(harness.received).toEqual([]);
    });

    it('does not forward a request whose body is completed afterwards', async () => {
      await harness.addTarget('t1', 'app', (socket) => socket.write(answerText(200, [], 'ok')));
      const answer = harness.send(
        'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: 8\r\n\r\nhalf',
        (socket) => {
          void vi
            .waitFor(() => {
              expect(harness.front.running).toBe(1);
            })
            .then(() => {
              harness.isDraining = true;
              harness.isClosed = true;
              socket.write('rest');
            });
        },
      );
      expectRefusedAsNotRun(await answer);
      expect(harness.received).toEqual([]);
    });

    // Guards against an answered request that is forwarded since the node accepts requests again.
    it.each([
      ['a stated length', 'Content-Length: 8\r\n\r\nhalf', 'rest'],
      ['chunks', 'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', '4\r\nrest\r\n0\r\n\r\n'],
    ])('forwards none of them when it accepts requests again: %s', async (_name, first, rest) => {
      await harness.addTarget('t1', 'app', (socket) => socket.write(answerText(200, [], 'ok')));
      let caller: Socket | undefined;
      let text = '';
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n';
      const answer = harness.send(`${head}${first}`, (socket) => {
        caller = socket;
        socket.on('data', (chunk) => {
          text += chunk.toString('latin1');
        });
      });
      await vi.waitFor(() => {
        expect(harness.front.running).toBe(1);
      });
      refuse();
      await vi.waitFor(() => {
        expectRefusedAsNotRun(text);
      });
      harness.isClosed = false;
      caller?.write(rest);
      await harness.clock.sleep(REOPENED_MS);
      caller?.end();
      await answer;
      expect(harness.received).toEqual([]);
      await vi.waitFor(() => {
        expect(harness.lines.join()).toContain('own-503');
      });
    });

    it('does not stay for callers that it refuses', async () => {
      // Guards against nodes that stay to the end, so that all of them are away at the same time.
      const { lastRequestAt } = harness.front;
      refuse();
      expectRefusedAsNotRun(await harness.post('/once/x'));
      expect(harness.front.lastRequestAt).toBe(lastRequestAt);
    });

    it('goes on with a request that it forwards', async () => {
      await holdingTarget('app');
      const answer = harness.post('/once/x');
      await vi.waitFor(() => {
        expect(held).toHaveLength(1);
      });
      refuse();
      held[0]?.socket.write(answerText(200, [], 'whole'));
      expect(await answer).toContain('whole');
    });
  });

  describe('of a node that ends', () => {
    it('answers a call that may have run as such', async () => {
      await holdingTarget('app');
      const answer = harness.post('/once/x');
      await vi.waitFor(() => {
        expect(held).toHaveLength(1);
      });
      end();
      expect(await answer).toContain('HTTP/1.1 502');
      const [line = ''] = harness.lines.filter((each) => each.includes('request.finished'));
      expect(JSON.parse(line)).toMatchObject({ ending: 'node-ended', execution: 'may-have-run' });
    });

    it('answers calls that wait for a connection as not run', async () => {
      await holdingTarget('app');
      const count = CONNECTIONS + 10;
      const answers = Array.from({ length: count }, (_each, index) =>
        harness.post('/once/x', [], '', `a${index}`),
      );
      await vi.waitFor(() => {
        expect(held).toHaveLength(CONNECTIONS);
        expect(harness.front.running).toBe(count);
      });
      await new Promise((resolve) => setTimeout(resolve, 50));
      end();
      const texts = await Promise.all(answers);
      expect(texts.filter((text) => text.includes('HTTP/1.1 502'))).toHaveLength(CONNECTIONS);
      texts.filter((text) => !text.includes('HTTP/1.1 502')).forEach(expectRefusedAsNotRun);
    });

    it('answers prompts that wait for capacity as not run', async () => {
      await holdingTarget('engine');
      // As many as the engine has slots.
      const running = Array.from({ length: 4 }, (_each, index) =>
        harness.post('/stream/x', ['Prompt: 100', 'Output: 10'], '', `a${index}`),
      );
      await vi.waitFor(() => {
        expect(held).toHaveLength(4);
      });
      const waiting = harness.post('/stream/x', ['Prompt: 100', 'Output: 10'], '', 'w1');
      await vi.waitFor(() => {
        expect(harness.front.running).toBe(5);
      });
      end();
      const refused = await waiting;
      expect(refused).toContain('HTTP/1.1 503');
      expect(refused).toMatch(/^retry-after: /im);
      for (const answer of await Promise.all(running)) {
        expect(answer).toContain('HTTP/1.1 502');
      }
    });

    it('breaks a stream that has begun, so that it does not look complete', async () => {
      await harness.addTarget('e1', 'engine', (socket) => {
        socket.write(STREAM_HEAD + chunkOf(EVENT));
      });
      let text = '';
      const answer = harness.send(
        'POST /stream/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\nPrompt: 10\r\nOutput: 10\r\nContent-Length: 0\r\n\r\n',
        (socket) => {
          socket.on('data', (chunk) => {
            text += chunk.toString('latin1');
          });
        },
      );
      await vi.waitFor(() => {
        expect(text).toContain('event');
      });
      end();
      expect((await answer).endsWith(STREAM_END)).toBe(false);
    });

    it('refuses a request whose body is incomplete', async () => {
      let text = '';
      void harness.send(
        'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\nContent-Length: 900\r\n\r\nhalf',
        (socket) => {
          socket.on('data', (chunk) => {
            text += chunk.toString('latin1');
          });
        },
      );
      await vi.waitFor(() => {
        expect(harness.front.running).toBe(1);
      });
      end();
      await vi.waitFor(() => {
        expectRefusedAsNotRun(text);
      });
    });
  });
});
