import { SeededRandom } from '@tanagerdyke/kernel';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeRecordSet, digestOf, encodeRecordSet, type RecordSet } from './RecordsCodec.js';

const SET: RecordSet = {
  epoch: 3,
  end: 12,
  isKnown: true,
  records: [
    { key: 'a', offset: 4, value: Buffer.from('first') },
    { key: 'ä', offset: 11, value: undefined },
    { key: 'empty', offset: 9, value: Buffer.alloc(0) },
  ],
  earlier: [
    { key: 'b', epoch: 2, offset: 40, value: Buffer.from('second') },
    { key: 'c', epoch: 2, offset: 41, value: undefined },
  ],
};

describe('encodeRecordSet', () => {
  it('keeps records, removals and records of earlier epochs', () => {
    expect(decodeRecordSet(encodeRecordSet(SET)).unwrapOr(undefined)).toEqual(SET);
  });

  it('gives the same digest for the same records, and another one for others', () => {
    const others = { ...SET, end: 13 };
    expect(digestOf(encodeRecordSet(SET))).toBe(digestOf(encodeRecordSet({ ...SET })));
    expect(digestOf(encodeRecordSet(SET))).not.toBe(digestOf(encodeRecordSet(others)));
  });

  it('needs less than a fifth of the size for a configuration of many routes', () => {
    const random = new SeededRandom(1);
    const routes = Array.from({ length: 1_900 }, (_each, index) => ({
      name: `route-${index}`,
      host: `${random.integer(2 ** 32).toString(16)}.example`,
      pathPrefix: `/v1/${random.integer(2 ** 32).toString(16)}`,
      timeoutMs: random.integer(15_000),
      kind: 'streaming',
      service: 'assistant',
      latencyTargetMs: 300,
      maxAttempts: 2,
    }));
    const value = Buffer.from(JSON.stringify(routes));
    const encoded = encodeRecordSet({ ...SET, records: [{ key: 'config', offset: 1, value }] });
    expect(encoded.length).toBeLessThan(value.length / 5);
  });
});

describe('decodeRecordSet', () => {
  it('returns an error for a part of the bytes', () => {
    const bytes = encodeRecordSet(SET);
    for (let length = 0; length < bytes.length; length++) {
      expect(decodeRecordSet(bytes.subarray(0, length)).isErr).toBe(true);
    }
  });

  it('returns an error for any other bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        expect(decodeRecordSet(Buffer.from(bytes)).isErr).toBe(true);
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});
