/** Tests of the prefix index with gaps and with late and duplicate events. */
import { type CacheEvent, CacheEventKind } from '@tanagerdyke/contracts';
import { beforeEach, describe, expect, it } from 'vitest';
import { PrefixIndex } from './PrefixIndex.js';

function stored(sequence: number): CacheEvent {
  return { sequence, kind: CacheEventKind.Stored, prefix: `p${sequence}` };
}

const ENGINES = 700;
/** A tenth of the memory budget of a node for control data. */
const MAX_BYTES = 12_800_000;

describe('PrefixIndex', () => {
  describe('constructor', () => {
    it('allocates no memory for prefixes in advance', () => {
      const before = process.memoryUsage();
      const indexes = Array.from({ length: ENGINES }, () => new PrefixIndex());
      const after = process.memoryUsage();
      const used = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
      expect(indexes).toHaveLength(ENGINES);
      expect(used).toBeLessThan(MAX_BYTES);
    });
  });

  let index: PrefixIndex;

  beforeEach(() => {
    index = new PrefixIndex();
  });

  it('matches the longest run of cached prefixes', () => {
    index.apply([stored(0), stored(1)]);
    const tokens = index.match([
      { prefix: 'p0', tokens: 10 },
      { prefix: 'p1', tokens: 20 },
      { prefix: 'p9', tokens: 40 },
    ]);
    expect(tokens).toBe(30);
  });

  it('discards all prefixes at a gap', () => {
    index.apply([stored(0), stored(2)]);
    expect(index.match([{ prefix: 'p0', tokens: 10 }])).toBe(0);
    expect(index.match([{ prefix: 'p2', tokens: 10 }])).toBe(10);
  });

  it('ignores late and duplicate events', () => {
    index.apply([stored(0), stored(1), stored(2)]);
    index.apply([stored(0)]);
    expect(index.nextSequence).toBe(3);
    index.apply([stored(3)]);
    expect(index.match([{ prefix: 'p1', tokens: 10 }])).toBe(10);
  });
});
