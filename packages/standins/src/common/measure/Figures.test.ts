/** Tests of the figures of a measurement and of the shortest-prompt-first gate. */
import { describe, expect, it } from 'vitest';
import { IdleCurve } from './IdleCurve.js';
import { summarise } from './PolicySummary.js';
import { quantile } from './Quantiles.js';
import { ShortestFirstGate } from './ShortestFirstGate.js';
import { figuresOf, LengthBandName, type Sample } from './SliceFigures.js';

const IDLE = new IdleCurve([
  { tokens: 1_000, firstTokenMs: 70 },
  { tokens: 4_000, firstTokenMs: 220 },
]);

function sampleOf(change: Partial<Sample>): Sample {
  return {
    promptTokens: 2_000,
    workspace: 'w',
    atMs: 0,
    isAnswered: true,
    isTimely: true,
    isRefused: false,
    firstTokenMs: 240,
    gapsMs: [20],
    ...change,
  };
}

describe('quantile', () => {
  it('returns the nearest-rank value, and NaN without samples', () => {
    expect(quantile([4, 1, 3, 2], 0.5)).toBe(2);
    expect(quantile([4, 1, 3, 2], 0.95)).toBe(4);
    expect(quantile([], 0.5)).toBeNaN();
  });
});

describe('IdleCurve', () => {
  it('interpolates between points and extrapolates with the last slope', () => {
    expect(IDLE.firstTokenMs(2_000)).toBe(120);
    expect(IDLE.firstTokenMs(10_000)).toBe(520);
  });
});

describe('figuresOf', () => {
  const samples = [
    sampleOf({}),
    sampleOf({ isTimely: false, firstTokenMs: 480 }),
    sampleOf({ isAnswered: false, isTimely: false, isRefused: true, firstTokenMs: 1 }),
    sampleOf({ isAnswered: false, isTimely: false, firstTokenMs: 1 }),
  ];

  it('excludes late answers, refusals and failures from goodput', () => {
    const { answered, failed, goodput, refused } = figuresOf(samples, IDLE);
    expect({ answered, failed, goodput, refused }).toEqual({
      answered: 2,
      failed: 1,
      goodput: 0.25,
      refused: 1,
    });
  });

  it('computes the ratio to idle from answered requests only', () => {
    const { ratio } = figuresOf(samples, IDLE).bands[LengthBandName.UpTo4k];
    expect(ratio).toMatchObject({ count: 2, p50: 2, p95: 4 });
  });
});

describe('summarise', () => {
  it('groups by commit and computes statistics over seeds', () => {
    const line = (commit: string, seed: number, fairness: number) => ({
      commit,
      command: '',
      series: 'fairness',
      user: 'catania',
      policy: 'slowdown',
      seed,
      load: 1,
      figures: figuresOf([sampleOf({})], IDLE),
      processorMsPerRequest: 1,
      prefixHitShare: 0,
      fairness,
    });
    const [first, second] = summarise([line('a', 1, 1), line('a', 2, 3), line('b', 1, 9)]);
    expect(first?.figures.fairness).toEqual({ median: 1, min: 1, max: 3, seeds: 2 });
    expect(second?.figures.fairness?.median).toBe(9);
  });
});

describe('ShortestFirstGate', () => {
  it('admits the shortest waiting prompt first', async () => {
    const gate = new ShortestFirstGate(1);
    const order: number[] = [];
    await gate.enter(500);
    const waiting = [9_000, 1_000].map((tokens) =>
      gate.enter(tokens).then(() => {
        order.push(tokens);
        gate.leave();
      }),
    );
    gate.leave();
    await Promise.all(waiting);
    expect(order).toEqual([1_000, 9_000]);
  });
});
