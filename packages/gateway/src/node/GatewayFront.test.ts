/** What becomes of requests, from what callers and targets see. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerOf,
  chunkOf,
  ForwardingHarness,
  STREAM_END,
  STREAM_HEAD,
  type TargetScript,
} from './ForwardingHarness.js';

/** Well under the time that a front waits for its configuration. */
const LEARNING_MS = 50;

/** Callers leave a stream after two seconds; this pause left a begun stream without an end. */
const BORNE_PAUSE_MS = 1_050;

const answers =
  (status: number, body = 'ok', headers: readonly string[] = []): TargetScript =>
  (socket) => {
    socket.write(answerOf(status, headers, body));
  };

const breaksOff: TargetScript = (socket) => {
  socket.destroy();
};

function eventOf(id: number): string {
  return `id: ${id}\ndata: event ${id}\n\n`;
}

describe('GatewayFront', () => {
  let harness: ForwardingHarness;

  beforeEach(async () => {
    harness = new ForwardingHarness();
    await harness.start();
  });

  afterEach(async () => {
    await harness.stop();
  });

  describe('a request that can be forwarded', () => {
    it('reaches the target with its bytes, and the answer comes back unchanged', async () => {
      await harness.addTarget('t1', 'app', answers(200, 'body', ['Stamp: s1']));
      const answer = await harness.ask('/once/x?y=1', ['X-Own: v'], 'payload');
      expect(answer).toContain('HTTP/1.1 200');
      expect(answer).toContain('Stamp: s1');
      expect(answer.endsWith('body')).toBe(true);
      const [received] = harness.received;
      expect(received).toContain('POST /once/x?y=1 HTTP/1.1');
      expect(received).toContain('X-Own: v');
      expect(received?.endsWith('payload')).toBe(true);
    });

    it('does not carry the key or the headers of the connection', async () => {
      await harness.addTarget('t1', 'app', answers(200));
      await harness.ask('/once/x', ['Keep-Alive: timeout=5']);
      expect(harness.received[0]).not.toMatch(/^key:/im);
      expect(harness.received[0]).not.toMatch(/^keep-alive:/im);
    });

    it('tells the target how long the caller still waits', async () => {
      await harness.addTarget('t1', 'app', answers(200));
      await harness.ask('/once/x', ['Waits: 1000']);
      const waits = Number(/^waits: (\d+)/im.exec(harness.received[0] ?? '')?.[1]);
      expect(waits).toBeLessThanOrEqual(1_000);
      expect(waits).toBeGreaterThan(0);
    });
  });

  describe('a request that can not be forwarded', () => {
    it.each([
      ['an unknown route', 'POST /none/ HTTP/1.1\r\nHost: test\r\nKey: k', 404],
      ['an unknown key', 'POST /once/ HTTP/1.1\r\nHost: test\r\nKey: other', 401],
      ['no key', 'POST /once/ HTTP/1.1\r\nHost: test', 401],
    ])('%s is answered at once', async (_what, head, status) => {
      const answer = await harness.send(`${head}\r\nConnection: close\r\n\r\n`);
      expect(answer).toContain(`HTTP/1.1 ${status}`);
      expect(harness.received).toEqual([]);
    });

    it('with too long a body is refused', async () => {
      await harness.addTarget('t1', 'app', answers(200));
      expect(await harness.ask('/once/x', [], 'x'.repeat(2_000))).toContain('HTTP/1.1 413');
      expect(harness.received).toEqual([]);
    });

    it('with more headers than the configuration allows is refused', async () => {
      await harness.addTarget('t1', 'app', answers(200));
      const long = `X-Long: ${'x'.repeat(9_000)}`;
      expect(await harness.ask('/once/x', [long])).toContain('HTTP/1.1 431');
      expect(harness.received).toEqual([]);
    });

    it('waits a moment for the configuration of a node that just started', async () => {
      const starting = new ForwardingHarness();
      await starting.start(false);
      await starting.addTarget('t1', 'app', answers(200));
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n';
      const answer = await starting.send(`${head}Connection: close\r\n\r\n`, () => {
        setTimeout(() => {
          starting.publish();
        }, LEARNING_MS);
      });
      expect(answer).toContain('HTTP/1.1 200');
      await starting.stop();
    });

    it('before the configuration is known says that it did not run', async () => {
      const unready = new ForwardingHarness();
      await unready.start(false);
      const answer = await unready.ask('/once/x');
      await unready.stop();
      expect(answer).toContain('HTTP/1.1 503');
      expect(answer).toMatch(/^retry-after:/im);
    });
  });

  describe('bytes that would smuggle a request', () => {
    it.each([
      ['two lengths', 'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!'],
      [
        'a length beside chunks',
        'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
      ],
      ['a malformed chunk', 'Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n'],
      ['a space before the colon', 'Content-Length : 5\r\n\r\nhello'],
    ])('%s never reach a target', async (_what, rest) => {
      await harness.addTarget('t1', 'app', answers(200));
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n';
      const answer = await harness.send(head + rest, (socket) => {
        socket.end();
      });
      expect(answer).not.toContain('HTTP/1.1 200');
      expect(harness.received).toEqual([]);
    });
  });

  describe('a call that may not be repeated', () => {
    it('is not sent again after its target broke off, and is not said to be unrun', async () => {
      await harness.addTarget('t1', 'app', breaksOff);
      await harness.addTarget('t2', 'app', breaksOff);
      expect(await harness.ask('/once/x')).toContain('HTTP/1.1 502');
      expect(harness.received).toHaveLength(1);
    });

    it('moves on after a target that did not run it', async () => {
      await harness.addTarget('t1', 'app', answers(503, '', ['Not-Run: 1']));
      await harness.addTarget('t2', 'app', answers(503, '', ['Not-Run: 1']));
      const answer = await harness.ask('/once/x');
      expect(harness.received).toHaveLength(2);
      expect(answer).toContain('HTTP/1.1 503');
      expect(answer).toMatch(/^retry-after:/im);
    });

    it('passes a failure of its target unchanged', async () => {
      await harness.addTarget('t1', 'app', answers(500, 'broken', ['Stamp: s1']));
      await harness.addTarget('t2', 'app', answers(200));
      const answer = await harness.ask('/once/x');
      expect(answer).toContain('HTTP/1.1 500');
      expect(answer).toContain('Stamp: s1');
      expect(harness.received).toHaveLength(1);
    });

    it('times out at its deadline without a promise', async () => {
      await harness.addTarget('t1', 'app', () => undefined);
      const answer = await harness.ask('/once/x', ['Waits: 200']);
      expect(answer).toContain('HTTP/1.1 504');
    });
  });

  describe('a repeatable call', () => {
    it('is answered by another target when the first breaks off', async () => {
      await harness.addTarget('t1', 'app', breaksOff);
      await harness.addTarget('t2', 'app', answers(200));
      const results = await Promise.all([1, 2, 3].map(() => harness.ask('/idempotent/x')));
      for (const answer of results) {
        expect(answer).toContain('HTTP/1.1 200');
      }
    });

    it('is not sent again when the retry budget is spent', async () => {
      const poor = new ForwardingHarness(0);
      await poor.start();
      await poor.addTarget('t1', 'app', breaksOff);
      await poor.addTarget('t2', 'app', breaksOff);
      expect(await poor.ask('/idempotent/x')).toContain('HTTP/1.1 502');
      await poor.stop();
      expect(poor.received).toHaveLength(1);
    });

    it('leaves a target that is not reached without spending the retry budget', async () => {
      const thrifty = new ForwardingHarness(0);
      await thrifty.start();
      await thrifty.addUnreachableTarget('t1', 'app');
      await thrifty.addTarget('t2', 'app', answers(200));
      const statuses = await Promise.all(
        Array.from({ length: 6 }, () => thrifty.ask('/idempotent/x')),
      );
      await thrifty.stop();
      expect(statuses.every((answer) => answer.includes('HTTP/1.1 200'))).toBe(true);
    });

    it('is refused when three targets are not reached, though there are more', async () => {
      const cutOff = new ForwardingHarness();
      await cutOff.start();
      for (const id of ['t1', 't2', 't3', 't4']) {
        await cutOff.addUnreachableTarget(id, 'app');
      }
      expect(await cutOff.ask('/once/x')).toContain('HTTP/1.1 503');
      await cutOff.stop();
      const [line = ''] = cutOff.lines.filter((each) => each.includes('request.unreached'));
      expect(JSON.parse(line)).toMatchObject({ request: 'a1', targets: 3 });
    });

    it('never gets the answer to another request', async () => {
      const foreign = answerOf(200, [], 'foreign').replace('Attempt: a1', 'Attempt: other');
      await harness.addTarget('t1', 'app', (socket) => {
        socket.write(foreign);
      });
      const answer = await harness.ask('/idempotent/x');
      expect(answer).toContain('HTTP/1.1 502');
      expect(answer).not.toContain('foreign');
    });
  });

  describe('a stream', () => {
    it('is resumed elsewhere after the last whole event', async () => {
      const runs: string[] = [];
      const script: TargetScript = (socket, request) => {
        runs.push(request);
        if (runs.length === 1) {
          socket.write(STREAM_HEAD + chunkOf(eventOf(1)) + chunkOf('id: 2\ndata: ha'));
          setImmediate(() => socket.destroy());
          return;
        }
        socket.write(STREAM_HEAD + chunkOf(eventOf(2)) + chunkOf(eventOf(3)) + STREAM_END);
      };
      await harness.addTarget('e1', 'engine', script);
      await harness.addTarget('e2', 'engine', script);
      const answer = await harness.ask('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(runs[1]).toMatch(/^last: 1/im);
      for (const id of [1, 2, 3]) {
        expect(answer.split(`data: event ${id}`)).toHaveLength(2);
      }
      expect(answer.endsWith(STREAM_END)).toBe(true);
    });

    it('goes on to a third engine when the second one does not run it', async () => {
      const runs: string[] = [];
      const script: TargetScript = (socket, request) => {
        runs.push(request);
        if (runs.length === 1) {
          socket.write(STREAM_HEAD + chunkOf(eventOf(1)));
          setImmediate(() => socket.destroy());
        } else if (runs.length === 2) {
          socket.write(answerOf(503, ['Not-Run: 1'], ''));
        } else {
          socket.write(STREAM_HEAD + chunkOf(eventOf(2)) + STREAM_END);
        }
      };
      for (const id of ['e1', 'e2', 'e3']) {
        await harness.addTarget(id, 'engine', script);
      }
      const answer = await harness.ask('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer).toContain('data: event 2');
      expect(answer.endsWith(STREAM_END)).toBe(true);
    });

    it('is tried again when refusals blame engines that only read for it', async () => {
      const runs: string[] = [];
      const script: TargetScript = (socket, request) => {
        runs.push(request);
        if (runs.length <= 2) {
          socket.write(answerOf(503, ['Not-Run: 1', 'Failed-At: 10.0.0.1:1'], ''));
        } else {
          socket.write(STREAM_HEAD + chunkOf(eventOf(1)) + STREAM_END);
        }
      };
      await harness.addTarget('e1', 'engine', script);
      await harness.addTarget('e2', 'engine', script);
      await harness.addTarget('e3', 'engine', script);
      const answer = await harness.ask('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer).toContain('HTTP/1.1 200');
    });

    it('is not cut for a pause that its caller still bears', async () => {
      await harness.addTarget('e1', 'engine', (socket) => {
        socket.write(STREAM_HEAD + chunkOf(eventOf(1)));
        setTimeout(() => {
          socket.write(chunkOf(eventOf(2)) + STREAM_END);
        }, BORNE_PAUSE_MS);
      });
      const answer = await harness.ask('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer.endsWith(STREAM_END)).toBe(true);
    });

    it('that can not be resumed any more does not look complete', async () => {
      const script: TargetScript = (socket) => {
        socket.write(STREAM_HEAD + chunkOf(eventOf(1)));
        setImmediate(() => socket.destroy());
      };
      await harness.addTarget('e1', 'engine', script);
      await harness.addTarget('e2', 'engine', script);
      const answer = await harness.ask('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer.endsWith(STREAM_END)).toBe(false);
    });

    it('ends at its target when the caller leaves', async () => {
      const closed = new Promise<void>((resolve) => {
        void harness.addTarget('e1', 'engine', (socket) => {
          socket.write(STREAM_HEAD + chunkOf(eventOf(1)));
          socket.on('close', () => {
            resolve();
          });
        });
      });
      const head = 'POST /stream/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n\r\n';
      await harness.send(head, (socket) => {
        socket.once('data', () => socket.destroy());
      });
      await closed;
    });

    it('finds every engine full: the refusal says when to come back', async () => {
      const answer = await harness.ask('/stream/x', ['Waits: 300', 'Prompt: 10', 'Output: 10']);
      expect(answer).toContain('HTTP/1.1 503');
      expect(answer).toMatch(/^retry-after:/im);
    });
  });

  describe('a draining node', () => {
    it('still answers, and closes the connection after it', async () => {
      await harness.addTarget('t1', 'app', answers(200));
      harness.isDraining = true;
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n\r\n';
      const answer = await harness.send(head);
      expect(answer).toContain('HTTP/1.1 200');
      expect(answer).toMatch(/^connection: close/im);
    });
  });

  describe('a defect in forwarding', () => {
    it('costs its own request only', async () => {
      await harness.addTarget('t1', 'app', answers(200));
      const answer = await harness.ask('/once/x', ['Defect: 1']);
      expect(answer).toContain('HTTP/1.1 502');
      expect(await harness.ask('/once/x')).toContain('HTTP/1.1 200');
    });
  });

  describe('a defect in forwarding a stream', () => {
    it('leaves no work behind on its engine', async () => {
      await harness.addTarget('e1', 'engine', (socket) => {
        socket.write(STREAM_HEAD + chunkOf(eventOf(1)) + STREAM_END);
      });
      // As many as the engine has slots.
      for (let count = 0; count < 4; count++) {
        expect(await harness.ask('/stream/x', ['Defect: 1'])).toContain('HTTP/1.1 502');
      }
      expect(await harness.ask('/stream/x')).toContain('HTTP/1.1 200');
    });
  });

  describe('the log', () => {
    it('tells how each request ended, by its id', async () => {
      await harness.addTarget('t1', 'app', breaksOff);
      await harness.ask('/once/x');
      const events = harness.lines
        .map((line) => JSON.parse(line) as Record<string, unknown>)
        .filter(({ request }) => request === 'a1');
      expect(events).toMatchObject([
        { event: 'request.attempt-failed', target: 't1', execution: 'may-have-run' },
        { event: 'request.finished', ending: 'failed', attempts: 1, version: 1 },
      ]);
    });
  });
});
