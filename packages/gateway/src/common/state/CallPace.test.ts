import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallPace } from './CallPace.js';

const MIN_MS = 1_000;
const WAIT_MS = 1_200;

describe('CallPace', () => {
  let clock: ManualClock;
  let pace: CallPace;

  beforeEach(() => {
    clock = new ManualClock();
    pace = new CallPace(clock);
  });

  /** A call that is answered after a time, and fails or is late meanwhile if `isLate`. */
  async function answerAfter(tookMs: number, isLate: boolean): Promise<void> {
    const startedAt = clock.now();
    await clock.advance(tookMs / 2);
    if (isLate) {
      pace.recordFailure();
    }
    await clock.advance(tookMs / 2);
    pace.recordAnswer({ startedAt, waitMs: WAIT_MS });
  }

  it('allows twice the time of late answers', async () => {
    await answerAfter(WAIT_MS + 800, false);
    expect(pace.marginMs(MIN_MS)).toBe(1_600);
  });

  it('returns to the least margin when answers are on time', async () => {
    await answerAfter(WAIT_MS + 1_900, false);
    for (let answer = 0; answer < 4; answer++) {
      await answerAfter(WAIT_MS, false);
    }
    expect(pace.marginMs(MIN_MS)).toBe(MIN_MS);
  });

  describe('when an answer ends an outage', () => {
    it('does not take the outage for the pace of the platform', async () => {
      await answerAfter(6_000, true);
      expect(pace.marginMs(MIN_MS)).toBe(MIN_MS);
    });

    it('counts a call that began before from the return on', async () => {
      const startedAt = clock.now();
      await answerAfter(6_000, true);
      await clock.advance(700);
      pace.recordAnswer({ startedAt, waitMs: WAIT_MS });
      expect(pace.marginMs(MIN_MS)).toBe(1_400);
    });

    it('announces the return once', async () => {
      let returns = 0;
      pace.onReturn(() => returns++);
      await answerAfter(6_000, true);
      await answerAfter(WAIT_MS, false);
      expect(returns).toBe(1);
      expect(pace.isLost).toBe(false);
    });
  });
});
