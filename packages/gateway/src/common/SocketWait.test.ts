import { ManualClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { scheduleSocketWait } from './SocketWait.js';

describe('scheduleSocketWait', () => {
  it('calls back at its limit', async () => {
    const clock = new ManualClock();
    let calledAt: number | undefined;
    scheduleSocketWait(clock, 1_000, () => {
      calledAt = clock.now();
    });
    await clock.advance(5_000);
    expect(calledAt).toBe(1_000);
  });

  it.each([
    [1_100, 1_200],
    [9_000, 9_500],
  ])('waits on after a standstill until %i ms, but not for long', async (end, expected) => {
    const clock = new ManualClock();
    let calledAt: number | undefined;
    scheduleSocketWait(clock, 1_000, () => {
      calledAt = clock.now();
    });
    clock.freeze(end);
    await clock.advance(0);
    expect(calledAt).toBeUndefined();
    await clock.advance(5_000);
    expect(calledAt).toBe(expected);
  });

  it('does not call back once disposed, be it after a standstill', async () => {
    const clock = new ManualClock();
    let calls = 0;
    const wait = scheduleSocketWait(clock, 1_000, () => calls++);
    clock.freeze(3_000);
    await clock.advance(0);
    wait.dispose();
    await clock.advance(5_000);
    expect(calls).toBe(0);
  });
});
