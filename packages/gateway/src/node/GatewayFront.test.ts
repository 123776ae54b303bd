/** Requests through a gateway front, as callers and targets observe them. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerText,
  chunkOf,
  ForwardingHarness,
  STREAM_END,
  STREAM_HEAD,
  type TargetScript,
} from './ForwardingHarness.js';

/** Shorter than the time for which a front waits for its configuration. */
const CONFIGURATION_DELAY_MS = 50;
const WORKSPACE = { name: 'w', keys: ['k'], priority: undefined, allowedRegions: undefined };

/** Callers disconnect after a pause of two seconds; a shorter event timeout cut streams at this. */
const TOLERATED_PAUSE_MS = 1_050;

const respondWith =
  (status: number, body = 'ok', headers: readonly string[] = []): TargetScript =>
  (socket) => {
    socket.write(answerText(status, headers, body));
  };

const closeConnection: TargetScript = (socket) => {
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
    it('reaches the target unchanged, and the caller receives the unchanged answer', async () => {
      await harness.addTarget('t1', 'app', respondWith(200, 'body', ['Stamp: s1']));
      const answer = await harness.post('/once/x?y=1', ['X-Own: v'], 'payload');
      expect(answer).toContain('HTTP/1.1 200');
      expect(answer).toContain('Stamp: s1');
      expect(answer.endsWith('body')).toBe(true);
      const [received] = harness.received;
      expect(received).toContain('POST /once/x?y=1 HTTP/1.1');
      expect(received).toContain('X-Own: v');
      expect(received?.endsWith('payload')).toBe(true);
    });

    it('is sent without the key and the hop-by-hop headers', async () => {
      await harness.addTarget('t1', 'app', respondWith(200));
      await harness.post('/once/x', ['Keep-Alive: timeout=5']);
      expect(harness.received[0]).not.toMatch(/^key:/im);
      expect(harness.received[0]).not.toMatch(/^keep-alive:/im);
    });

    it('carries the remaining time until the deadline', async () => {
      await harness.addTarget('t1', 'app', respondWith(200));
      await harness.post('/once/x', ['Waits: 1000']);
      const waits = Number(/^waits: (\d+)/im.exec(harness.received[0] ?? '')?.[1]);
      expect(waits).toBeLessThanOrEqual(1_000);
      expect(waits).toBeGreaterThan(0);
    });
  });

  describe('a request that cannot be forwarded', () => {
    it.each([
      ['an unknown route', 'POST /none/ HTTP/1.1\r\nHost: test\r\nKey: k', 404],
      ['an unknown key', 'POST /once/ HTTP/1.1\r\nHost: test\r\nKey: other', 401],
      ['no key', 'POST /once/ HTTP/1.1\r\nHost: test', 401],
    ])('is answered without a target: %s', async (_what, head, status) => {
      const answer = await harness.send(`${head}\r\nConnection: close\r\n\r\n`);
      expect(answer).toContain(`HTTP/1.1 ${status}`);
      expect(harness.received).toEqual([]);
    });

    it.each([
      ['an unknown route', 'POST /none/ HTTP/1.1\r\nHost: test\r\nKey: k'],
      ['an unknown key', 'POST /once/ HTTP/1.1\r\nHost: test\r\nKey: other'],
    ])(
      'is not denied for good while a newer configuration may allow it: %s',
      async (_what, head) => {
        harness.mayBeOutdated = true;
        const answer = await harness.send(`${head}\r\nConnection: close\r\n\r\n`);
        expect(answer).toContain('HTTP/1.1 503');
        expect(answer).toMatch(/^retry-after:/im);
        expect(harness.received).toEqual([]);
      },
    );

    // Guards against requests that run with any key once the last key is withdrawn.
    it.each([
      ['the last key is withdrawn', [{ ...WORKSPACE, keys: [] }]],
      ['the last workspace is removed', []],
    ])(
      'is answered without a target when %s, until there is a key again',
      async (_w, workspaces) => {
        await harness.addTarget('t1', 'app', respondWith(200));
        expect(await harness.post('/once/x')).toContain('HTTP/1.1 200');
        harness.changeConfiguration({ workspaces });
        for (const key of ['Key: k', 'Key: other', 'X-None: x']) {
          const head = `POST /once/ HTTP/1.1\r\nHost: test\r\n${key}`;
          const answer = await harness.send(`${head}\r\nConnection: close\r\n\r\n`);
          expect(answer).toContain('HTTP/1.1 401');
        }
        expect(harness.received).toHaveLength(1);
        harness.changeConfiguration({ workspaces: [WORKSPACE] });
        expect(await harness.post('/once/x')).toContain('HTTP/1.1 200');
      },
    );

    it('is refused when its body is too large', async () => {
      await harness.addTarget('t1', 'app', respondWith(200));
      expect(await harness.post('/once/x', [], 'x'.repeat(2_000))).toContain('HTTP/1.1 413');
      expect(harness.received).toEqual([]);
    });

    it('is refused when its headers are larger than the configured limit', async () => {
      await harness.addTarget('t1', 'app', respondWith(200));
      const long = `X-Long: ${'x'.repeat(9_000)}`;
      expect(await harness.post('/once/x', [long])).toContain('HTTP/1.1 431');
      expect(harness.received).toEqual([]);
    });

    it('waits for the configuration of a node that just started', async () => {
      const starting = new ForwardingHarness();
      await starting.start(false);
      await starting.addTarget('t1', 'app', respondWith(200));
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n';
      const answer = await starting.send(`${head}Connection: close\r\n\r\n`, () => {
        setTimeout(() => {
          starting.publishConfiguration();
        }, CONFIGURATION_DELAY_MS);
      });
      expect(answer).toContain('HTTP/1.1 200');
      await starting.stop();
    });

    it('is answered as not run when the node has no configuration', async () => {
      const unready = new ForwardingHarness();
      await unready.start(false);
      const answer = await unready.post('/once/x');
      await unready.stop();
      expect(answer).toContain('HTTP/1.1 503');
      expect(answer).toMatch(/^retry-after:/im);
    });
  });

  describe('an ambiguous message that could smuggle a second request', () => {
    it.each([
      ['two lengths', 'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!'],
      [
        'a length beside chunks',
        'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
      ],
      ['a malformed chunk', 'Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n'],
      ['a space before the colon', 'Content-Length : 5\r\n\r\nhello'],
    ])('never reaches a target: %s', async (_what, rest) => {
      await harness.addTarget('t1', 'app', respondWith(200));
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n';
      const answer = await harness.send(head + rest, (socket) => {
        socket.end();
      });
      expect(answer).not.toContain('HTTP/1.1 200');
      expect(harness.received).toEqual([]);
    });
  });

  describe('a call that may not be repeated', () => {
    it('is not sent again nor answered as not run when its target breaks off', async () => {
      await harness.addTarget('t1', 'app', closeConnection);
      await harness.addTarget('t2', 'app', closeConnection);
      expect(await harness.post('/once/x')).toContain('HTTP/1.1 502');
      expect(harness.received).toHaveLength(1);
    });

    it('is sent to another target when the first one did not run it', async () => {
      await harness.addTarget('t1', 'app', respondWith(503, '', ['Not-Run: 1']));
      await harness.addTarget('t2', 'app', respondWith(503, '', ['Not-Run: 1']));
      const answer = await harness.post('/once/x');
      expect(harness.received).toHaveLength(2);
      expect(answer).toContain('HTTP/1.1 503');
      expect(answer).toMatch(/^retry-after:/im);
    });

    it('is answered with the unchanged failure of its target', async () => {
      await harness.addTarget('t1', 'app', respondWith(500, 'broken', ['Stamp: s1']));
      await harness.addTarget('t2', 'app', respondWith(200));
      const answer = await harness.post('/once/x');
      expect(answer).toContain('HTTP/1.1 500');
      expect(answer).toContain('Stamp: s1');
      expect(harness.received).toHaveLength(1);
    });

    it('is answered as timed out at its deadline', async () => {
      await harness.addTarget('t1', 'app', () => undefined);
      const answer = await harness.post('/once/x', ['Waits: 200']);
      expect(answer).toContain('HTTP/1.1 504');
    });
  });

  describe('a repeatable call', () => {
    it('is answered by another target when the first one closes the connection', async () => {
      await harness.addTarget('t1', 'app', closeConnection);
      await harness.addTarget('t2', 'app', respondWith(200));
      const results = await Promise.all([1, 2, 3].map(() => harness.post('/idempotent/x')));
      for (const answer of results) {
        expect(answer).toContain('HTTP/1.1 200');
      }
    });

    it('is not sent again when the retry budget is exhausted', async () => {
      const withoutBudget = new ForwardingHarness(0);
      await withoutBudget.start();
      await withoutBudget.addTarget('t1', 'app', closeConnection);
      await withoutBudget.addTarget('t2', 'app', closeConnection);
      expect(await withoutBudget.post('/idempotent/x')).toContain('HTTP/1.1 502');
      await withoutBudget.stop();
      expect(withoutBudget.received).toHaveLength(1);
    });

    it('is sent to another target without a retry budget when one is unreachable', async () => {
      const withoutBudget = new ForwardingHarness(0);
      await withoutBudget.start();
      await withoutBudget.addUnreachableTarget('t1', 'app');
      await withoutBudget.addTarget('t2', 'app', respondWith(200));
      const statuses = await Promise.all(
        Array.from({ length: 6 }, () => withoutBudget.post('/idempotent/x')),
      );
      await withoutBudget.stop();
      expect(statuses.every((answer) => answer.includes('HTTP/1.1 200'))).toBe(true);
    });

    it('is refused when three targets are unreachable, even if there are more', async () => {
      const isolated = new ForwardingHarness();
      await isolated.start();
      for (const id of ['t1', 't2', 't3', 't4']) {
        await isolated.addUnreachableTarget(id, 'app');
      }
      expect(await isolated.post('/once/x')).toContain('HTTP/1.1 503');
      await isolated.stop();
      const [line = ''] = isolated.lines.filter((each) => each.includes('request.unreached'));
      expect(JSON.parse(line)).toMatchObject({ request: 'a1', targets: 3 });
    });

    it('does not receive the answer to another request', async () => {
      const foreign = answerText(200, [], 'foreign').replace('Attempt: a1', 'Attempt: other');
      await harness.addTarget('t1', 'app', (socket) => {
        socket.write(foreign);
      });
      const answer = await harness.post('/idempotent/x');
      expect(answer).toContain('HTTP/1.1 502');
      expect(answer).not.toContain('foreign');
    });
  });

  describe('a stream', () => {
    it('is resumed on another engine after the last complete event', async () => {
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
      const answer = await harness.post('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(runs[1]).toMatch(/^last: 1/im);
      for (const id of [1, 2, 3]) {
        expect(answer.split(`data: event ${id}`)).toHaveLength(2);
      }
      expect(answer.endsWith(STREAM_END)).toBe(true);
    });

    // Guards against engines that all are avoided, since an event of one has an id that no header holds.
    it('that has an id which no header holds makes no engine suspect but the one that broke off', async () => {
      const script: TargetScript = (socket) => {
        socket.write(STREAM_HEAD + chunkOf('id: \x01\ndata: x\n\n'));
        setImmediate(() => socket.destroy());
      };
      for (const id of ['e1', 'e2', 'e3']) {
        await harness.addTarget(id, 'engine', script);
      }
      const answer = await harness.post('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer.endsWith(STREAM_END)).toBe(false);
      expect(harness.received).toHaveLength(1);
      const failed = harness.lines.filter((line) => line.includes('request.attempt-failed'));
      expect(failed).toHaveLength(1);
    });

    it('is resumed on a third engine when the second one did not run it', async () => {
      const runs: string[] = [];
      const script: TargetScript = (socket, request) => {
        runs.push(request);
        if (runs.length === 1) {
          socket.write(STREAM_HEAD + chunkOf(eventOf(1)));
          setImmediate(() => socket.destroy());
        } else if (runs.length === 2) {
          socket.write(answerText(503, ['Not-Run: 1'], ''));
        } else {
          socket.write(STREAM_HEAD + chunkOf(eventOf(2)) + STREAM_END);
        }
      };
      for (const id of ['e1', 'e2', 'e3']) {
        await harness.addTarget(id, 'engine', script);
      }
      const answer = await harness.post('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer).toContain('data: event 2');
      expect(answer.endsWith(STREAM_END)).toBe(true);
    });

    it('is sent again when refusals report that a reader failed', async () => {
      const runs: string[] = [];
      const script: TargetScript = (socket, request) => {
        runs.push(request);
        if (runs.length <= 2) {
          socket.write(answerText(503, ['Not-Run: 1', 'Failed-At: 10.0.0.1:1'], ''));
        } else {
          socket.write(STREAM_HEAD + chunkOf(eventOf(1)) + STREAM_END);
        }
      };
      await harness.addTarget('e1', 'engine', script);
      await harness.addTarget('e2', 'engine', script);
      await harness.addTarget('e3', 'engine', script);
      const answer = await harness.post('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer).toContain('HTTP/1.1 200');
    });

    it('is not cut during a pause that its caller tolerates', async () => {
      await harness.addTarget('e1', 'engine', (socket) => {
        socket.write(STREAM_HEAD + chunkOf(eventOf(1)));
        setTimeout(() => {
          socket.write(chunkOf(eventOf(2)) + STREAM_END);
        }, TOLERATED_PAUSE_MS);
      });
      const answer = await harness.post('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer.endsWith(STREAM_END)).toBe(true);
    });

    it('does not look complete when it cannot be resumed', async () => {
      const script: TargetScript = (socket) => {
        socket.write(STREAM_HEAD + chunkOf(eventOf(1)));
        setImmediate(() => socket.destroy());
      };
      await harness.addTarget('e1', 'engine', script);
      await harness.addTarget('e2', 'engine', script);
      const answer = await harness.post('/stream/x', ['Prompt: 10', 'Output: 10']);
      expect(answer.endsWith(STREAM_END)).toBe(false);
    });

    it('is aborted at its target when the caller disconnects', async () => {
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

    it('is refused with Retry-After when the service has no engine', async () => {
      const answer = await harness.post('/stream/x', ['Waits: 300', 'Prompt: 10', 'Output: 10']);
      expect(answer).toContain('HTTP/1.1 503');
      expect(answer).toMatch(/^retry-after:/im);
    });
  });

  describe('a draining node', () => {
    it('answers, and then closes the connection', async () => {
      await harness.addTarget('t1', 'app', respondWith(200));
      harness.isDraining = true;
      const head = 'POST /once/x HTTP/1.1\r\nHost: test\r\nKey: k\r\nAttempt: a1\r\n\r\n';
      const answer = await harness.send(head);
      expect(answer).toContain('HTTP/1.1 200');
      expect(answer).toMatch(/^connection: close/im);
    });
  });

  describe('a defect in forwarding', () => {
    it('affects only its own request', async () => {
      await harness.addTarget('t1', 'app', respondWith(200));
      const answer = await harness.post('/once/x', ['Defect: 1']);
      expect(answer).toContain('HTTP/1.1 502');
      expect(await harness.post('/once/x')).toContain('HTTP/1.1 200');
    });
  });

  describe('a defect in forwarding a stream', () => {
    it('leaves no active request on its engine', async () => {
      await harness.addTarget('e1', 'engine', (socket) => {
        socket.write(STREAM_HEAD + chunkOf(eventOf(1)) + STREAM_END);
      });
      // As many as the engine has slots.
      for (let count = 0; count < 4; count++) {
        expect(await harness.post('/stream/x', ['Defect: 1'])).toContain('HTTP/1.1 502');
      }
      expect(await harness.post('/stream/x')).toContain('HTTP/1.1 200');
    });
  });

  describe('the log', () => {
    it('records the outcome of each request under its id', async () => {
      await harness.addTarget('t1', 'app', closeConnection);
      await harness.post('/once/x');
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
