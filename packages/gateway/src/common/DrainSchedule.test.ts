import { describe, expect, it } from 'vitest';
import { DrainSchedule } from './DrainSchedule.js';

const SHUTDOWN_MS = 8_000;
/** Requests sent later than this after the signal are counted as lost when they are cut. */
const LATEST_ACCEPTED_MS = 3_000;

describe('DrainSchedule', () => {
  const schedule = new DrainSchedule(1_000, SHUTDOWN_MS);
  const busy = { running: 1, lastRequestAt: 1_000 };

  it('takes requests at first, as callers keep addresses', () => {
    expect(schedule.accepts(1_000 + 2_000)).toBe(true);
  });

  it('takes none that might not end in time', () => {
    // mix --seed 485730284121: taken 3.3 s after the signal, cut at the end of the drain.
    expect(schedule.accepts(1_000 + LATEST_ACCEPTED_MS - 200)).toBe(false);
  });

  it('waits for what runs, but ends before it is ended by force', () => {
    expect(schedule.isOver(1_000 + 6_000, busy)).toBe(false);
    expect(schedule.isOver(1_000 + SHUTDOWN_MS - 500, busy)).toBe(true);
  });

  it('ends early when nothing runs and nothing came lately', () => {
    expect(schedule.isOver(4_000, { running: 0, lastRequestAt: 3_500 })).toBe(false);
    expect(schedule.isOver(4_000, { running: 0, lastRequestAt: 2_500 })).toBe(true);
    expect(schedule.isOver(2_000, { running: 0, lastRequestAt: 0 })).toBe(false);
  });
});
