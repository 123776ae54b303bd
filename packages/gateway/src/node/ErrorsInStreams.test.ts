/** Streams that break off, and engines whose answers to the rest are no continuation of them. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerText,
  chunkOf,
  ForwardingHarness,
  STREAM_END,
  STREAM_HEAD,
  type TargetScript,
} from './ForwardingHarness.js';

const EVENTS = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: event ${id}\n\n`);
const [FIRST = '', SECOND = '', THIRD = '', FOURTH = ''] = EVENTS;
const REST = STREAM_HEAD + chunkOf(THIRD + FOURTH) + STREAM_END;
const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Type: text/event-stream\r\n\r\n';
const ERROR_BODY = '{"error": "the engine failed"}';
const ERROR_ANSWER = answerText(500, ['Content-Type: application/json'], ERROR_BODY);

/** Sends two events and breaks off. */
const breakOff: TargetScript = (socket) => {
  socket.write(STREAM_HEAD + chunkOf(FIRST + SECOND));
  setImmediate(() => socket.destroy());
};

/** Sends what is given and closes the connection in order. */
function answering(text: string): TargetScript {
  return (socket) => {
    socket.end(text);
  };
}

describe('a stream that breaks off', () => {
  let harness: ForwardingHarness;

  beforeEach(async () => {
    harness = new ForwardingHarness();
    await harness.start();
  });

  afterEach(() => harness.stop());

  /** The first engine that is asked gets the first script, each further one the second. */
  async function streamOf(first: TargetScript, next: TargetScript): Promise<string> {
    let asked = 0;
    const script: TargetScript = (socket, request) => {
      asked++;
      (asked === 1 ? first : next)(socket, request);
    };
    await harness.addTarget('engine-1', 'engine', script);
    await harness.addTarget('engine-2', 'engine', script);
    return harness.post('/stream/x', ['Prompt: 100', 'Output: 10']);
  }

  /** Checks that the caller got nothing but the events, each of them at most once. */
  function expectOnlyEvents(answer: string): void {
    expect(answer.match(/HTTP\/1\.1/g)).toHaveLength(1);
    expect(answer).not.toContain('error');
    expect(answer).not.toContain('engine failed');
    for (const event of EVENTS) {
      expect(answer.split(event).length).toBeLessThanOrEqual(2);
    }
  }

  const isComplete = (answer: string): boolean => answer.endsWith(STREAM_END);

  describe('when the next engine does not continue it', () => {
    const continuations: readonly (readonly [string, string])[] = [
      ['answers with an error', ERROR_ANSWER],
      ['answers with a refusal', answerText(503, ['Not-Run: yes'], 'full error')],
      ['answers without a body', 'HTTP/1.1 204 No Content\r\nAttempt: a1\r\n\r\n'],
      ['answers with nothing and closes the connection', UNFRAMED_HEAD],
      ['answers with JSON', answerText(200, ['Content-Type: application/json'], ERROR_BODY)],
      [
        'answers with JSON that looks like an event',
        answerText(200, ['Content-Type: application/json'], 'data: error\n\n'),
      ],
      ['sends an error as the stream', STREAM_HEAD + chunkOf(`${ERROR_BODY}\n\n`) + STREAM_END],
      [
        'sends the head of an error as the stream',
        STREAM_HEAD + chunkOf('HTTP/1.1 500 error\r\nX: y\r\n\r\n') + STREAM_END,
      ],
      [
        'sends an error in the middle of an event',
        STREAM_HEAD + chunkOf(`id: 3\ndata: eveHTTP/1.1 500 error\r\nX: y\r\n\r\n`) + STREAM_END,
      ],
    ];

    it.each(continuations)('is broken if it %s', async (_what, text) => {
      const answer = await streamOf(breakOff, answering(text));
      expect(answer).toContain(FIRST + SECOND);
      expectOnlyEvents(answer);
      expect(isComplete(answer)).toBe(false);
    });
  });

  it('is complete when the next engine sends the rest', async () => {
    const answer = await streamOf(breakOff, answering(REST));
    expectOnlyEvents(answer);
    expect(answer).toContain(THIRD);
    expect(answer).toContain(FOURTH);
    expect(isComplete(answer)).toBe(true);
  });

  it('is complete when the next engine states that nothing is left', async () => {
    const answer = await streamOf(breakOff, answering(STREAM_HEAD + STREAM_END));
    expectOnlyEvents(answer);
    expect(isComplete(answer)).toBe(true);
  });

  it('has no event twice when the next engine begins anew', async () => {
    const whole = STREAM_HEAD + chunkOf(EVENTS.join('')) + STREAM_END;
    const answer = await streamOf(breakOff, answering(whole));
    expectOnlyEvents(answer);
    expect(answer).toContain(FOURTH);
    expect(isComplete(answer)).toBe(true);
  });

  it('does not look complete when the rest has no length and is reset', async () => {
    const answer = await streamOf(breakOff, (socket) => {
      socket.write(UNFRAMED_HEAD + THIRD);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expectOnlyEvents(answer);
    expect(isComplete(answer)).toBe(false);
  });

  describe('when its own engine appends an error', () => {
    it('has no part of a second answer on the connection', async () => {
      const text = STREAM_HEAD + chunkOf(EVENTS.join('')) + STREAM_END + ERROR_ANSWER;
      const answer = await streamOf(answering(text), answering(REST));
      expectOnlyEvents(answer);
      expect(isComplete(answer)).toBe(true);
    });

    it.each([
      ['behind an event', FIRST + SECOND + ERROR_ANSWER],
      ['in the middle of an event', `${FIRST}${SECOND}id: 3\ndata: ${ERROR_ANSWER}`],
    ])('is resumed without it if the error comes %s', async (_where, body) => {
      const answer = await streamOf(answering(UNFRAMED_HEAD + body), answering(REST));
      expectOnlyEvents(answer);
      expect(answer).toContain(FOURTH);
      expect(isComplete(answer)).toBe(true);
    });
  });

  it('is not longer than a length that its first engine stated', async () => {
    const stated = FIRST.length + SECOND.length + THIRD.length;
    const head = `HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Type: text/event-stream\r\nContent-Length: ${stated}\r\n\r\n`;
    const answer = await streamOf((socket) => {
      socket.write(head + FIRST + SECOND);
      setImmediate(() => socket.destroy());
    }, answering(REST));
    const body = answer.slice(answer.indexOf('\r\n\r\n') + 4);
    expect(body).toBe(FIRST + SECOND);
  });
});
