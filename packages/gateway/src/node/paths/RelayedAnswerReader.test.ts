import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { type AnswerHead, RelayedAnswerReader } from './RelayedAnswerReader.js';

const SEED = 20_261_204;
const HEAD = 'HTTP/1.1 503 Full\r\nPause: 2\r\nContent-Length: 4\r\n\r\n';
const EXPECTED = { status: 503, headers: ['Pause', '2', 'Content-Length', '4'] };

describe('RelayedAnswerReader', () => {
  let reader: RelayedAnswerReader;

  beforeEach(() => {
    reader = new RelayedAnswerReader();
  });

  function push(...texts: readonly string[]): AnswerHead[] {
    return texts.flatMap((text) => reader.push(Buffer.from(text)) ?? []);
  }

  it('returns one head for any division into chunks', () => {
    const property = fc.property(fc.integer({ min: 1, max: 60 }), (chunkLength) => {
      reader = new RelayedAnswerReader();
      reader.expectAnswer();
      const text = `${HEAD}body`;
      const count = Math.ceil(text.length / chunkLength);
      const chunks = Array.from({ length: count }, (_each, index) =>
        text.slice(index * chunkLength, (index + 1) * chunkLength),
      );
      expect(push(...chunks)).toEqual([EXPECTED]);
    });
    fc.assert(property, { seed: SEED });
  });

  it('returns the head of each answer', () => {
    reader.expectAnswer();
    push(`${HEAD}body`);
    reader.expectAnswer();
    expect(push(HEAD)).toEqual([EXPECTED]);
  });

  it('returns the final head after informational ones', () => {
    reader.expectAnswer();
    expect(push(`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n${HEAD}`)).toEqual([
      EXPECTED,
    ]);
  });

  it('ignores what the target sends without a request', () => {
    expect(push(HEAD)).toEqual([]);
  });

  it('ignores the rest of an answer that began before the whole request was sent', () => {
    reader.expectAnswer();
    push(HEAD.replace('503', '200'));
    reader.expectAnswer();
    expect(push('event: x\r\n\r\n', HEAD)).toEqual([]);
  });

  it.each(['HTTP/1.1 x\r\n\r\n', 'HTTP/2 200\r\n\r\n', `HTTP/1.1 ${'x'.repeat(100_000)}`])(
    'ignores bytes that are no head',
    (text) => {
      reader.expectAnswer();
      expect(push(text, HEAD)).toEqual([]);
    },
  );
});
