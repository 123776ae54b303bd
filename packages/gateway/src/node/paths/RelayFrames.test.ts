import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  encodeEnd,
  encodeFrame,
  encodeRelayRequest,
  encodeRetirement,
  FrameDecoder,
  parseRelayRequest,
  TargetEnd,
} from './RelayFrames.js';

const SEED = 20_261_204;

describe('RelayFrames', () => {
  describe('FrameDecoder', () => {
    it('returns the bytes and the end for any division into chunks', () => {
      const property = fc.property(
        fc.array(fc.uint8Array({ minLength: 1, maxLength: 20 })),
        fc.constantFrom(TargetEnd.Closed, TargetEnd.Reset, undefined),
        fc.integer({ min: 1, max: 9 }),
        (frames, end, chunkBytes) => {
          const sent = Buffer.concat([
            ...frames.map((each) => encodeFrame(Buffer.from(each))),
            ...(end === undefined ? [] : [encodeEnd(end)]),
          ]);
          const decoder = new FrameDecoder();
          const received: Buffer[] = [];
          let decodedEnd: TargetEnd | undefined;
          for (let at = 0; at < sent.length; at += chunkBytes) {
            const decoded = decoder.push(sent.subarray(at, at + chunkBytes));
            received.push(...decoded.chunks);
            decodedEnd = decoded.end;
            expect(decoded.isMalformed).toBe(false);
          }
          expect(Buffer.concat(received)).toEqual(Buffer.concat(frames));
          expect(decodedEnd).toBe(end);
        },
      );
      fc.assert(property, { seed: SEED });
    });

    it('returns the bytes around the frame that retires the connection', () => {
      const decoder = new FrameDecoder();
      const sent = Buffer.concat([
        encodeFrame(Buffer.from('a')),
        encodeRetirement(),
        encodeFrame(Buffer.from('b')),
      ]);
      expect(decoder.push(sent.subarray(0, 5)).isRetired).toBe(false);
      const { chunks, end, isRetired } = decoder.push(sent.subarray(5));
      expect({ text: Buffer.concat(chunks).toString(), end, isRetired }).toEqual({
        text: 'b',
        end: undefined,
        isRetired: true,
      });
    });

    it('rejects a length that no frame has', () => {
      const { isMalformed } = new FrameDecoder().push(Buffer.from([0x7f, 0, 0, 0, 1]));
      expect(isMalformed).toBe(true);
    });
  });

  describe('parseRelayRequest', () => {
    it.each([true, false])('returns a request that accepts retirement: %s', (acceptsRetirement) => {
      const request = { address: '10.0.0.1:80', acceptsRetirement };
      expect(parseRelayRequest(encodeRelayRequest(request).trimEnd())).toEqual(request);
    });

    it('returns a request of an earlier release', () => {
      expect(parseRelayRequest('RELAY 10.0.0.1:80')).toEqual({
        address: '10.0.0.1:80',
        acceptsRetirement: false,
      });
    });

    it.each([
      '',
      'RELAY ',
      'RELAY/2 ',
      'RELAY/3 10.0.0.1:80',
      'RELAY host:80',
      'GET / HTTP/1.1',
      'RELAY 10.0.0.1:80 x',
    ])('returns undefined for %j', (line) => {
      expect(parseRelayRequest(line)).toBeUndefined();
    });
  });
});
