/**
 * Measures the heap that a value retains, by the difference in use after full garbage collections.
 */

/** Heap bytes that the result of `create` retains. Requires `--expose-gc`. */
export function retainedBytes(create: () => unknown): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const retained = create();
  globalThis.gc?.();
  const after = process.memoryUsage().heapUsed;
  // Refers to the value after the second reading, so that it is not collected before.
  return retained === undefined ? 0 : after - before;
}
