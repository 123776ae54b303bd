/**
 * Targets that write a second copy of an answer, late, on a connection that is in use again: the next
 * caller must not get an answer that is not its own. Refusals are covered by RepeatedRefusal.test.
 */
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ForwardingHarness, STREAM_END, chunkOf, type TargetScript } from './ForwardingHarness.js';

const COPY_DELAY_MS = 5;

/** The text that only the answer to this request has. */
function ownText(request: string): string {
  return `own ${/^own: (\w+)/im.exec(request)?.[1] ?? ''}`;
}

function idOf(request: string): string | undefined {
  return /^attempt: (\w+)/im.exec(request)?.[1];
}

const idLine = (id: string | undefined): string => (id === undefined ? '' : `Attempt: ${id}\r\n`);

function callAnswer(request: string): string {
  const body = ownText(request);
  return `HTTP/1.1 200 OK\r\n${idLine(idOf(request))}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function streamAnswer(request: string): string {
  const event = `id: 1\ndata: ${ownText(request)}\n\n`;
  const head = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
  return `HTTP/1.1 200 OK\r\n${idLine(idOf(request))}${head}${chunkOf(event)}${STREAM_END}`;
}

/** When the copy of an earlier answer is written: as the next request arrives, or on its own. */
type CopyMoment = (socket: Socket, answer: string) => void;

describe('a target that writes a second copy of an answer', () => {
  let harness: ForwardingHarness;
  /** Requests that came on a connection that had carried another one. */
  let reused: number;

  beforeEach(async () => {
    reused = 0;
    harness = new ForwardingHarness();
    await harness.start();
  });

  afterEach(() => harness.stop());

  /** Writes the copy of the first answer of a connection before each further one. */
  function copyingAtNext(answerOf: (request: string) => string): TargetScript {
    const earlier = new Map<Socket, string>();
    return (socket, request) => {
      const copy = earlier.get(socket);
      const answer = answerOf(request);
      if (copy === undefined) {
        earlier.set(socket, answer);
        socket.write(answer);
        return;
      }
      reused++;
      socket.write(copy);
      setTimeout(() => socket.write(answer), COPY_DELAY_MS);
    };
  }

  /** Writes each answer once more after a while, whatever the connection carries then. */
  function copyingLater(answerOf: (request: string) => string): TargetScript {
    return (socket, request) => {
      const answer = answerOf(request);
      socket.write(answer);
      const copy: CopyMoment = (to, text) => setTimeout(() => to.write(text), COPY_DELAY_MS);
      copy(socket, answer);
    };
  }

  function post(path: string, own: string, id: string | undefined): Promise<string> {
    const lines = [
      `POST ${path} HTTP/1.1`,
      ...['Host: test', 'Key: k', 'Prompt: 10', 'Output: 10', 'Connection: close'],
      ...['Content-Length: 0', `Own: ${own}`, ...(id === undefined ? [] : [`Attempt: ${id}`])],
    ];
    return harness.send(`${lines.join('\r\n')}\r\n\r\n`);
  }

  const kinds: readonly (readonly [string, string, string, (request: string) => string])[] = [
    ['a repeatable call', 'app', '/idempotent/x', callAnswer],
    ['a call that may run once', 'app', '/once/x', callAnswer],
    ['a stream', 'engine', '/stream/x', streamAnswer],
  ];

  describe.each(kinds)('to %s', (_kind, service, path, answerOf) => {
    describe.each([
      ['with ids', (index: number) => `a${index}`],
      ['without ids', () => undefined],
      ['with ids in turn', (index: number) => (index % 2 === 0 ? `a${index}` : undefined)],
    ])('%s of the requests', (_ids, idFor) => {
      it.each([
        ['when the next request arrives', copyingAtNext],
        ['on its own', copyingLater],
      ])('gives no caller the answer to another one: %s', async (_moment, copying) => {
        await harness.addTarget('t1', service, copying(answerOf));
        await harness.addTarget('t2', service, copying(answerOf));
        let served = 0;
        for (let index = 0; index < 12; index++) {
          const text = await post(path, `r${index}`, idFor(index));
          if (text.startsWith('HTTP/1.1 200')) {
            served++;
            expect(text).toContain(`own r${index}`);
          }
          expect(text.match(/own r\d+/g) ?? []).toEqual(
            text.startsWith('HTTP/1.1 200') ? [`own r${index}`] : [],
          );
        }
        expect(served).toBeGreaterThan(0);
      });
    });
  });

  it('is not excused by the order of the requests on its connections', async () => {
    // Shows that the cases above use connections again.
    await harness.addTarget('t1', 'app', copyingAtNext(callAnswer));
    for (let index = 0; index < 6; index++) {
      await post('/once/x', `r${index}`, `a${index}`);
    }
    expect(reused).toBeGreaterThan(0);
  });
});
