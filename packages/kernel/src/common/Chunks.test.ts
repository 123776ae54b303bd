import { describe, expect, it } from 'vitest';
import { chunksOf } from './Chunks.js';

describe('chunksOf', () => {
  it.each([
    [[], []],
    [[1], [[1]]],
    [[1, 2], [[1, 2]]],
    [
      [1, 2, 3, 4, 5],
      [[1, 2], [3, 4], [5]],
    ],
  ])('splits %j by two', (items: number[], chunks) => {
    expect(chunksOf(items, 2)).toEqual(chunks);
  });
});
