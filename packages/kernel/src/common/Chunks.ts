/** Splits a list into consecutive chunks of `size` items; the last one may be shorter. */
export function chunksOf<T>(items: readonly T[], size: number): T[][] {
  const chunks: T[][] = [];
  for (let first = 0; first < items.length; first += size) {
    chunks.push(items.slice(first, first + size));
  }
  return chunks;
}
