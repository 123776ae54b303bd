import { describe, expect, it } from 'vitest';
import { DrainSchedule } from './DrainSchedule.js';

const SHUTDOWN_MS = 8_000;
/** A request sent later than this after the signal counts as lost if it is cut off. */
const LATEST_ACCEPTED_MS = 3_000;

describe('DrainSchedule', () => {
  const schedule = new DrainSchedule(1_000, SHUTDOWN_MS);
  const busy = { running: 1, lastRequestAt: 1_000 };

  it('accepts requests at first, since callers cache addresses', () => {
    expect(schedule.acceptsRequests(1_000 + 2_000)).toBe(true);
  });

  it('rejects requests that might not complete in time', () => {
    // Guards against a request being accepted 3.3 s after the signal and cut off at the end of the
    // drain, as with `mix --seed 485730284121`.
    expect(schedule.acceptsRequests(1_000 + LATEST_ACCEPTED_MS - 200)).toBe(false);
  });

  it('waits for requests in flight, but exits before the process is killed', () => {
    expect(schedule.isOver(1_000 + 6_000, busy)).toBe(false);
    expect(schedule.isOver(1_000 + SHUTDOWN_MS - 500, busy)).toBe(true);
  });

  it('exits early when no request is in flight and none arrived recently', () => {
    expect(schedule.isOver(4_000, { running: 0, lastRequestAt: 3_500 })).toBe(false);
    expect(schedule.isOver(4_000, { running: 0, lastRequestAt: 2_500 })).toBe(true);
    expect(schedule.isOver(2_000, { running: 0, lastRequestAt: 0 })).toBe(false);
  });
});
