import { ManualClock } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { TimerDelay } from './TimerDelay.js';

describe('TimerDelay', () => {
  let clock: ManualClock;
  let delay: TimerDelay;

  beforeEach(() => {
    clock = new ManualClock();
    delay = new TimerDelay(clock);
  });

  afterEach(() => {
    delay.dispose();
  });

  it('is zero while timers fire in time', async () => {
    await clock.advance(5_000);
    expect(delay.recentMs).toBe(0);
  });

  describe('after a pause of the process', () => {
    beforeEach(async () => {
      await clock.advance(300);
      clock.freeze(400);
      await clock.advance(1);
    });

    it('is the time by which the timer was late', () => {
      expect(delay.recentMs).toBe(300);
    });

    it('is zero again after a second without one', async () => {
      await clock.advance(1_000);
      expect(delay.recentMs).toBe(0);
    });
  });
});
