import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ByteCollector } from './ByteCollector.js';

describe('ByteCollector', () => {
  it('returns the bytes in order, whatever the size of the pieces', () => {
    const sizes = fc.array(fc.oneof(fc.nat(20), fc.nat(3_000), fc.nat(40_000)), { maxLength: 30 });
    fc.assert(
      fc.property(sizes, (all) => {
        const collector = new ByteCollector();
        const pieces = all.map((size, index) => Buffer.alloc(size, index));
        for (const piece of pieces) {
          collector.add(piece);
        }
        const expected = Buffer.concat(pieces);
        expect(collector.length).toBe(expected.length);
        expect(collector.toBuffer().equals(expected)).toBe(true);
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('is empty again after it was cleared', () => {
    const collector = new ByteCollector();
    collector.add(Buffer.from('abc'));
    collector.clear();
    expect(collector.length).toBe(0);
    expect(collector.toBuffer()).toHaveLength(0);
  });
});
