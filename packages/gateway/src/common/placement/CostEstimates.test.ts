/**
 * Replays ended requests and compares the estimate with the stated maximum. Guards against estimates
 * that are worse than the stated maximum, follow a false hint, or reach other workspaces.
 */
import { ManualClock, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CostEstimates, type CostRequest } from './CostEstimates.js';
import { simpleProfile } from './PlacementFixtures.js';

const STATED = 1_600;
/** Tokens of each event, which the estimates do not know. */
const EVENT_TOKENS = 16;
const WORKSPACES = 12;
const REQUESTS = 600;

/** An answer as the replay draws it. */
interface Answer {
  readonly tokens: number;
  readonly hint: number | undefined;
}

describe('CostEstimates', () => {
  let clock: ManualClock;
  let metrics: Metrics;
  let costs: CostEstimates;
  let random: SeededRandom;

  beforeEach(() => {
    clock = new ManualClock();
    metrics = new Metrics();
    costs = new CostEstimates({ clock, metrics });
    random = new SeededRandom(5);
  });

  function requestOf(changes: Partial<CostRequest> = {}): CostRequest {
    return {
      route: 'r',
      service: 'm',
      workspace: 'w0',
      promptTokens: 5_000,
      stated: STATED,
      hint: undefined,
      profile: simpleProfile,
      ...changes,
    };
  }

  function record(request: CostRequest, tokens: number): void {
    const events = Math.max(1, Math.round(tokens / EVENT_TOKENS));
    const generationMs = (events - 1) * EVENT_TOKENS * simpleProfile.stepMs * 1.5;
    costs.record({ request, estimate: costs.estimate(request), events, generationMs });
    clock.freeze(50);
  }

  /** A length around a share of the maximum; some answers are cut at the maximum. */
  function lengthAround(share: number, spread: number): number {
    const normal = random.next() + random.next() + random.next() + random.next() - 2;
    return Math.min(STATED, Math.max(EVENT_TOKENS, STATED * share * Math.exp(normal * spread)));
  }

  /** Plays requests and returns the mean error of estimate and maximum in the second half. */
  function play(draw: (index: number) => Answer): { learned: number; stated: number } {
    let learned = 0;
    let stated = 0;
    for (let index = 0; index < REQUESTS; index++) {
      const { hint, tokens } = draw(index);
      const request = requestOf({ workspace: `w${random.integer(WORKSPACES)}`, hint });
      if (index >= REQUESTS / 2) {
        learned += Math.abs(Math.log(costs.estimate(request).outputTokens / tokens));
        stated += Math.log(STATED / tokens);
      }
      record(request, tokens);
    }
    return { learned: learned / (REQUESTS / 2), stated: stated / (REQUESTS / 2) };
  }

  it.each<[string, number, (index: number) => Answer]>([
    [
      'hints that are right at the median',
      0.6,
      () => {
        const tokens = lengthAround(0.25, 2);
        return { tokens, hint: Math.max(1, Math.round(tokens * 2 ** (random.next() * 2 - 1))) };
      },
    ],
    [
      'skewed lengths without hints',
      0.7,
      () => ({ tokens: lengthAround(0.2, 2), hint: undefined }),
    ],
    [
      'lengths that drift to four times as much',
      0.75,
      (index) => ({ tokens: lengthAround(index < 400 ? 0.1 : 0.4, 1), hint: undefined }),
    ],
    [
      'hints that are a tenth',
      0.7,
      () => {
        const tokens = lengthAround(0.25, 2);
        return { tokens, hint: Math.max(1, Math.round(tokens / 10)) };
      },
    ],
    [
      'hints that say nothing',
      0.7,
      () => ({ tokens: lengthAround(0.25, 1.5), hint: 1 + random.integer(3 * STATED) }),
    ],
  ])('estimates answers better than the stated maximum: %s', (_name, share, draw) => {
    const { learned, stated } = play(draw);
    expect(learned).toBeLessThan(stated * share);
  });

  it('uses sound hints, and is hardly worse with hints that say nothing', () => {
    const lengths = Array.from({ length: REQUESTS }, () => lengthAround(0.25, 2));
    const errorWith = (hintOf: (tokens: number) => number | undefined): number => {
      costs = new CostEstimates({ clock, metrics });
      return play((index) => {
        const tokens = lengths[index] ?? 1;
        return { tokens, hint: hintOf(tokens) };
      }).learned;
    };
    const without = errorWith(() => undefined);
    const sound = errorWith((tokens) => Math.max(1, Math.round(tokens * 1.2)));
    const noise = errorWith(() => 1 + random.integer(3 * STATED));
    expect(sound).toBeLessThan(without * 0.5);
    expect(noise).toBeLessThan(without * 1.15);
  });

  it('estimates a service without history as it states, whatever the hint', () => {
    const expected = { outputTokens: STATED, generationMs: undefined, callMs: undefined };
    expect(costs.estimate(requestOf())).toEqual(expected);
    expect(costs.estimate(requestOf({ hint: 1 }))).toEqual(expected);
    for (let index = 0; index < 50; index++) {
      record(requestOf(), 200);
    }
    expect(costs.estimate(requestOf({ route: 'other' }))).toEqual(expected);
    expect(costs.estimate(requestOf({ promptTokens: 300_000 }))).toEqual(expected);
  });

  it('returns to what is stated when nothing is seen for long', () => {
    for (let index = 0; index < 50; index++) {
      record(requestOf(), 200);
    }
    expect(costs.estimate(requestOf()).outputTokens).toBeLessThan(STATED / 2);
    clock.freeze(1_800_000);
    expect(costs.estimate(requestOf()).outputTokens).toBeGreaterThan(STATED * 0.95);
  });

  it('is changed by a bounded factor by one observation', () => {
    for (let index = 0; index < 40; index++) {
      const before = costs.estimate(requestOf()).outputTokens;
      record(requestOf(), index === 20 ? STATED : EVENT_TOKENS);
      const after = costs.estimate(requestOf()).outputTokens;
      expect(Math.max(before / after, after / before)).toBeLessThan(4);
    }
  });

  it('never estimates less than a sixteenth of the maximum', () => {
    for (let index = 0; index < 200; index++) {
      record(requestOf({ stated: 100_000, hint: 1 }), EVENT_TOKENS);
    }
    const { outputTokens } = costs.estimate(requestOf({ stated: 100_000, hint: 1 }));
    expect(outputTokens).toBeGreaterThanOrEqual(100_000 / 16);
  });

  it('bounds what a workspace with odd answers does to others', () => {
    for (let index = 0; index < 200; index++) {
      record(requestOf({ workspace: `w${index % 8}` }), STATED * 0.25);
    }
    const before = costs.estimate(requestOf({ workspace: 'w1' })).outputTokens;
    const unknownBefore = costs.estimate(requestOf({ workspace: 'new' })).outputTokens;
    for (let index = 0; index < 2_000; index++) {
      record(requestOf({ workspace: 'odd', hint: 1 }), EVENT_TOKENS);
      if (index % 10 === 0) {
        record(requestOf({ workspace: `w${(index / 10) % 8}` }), STATED * 0.25);
      }
    }
    const after = costs.estimate(requestOf({ workspace: 'w1' })).outputTokens;
    const unknownAfter = costs.estimate(requestOf({ workspace: 'new' })).outputTokens;
    expect(before / after).toBeLessThan(1.2);
    expect(unknownBefore / unknownAfter).toBeLessThan(2);
  });

  it('bounds what a workspace does to others that states less than its answers have', () => {
    const normal = (): void => {
      for (let index = 0; index < 200; index++) {
        record(requestOf({ workspace: `w${index % 4}` }), lengthAround(0.4, 1.5));
      }
    };
    normal();
    const before = costs.estimate(requestOf({ workspace: 'w1' })).outputTokens;
    for (let index = 0; index < 500; index++) {
      record(requestOf({ workspace: 'odd', stated: 1 }), STATED);
      if (index % 10 === 0) {
        record(requestOf({ workspace: `w${(index / 10) % 4}` }), lengthAround(0.4, 1.5));
      }
    }
    const after = costs.estimate(requestOf({ workspace: 'w1' })).outputTokens;
    expect(before / after).toBeLessThan(2);
    expect(before / after).toBeGreaterThan(0.5);
  });

  it('makes no class for each prompt size that a caller states', () => {
    for (let power = 7; power < 300; power++) {
      record(requestOf({ promptTokens: 10 ** power }), 400);
    }
    expect(costs.size).toBe(1);
  });

  it('learns the time of generation, whatever the tokens of an event are', () => {
    for (let index = 0; index < 60; index++) {
      record(requestOf(), 400);
    }
    const actualMs = (400 - EVENT_TOKENS) * simpleProfile.stepMs * 1.5;
    const { generationMs = 0 } = costs.estimate(requestOf());
    expect(generationMs / actualMs).toBeGreaterThan(0.8);
    expect(generationMs / actualMs).toBeLessThan(1.3);
  });

  it('learns the time of calls by route', () => {
    const call = requestOf({ stated: 0, promptTokens: 0, profile: undefined });
    for (let index = 0; index < 30; index++) {
      costs.record({ request: call, estimate: costs.estimate(call), callMs: 30 });
    }
    expect(costs.estimate(call).callMs).toBeCloseTo(30, 0);
    expect(costs.estimate({ ...call, workspace: 'new' }).callMs).toBeCloseTo(30, 0);
    expect(costs.estimate({ ...call, route: 'other' }).callMs).toBeUndefined();
  });

  it('observes the error of each ended request', () => {
    record(requestOf(), 400);
    const text = metrics.render();
    expect(text).toContain('tanager_cost_error_ratio_count{estimate="learned"} 1');
    expect(text).toContain('tanager_cost_error_ratio_count{estimate="stated"} 1');
  });

  it('keeps at most 2,000 entries', () => {
    for (let index = 0; index < 3_000; index++) {
      record(requestOf({ workspace: `w${index}`, route: `r${index % 50}` }), 400);
      costs.speeds.record('m', `e${index}`, 100, 100);
    }
    expect(costs.size).toBeLessThanOrEqual(2_000);
  });
});
