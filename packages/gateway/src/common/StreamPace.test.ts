import { describe, expect, it } from 'vitest';
import { isReplacementFaster, StreamPace } from './StreamPace.js';

const LIMITS = { firstEventTimeoutMs: 1_200, nextEventTimeoutMs: 1_500 };
const START = 5_000;

/** Records events after the given pauses, and returns the pace and the time of the last event. */
function paceOf(pauses: readonly number[]): { pace: StreamPace; now: number } {
  const pace = new StreamPace(START, LIMITS);
  let now = START + 100;
  pace.recordEvent(now);
  for (const pauseMs of pauses) {
    now += pauseMs;
    pace.recordEvent(now);
  }
  return { pace, now };
}

describe('StreamPace', () => {
  it('waits for the first event and for later ones by their limits', () => {
    expect(new StreamPace(START, LIMITS).timeoutMs).toBe(1_200);
    expect(paceOf([]).pace.timeoutMs).toBe(1_500);
  });

  it('waits longer for a stream whose events come steadily but slowly', () => {
    // Guards against sound streams that are started again elsewhere at each slow event.
    expect(paceOf([1_400, 1_300, 1_450]).pace.timeoutMs).toBe(2_600);
  });

  it('does not wait longer after a single long pause', () => {
    // Guards against a silence that is noticed late since the engine once ran a long prefill.
    expect(paceOf([20, 1_400, 20, 25]).pace.timeoutMs).toBe(1_500);
    expect(paceOf([1_400, 1_400]).pace.timeoutMs).toBe(1_500);
  });

  it('is as strict as before once the stream has become fast again', () => {
    expect(paceOf([1_400, 1_400, 1_400, 30]).pace.timeoutMs).toBe(1_500);
  });

  it('does not count the time in which the caller read too slowly', () => {
    const { now, pace } = paceOf([30, 30]);
    pace.resume(now + 9_000);
    expect(pace.silenceMs(now + 9_100)).toBe(100);
    pace.recordEvent(now + 9_100);
    expect(pace.timeoutMs).toBe(1_500);
  });
});

describe('isReplacementFaster', () => {
  it('keeps an engine until its silence has lasted as long as another one would need', () => {
    expect(isReplacementFaster(1_500, 300)).toBe(true);
    expect(isReplacementFaster(1_500, 4_000)).toBe(false);
    expect(isReplacementFaster(4_000, 4_000)).toBe(true);
  });
});
