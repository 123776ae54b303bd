/**
 * Targets that stop in the middle of the head of an answer and end the connection: no caller may get
 * an answer with success, whatever part of the head says so.
 */
import type { Socket } from 'node:net';
import { BROKEN_HEAD_ENDINGS, BROKEN_HEADS } from '@tanagerdyke/fakes';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerText,
  attemptOf,
  chunkOf,
  ForwardingHarness,
  STREAM_END,
  STREAM_HEAD,
  type TargetScript,
} from './ForwardingHarness.js';

const EVENTS = [1, 2].map((id) => `id: ${id}\ndata: event ${id}\n\n`);
const PROMPT = ['Prompt: 100', 'Output: 10'];

describe('an answer whose head breaks off', () => {
  let harness: ForwardingHarness;

  beforeEach(async () => {
    harness = new ForwardingHarness();
    await harness.start();
  });

  afterEach(() => harness.stop());

  const kinds: readonly (readonly [string, string, string, string, readonly string[]])[] = [
    ['a repeatable call', 'POST', '/idempotent/x', 'app', []],
    ['a call that may run once', 'POST', '/once/x', 'app', []],
    ['a request for a head', 'HEAD', '/idempotent/x', 'app', []],
    ['a stream', 'POST', '/stream/x', 'engine', PROMPT],
  ];

  function request(
    method: string,
    path: string,
    headers: readonly string[],
    attempt = 'a1',
  ): Promise<string> {
    const lines = [
      ...[`${method} ${path} HTTP/1.1`, 'Host: test', 'Key: k', `Attempt: ${attempt}`],
      ...['Connection: close', ...headers, ...(method === 'HEAD' ? [] : ['Content-Length: 0'])],
    ];
    return harness.send(`${lines.join('\r\n')}\r\n\r\n`);
  }

  describe.each(BROKEN_HEAD_ENDINGS)('when the connection %s', (_how, end) => {
    describe.each(BROKEN_HEADS)('%s', (_where, head) => {
      it.each(kinds)('fails %s', async (_kind, method, path, service, headers) => {
        await harness.addTarget('t1', service, (socket) => {
          end(socket, head);
        });
        const answer = await request(method, path, headers);
        expect(answer).toMatch(/^HTTP\/1\.1 50[24] /);
        expect(answer.match(/HTTP\/1\./g)).toHaveLength(1);
      });

      it('fails a call on a connection that was used before', async () => {
        const used = new Set<Socket>();
        let broken = 0;
        await harness.addTarget('t1', 'app', (socket, text) => {
          if (used.has(socket)) {
            broken++;
            end(socket, head.replace('a1', attemptOf(text)));
          } else {
            used.add(socket);
            socket.write(answerText(200, [], 'ok', attemptOf(text)));
          }
        });
        const answers = [];
        for (let index = 0; index < 4; index++) {
          answers.push(await request('POST', '/once/x', [], `a${index}`));
        }
        const served = answers.filter((each) => each.startsWith('HTTP/1.1 2'));
        expect(broken).toBeGreaterThan(0);
        expect(answers.length - served.length).toBe(broken);
        expect(served.every((each) => each.endsWith('\r\n\r\nok'))).toBe(true);
      });

      it('lets another target answer a repeatable call', async () => {
        let asked = 0;
        const script: TargetScript = (socket) => {
          asked++;
          if (asked === 1) {
            end(socket, head);
          } else {
            socket.write(answerText(200, [], 'whole'));
          }
        };
        await harness.addTarget('t1', 'app', script);
        await harness.addTarget('t2', 'app', script);
        const answer = await harness.post('/idempotent/x');
        expect(answer).toMatch(/^HTTP\/1\.1 200 /);
        expect(answer).toMatch(/\r\n\r\nwhole$/);
      });

      it('leaves a stream broken that its engine should resume', async () => {
        let asked = 0;
        const script: TargetScript = (socket) => {
          asked++;
          if (asked === 1) {
            socket.write(STREAM_HEAD + chunkOf(EVENTS.join('')));
            setImmediate(() => socket.destroy());
          } else {
            end(socket, head);
          }
        };
        await harness.addTarget('engine-1', 'engine', script);
        await harness.addTarget('engine-2', 'engine', script);
        const answer = await harness.post('/stream/x', PROMPT);
        expect(answer).toContain(EVENTS.join(''));
        expect(answer.match(/HTTP\/1\./g)).toHaveLength(1);
        expect(answer.endsWith(STREAM_END)).toBe(false);
      });
    });
  });
});
