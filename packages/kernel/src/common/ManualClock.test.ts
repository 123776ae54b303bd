/** Tests of the clock that tests advance explicitly. */
import { describe, expect, it } from 'vitest';
import { ManualClock } from './ManualClock.js';

describe('ManualClock', () => {
  describe('advance', () => {
    it('runs callbacks in order of their due time', async () => {
      const clock = new ManualClock();
      const seen: string[] = [];
      clock.schedule(20, () => seen.push('later'));
      clock.schedule(10, () => seen.push('sooner'));
      await clock.advance(30);
      expect(seen).toEqual(['sooner', 'later']);
    });

    it('runs a timer that a callback schedules within the same advance', async () => {
      const clock = new ManualClock();
      const seen: number[] = [];
      clock.schedule(10, () => {
        clock.schedule(10, () => seen.push(clock.now()));
      });
      await clock.advance(30);
      expect(seen).toEqual([20]);
    });

    it('does not run a disposed timer', async () => {
      const clock = new ManualClock();
      const seen: number[] = [];
      clock.schedule(10, () => seen.push(1)).dispose();
      await clock.advance(30);
      expect(seen).toEqual([]);
    });
  });

  describe('sleep', () => {
    it('resolves immediately when its signal aborts', async () => {
      const clock = new ManualClock();
      const abort = new AbortController();
      const slept = clock.sleep(1_000, abort.signal);
      abort.abort();
      await slept;
      expect(clock.now()).toBe(0);
    });
  });

  describe('stepWallClock', () => {
    it('changes wall time and leaves monotonic time unchanged', () => {
      const clock = new ManualClock(100);
      clock.stepWallClock(-50);
      expect(clock.wallTime()).toBe(50);
      expect(clock.now()).toBe(0);
    });
  });
});
