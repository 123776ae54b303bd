import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventStreamSplitter } from './EventStreamSplitter.js';

const SEED = 20_261_203;

function eventOf(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

/** Splits a stream into chunks at the given positions. */
function split(bytes: Buffer, positions: readonly number[]): Buffer[] {
  const ends = [...new Set(positions.map((position) => position % (bytes.length + 1)))].sort(
    (a, b) => a - b,
  );
  const starts = [0, ...ends];
  return starts.map((start, index) => bytes.subarray(start, ends[index] ?? bytes.length));
}

describe('EventStreamSplitter', () => {
  describe('push', () => {
    it('buffers an incomplete event', () => {
      const splitter = new EventStreamSplitter(undefined);
      expect(splitter.push(Buffer.from('id: 1\ndata: x')).length).toBe(0);
      expect(splitter.push(Buffer.from('\n\n')).toString()).toBe('id: 1\ndata: x\n\n');
      expect(splitter.lastEventId).toBe('1');
    });

    it.each([
      ['a comment', ': ping\n\n'],
      ['a field without a value', 'data\n\n'],
      ['another field before the known ones', 'x-extension: 3\nid: 4\ndata: y\n\n'],
      ['a byte order mark', '\ufeffdata: x\n\n'],
    ])('forwards an event with %s', (_what, event) => {
      const splitter = new EventStreamSplitter(undefined);
      expect(splitter.push(Buffer.from(event)).toString()).toBe(event);
      expect(splitter.isMalformed).toBe(false);
    });

    it.each([
      ['a head', 'HTTP/1.1 500 Failed\r\nX: y\r\n\r\n'],
      ['a head with a field of an event', 'HTTP/1.1 500 Failed\r\nid: 7\r\n\r\n'],
      ['JSON', '{"error": "data: x"}\n\n'],
      ['a head in an event', 'id: 1\ndata: HTTP/1.1 500 Failed\r\nX: y\r\n\r\n'],
    ])('forwards neither %s nor what follows it', (_what, text) => {
      const splitter = new EventStreamSplitter(undefined);
      const first = 'id: 1\ndata: x\n\n';
      const bytes = Buffer.from(`${first}${text}id: 2\ndata: y\n\n`);
      expect(splitter.push(bytes).toString()).toBe(first);
      expect(splitter.isMalformed).toBe(true);
    });

    it('drops events that the receiver already has', () => {
      const splitter = new EventStreamSplitter('2');
      const stream = eventOf(2, 'old') + eventOf(3, 'new');
      expect(splitter.push(Buffer.from(stream)).toString()).toBe(eventOf(3, 'new'));
    });

    it('accepts CRLF line ends', () => {
      const splitter = new EventStreamSplitter(undefined);
      const stream = 'id: 1\r\ndata: x\r\n\r\n';
      expect(splitter.push(Buffer.from(stream)).toString()).toBe(stream);
    });

    it('forwards every byte once, in order, however the stream is split into chunks', () => {
      const property = fc.property(
        fc.array(fc.string({ unit: 'grapheme-ascii', maxLength: 20 }), { maxLength: 12 }),
        fc.array(fc.nat(2_000), { maxLength: 20 }),
        (texts, positions) => {
          const stream = texts.map((text, index) => eventOf(index + 1, text)).join('');
          const splitter = new EventStreamSplitter(undefined);
          const chunks = split(Buffer.from(stream), positions);
          const passed = Buffer.concat(chunks.map((chunk) => splitter.push(chunk)));
          expect(passed.toString()).toBe(stream);
          expect(splitter.bufferedBytes).toBe(0);
        },
      );
      fc.assert(property, { seed: SEED });
    });

    it('splits a stream with line ends of both kinds in the same way in chunks of any size', () => {
      const text = fc.array(fc.constantFrom('\n', '\r\n', '\r', 'data: x', ':', 'id: 1'), {
        maxLength: 30,
      });
      const property = fc.property(text, fc.array(fc.nat(100)), (texts, positions) => {
        const stream = Buffer.from(texts.join(''));
        const whole = new EventStreamSplitter(undefined);
        const expected = whole.push(stream);
        const splitter = new EventStreamSplitter(undefined);
        const chunks = split(stream, positions);
        const passed = Buffer.concat(chunks.map((chunk) => splitter.push(chunk)));
        expect(passed.toString()).toBe(expected.toString());
        expect(splitter.isMalformed).toBe(whole.isMalformed);
        expect(splitter.newEventCount).toBe(whole.newEventCount);
      });
      fc.assert(property, { seed: SEED, numRuns: 500 });
    });

    it('never throws and never adds bytes, for any input', () => {
      const property = fc.property(fc.array(fc.uint8Array({ maxLength: 50 })), (chunks) => {
        const splitter = new EventStreamSplitter(undefined);
        const all = Buffer.concat(chunks);
        const passed = Buffer.concat(chunks.map((chunk) => splitter.push(Buffer.from(chunk))));
        expect(passed.length + splitter.bufferedBytes).toBeLessThanOrEqual(all.length);
      });
      fc.assert(property, { seed: SEED });
    });
  });

  describe('discardPartialEvent', () => {
    it('discards an incomplete event and continues after the last complete one', () => {
      const splitter = new EventStreamSplitter(undefined);
      splitter.push(Buffer.from(`${eventOf(1, 'a')}id: 2\ndata: ha`));
      splitter.discardPartialEvent();
      const next = splitter.push(Buffer.from(eventOf(2, 'whole')));
      expect(next.toString()).toBe(eventOf(2, 'whole'));
    });
  });
});
