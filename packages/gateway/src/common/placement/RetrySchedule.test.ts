/** Replays callers that are refused together and would return together. */
import { describe, expect, it } from 'vitest';
import { RetrySchedule } from './RetrySchedule.js';

describe('RetrySchedule', () => {
  it('gives callers that are refused at the same moment different turns', () => {
    const retries = new RetrySchedule();
    const turns = Array.from({ length: 10 }, () => retries.next(1_000, 200, 50));
    expect(turns).toEqual([200, 250, 300, 350, 400, 450, 500, 550, 600, 650]);
  });

  it('starts again from the expected time once the turns given before are over', () => {
    const retries = new RetrySchedule();
    retries.next(0, 200, 50);
    expect(retries.next(10_000, 200, 50)).toBe(200);
  });

  it('does not lead callers beyond the limit, however many are refused', () => {
    const retries = new RetrySchedule();
    const turns = Array.from({ length: 500 }, () => retries.next(0, 200, 100));
    expect(Math.max(...turns)).toBe(5_000);
  });
});
