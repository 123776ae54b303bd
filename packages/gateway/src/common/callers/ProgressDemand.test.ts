import { describe, expect, it } from 'vitest';
import { ProgressDemand } from './ProgressDemand.js';

const LIMITS = { graceMs: 3_000, bytesPerSecond: 4_096 };
const STEP_MS = 500;

/** Time until a transfer is too slow, or infinity if it goes on for a minute. */
function endOf(bytesPerStep: (step: number) => number): number {
  const demand = new ProgressDemand(LIMITS);
  let bytes = 0;
  for (let step = 1; step <= 120; step++) {
    bytes += bytesPerStep(step);
    if (!demand.advance(STEP_MS, bytes)) {
      return step * STEP_MS;
    }
  }
  return Number.POSITIVE_INFINITY;
}

describe('ProgressDemand', () => {
  it('ends a transfer that stopped, whatever it moved before', () => {
    expect(endOf((step) => (step === 1 ? 4_000_000 : 0))).toBe(3_500);
  });

  it('ends a transfer of a byte now and then', () => {
    expect(endOf(() => 1)).toBe(3_500);
  });

  it('permits a slow link, and a pause within the grace period', () => {
    expect(endOf(() => 4_096)).toBe(Number.POSITIVE_INFINITY);
    expect(endOf((step) => (step % 5 === 0 ? 20_000 : 0))).toBe(Number.POSITIVE_INFINITY);
  });
});
