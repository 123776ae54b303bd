/** Tests that loads never exceed the rate of the weight store. */
import { ManualClock } from '@tanagerdyke/kernel';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { WeightLoadLimiter } from './WeightLoadLimiter.js';

const MS_PER_MINUTE = 60_000;

describe('WeightLoadLimiter', () => {
  describe('tryTake', () => {
    it('allows no load before the rate has accrued one, and none at a rate of zero', async () => {
      const clock = new ManualClock();
      const limiter = new WeightLoadLimiter(clock, 0);
      await clock.advance(MS_PER_MINUTE);
      expect(limiter.tryTake()).toBe(false);
      limiter.setRate(1);
      expect(limiter.tryTake()).toBe(false);
      await clock.advance(MS_PER_MINUTE);
      expect(limiter.tryTake()).toBe(true);
      expect(limiter.tryTake()).toBe(false);
    });

    it('allows at most the loads that the rates have accrued, for any waits', async () => {
      const step = fc.record({ waitMs: fc.nat(100_000), rate: fc.nat(30), takes: fc.nat(5) });
      await fc.assert(
        fc.asyncProperty(fc.array(step), async (steps) => {
          const clock = new ManualClock();
          const limiter = new WeightLoadLimiter(clock, 0);
          let accrued = 0;
          let taken = 0;
          for (const { waitMs, rate, takes } of steps) {
            limiter.setRate(rate);
            await clock.advance(waitMs);
            accrued += (rate * waitMs) / MS_PER_MINUTE;
            for (let take = 0; take < takes; take++) {
              taken += limiter.tryTake() ? 1 : 0;
            }
            expect(taken).toBeLessThanOrEqual(accrued + ROUNDING_TOLERANCE);
          }
        }),
        { seed: 7 },
      );
    });
  });
});

/** Tolerance for rounding errors of floating point sums. */
const ROUNDING_TOLERANCE = 1e-6;
