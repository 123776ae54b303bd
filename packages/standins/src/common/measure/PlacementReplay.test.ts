/**
 * Compares placement by learned cost with placement by the stated maximum, on the same arrivals.
 * Guards against estimates that make callers worse off, above all by false hints.
 */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { replayPlacement, type ReplayedPrompt, type ReplayResult } from './PlacementReplay.js';

const STATED = 400;
const SECONDS = 30;
/** Prompts a second, and in the burst that begins after half of the time. */
const RATE = 14;
const BURST_RATE = 2.4 * RATE;
const BURST_SECONDS = 9.5;
const SEEDS = [1, 2];

type Draw = (
  random: SeededRandom,
  at: number,
  workspace: number,
) => Pick<ReplayedPrompt, 'tokens' | 'hint'>;

function arrivals(draw: Draw, seed: number): ReplayedPrompt[] {
  const random = new SeededRandom(seed);
  const prompts: ReplayedPrompt[] = [];
  const burstAt = (SECONDS * 1_000) / 2;
  for (let at = 0; at < SECONDS * 1_000;) {
    const isBurst = at >= burstAt && at < burstAt + BURST_SECONDS * 1_000;
    at += (-Math.log(1 - random.next()) * 1_000) / (isBurst ? BURST_RATE : RATE);
    const workspace = random.integer(6);
    const promptTokens = 500 + random.integer(2_000);
    const drawn = draw(random, at, workspace);
    prompts.push({ at, workspace: `w${workspace}`, promptTokens, stated: STATED, ...drawn });
  }
  return prompts;
}

/** Half of the workspaces have brief answers, the others long ones, both skewed. */
function lengthOf(random: SeededRandom, workspace: number): number {
  const normal = random.next() + random.next() + random.next() - 1.5;
  const usual = workspace < 3 ? 20 : 120;
  return Math.round(Math.min(STATED, Math.max(2, usual * Math.exp(normal))));
}

const sound: Draw = (random, _at, workspace) => {
  const tokens = lengthOf(random, workspace);
  return { tokens, hint: Math.max(1, Math.round(tokens * 2 ** (random.next() * 2 - 1))) };
};
const skewed: Draw = (random, _at, workspace) => ({
  tokens: lengthOf(random, workspace),
  hint: undefined,
});
const drifting: Draw = (random, at, workspace) => ({
  tokens: lengthOf(random, at > 12_000 ? 5 - workspace : workspace),
  hint: undefined,
});
const falseHints: Draw = (random, _at, workspace) => ({
  tokens: lengthOf(random, workspace),
  hint: workspace < 3 ? STATED : 1,
});

async function playAll(
  draw: Draw,
  isLearned: boolean,
  speeds: readonly number[] = [],
): Promise<ReplayResult> {
  const sum = { value: 0, late: 0, inTime: 0, unserved: 0, refusedAfterWait: 0, error: 0 };
  for (const seed of SEEDS) {
    const prompts = arrivals(draw, seed);
    const result = await replayPlacement({ prompts, isLearned, speeds, seed });
    sum.value += result.value / SEEDS.length;
    sum.error += result.error / SEEDS.length;
    sum.late += result.late;
    sum.inTime += result.inTime;
    sum.unserved += result.unserved;
    sum.refusedAfterWait += result.refusedAfterWait;
  }
  return sum;
}

describe('placement by learned cost, against the stated maximum', () => {
  it.each<[string, number, Draw]>([
    ['sound hints', 1.05, sound],
    ['skewed lengths', 1.05, skewed],
    ['drifting lengths', 1, drifting],
    ['false hints', 1.05, falseHints],
  ])('earns more value with %s', async (_name, leastGain, draw) => {
    const stated = await playAll(draw, false);
    const learned = await playAll(draw, true);
    expect(learned.error).toBeLessThan(stated.error * 0.6);
    expect(learned.value).toBeGreaterThan(stated.value * leastGain);
    expect(learned.late).toBeLessThan(stated.late);
    expect(learned.unserved).toBeLessThan(stated.unserved);
  });

  it('earns more value with an engine at a fifth of its speed', async () => {
    const stated = await playAll(skewed, false, [1, 1, 0.2]);
    const learned = await playAll(skewed, true, [1, 1, 0.2]);
    expect(learned.value).toBeGreaterThan(stated.value * 1.05);
    expect(learned.unserved).toBeLessThan(stated.unserved);
  });
});
