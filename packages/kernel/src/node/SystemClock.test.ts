import { describe, expect, it } from 'vitest';
import { SystemClock } from './SystemClock.js';

describe('SystemClock', () => {
  it.each([2 ** 31, 1e300, Number.POSITIVE_INFINITY])(
    'does not run a callback at once that is due after %d ms',
    async (delayMs) => {
      const clock = new SystemClock();
      let hasRun = false;
      const timer = clock.schedule(delayMs, () => {
        hasRun = true;
      });
      await clock.sleep(20);
      timer.dispose();
      expect(hasRun).toBe(false);
    },
  );
});
