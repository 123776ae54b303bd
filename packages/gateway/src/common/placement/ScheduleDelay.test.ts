/** Engines that are behind their schedule, and what the placement makes of it. */
import { describe, expect, it } from 'vitest';
import { scheduleDelayMs } from './ScheduleDelay.js';
import { computeLoads } from './EngineLoad.js';
import type { EngineWork } from './LoadBoard.js';
import {
  engineEntry,
  shortPrompt as short,
  simpleProfile as profile,
} from './PlacementFixtures.js';
import { promptValue } from './PlacementLoss.js';
import { placePrompt } from './PromptPlacer.js';

const PASS_MS = 40;

function workOf(target: string, startedAt: number, more: Partial<EngineWork> = {}): EngineWork {
  return {
    id: `${target}@${startedAt}`,
    targets: [target],
    isMemoryShared: false,
    partPrefillMs: 20,
    startedAt,
    dueAt: startedAt + short.latencyTargetMs,
    isGenerating: false,
    pauseTargetMs: short.pauseTargetMs,
    value: promptValue(short.promptTokens, short.outputTokens),
    memoryTokens: 6_600,
    contextTokens: 5_000,
    ...more,
  };
}

describe('engineLagMs', () => {
  it('is 0 while no prompt is overdue', () => {
    expect(scheduleDelayMs([], PASS_MS, 1_000)).toBe(0);
    expect(scheduleDelayMs([workOf('e1', 1_000)], PASS_MS, 1_100)).toBe(0);
  });

  it('grows with the lateness of the oldest prompt, whatever was placed after it', () => {
    const works = [workOf('e1', 1_000), workOf('e1', 1_290)];
    expect(scheduleDelayMs(works, PASS_MS, 1_300)).toBe(180);
  });

  it('is 0 when a later prompt was answered', () => {
    const works = [workOf('e1', 1_000), workOf('e1', 1_100, { isGenerating: true })];
    expect(scheduleDelayMs(works, PASS_MS, 1_400)).toBe(0);
  });

  it('waits for the longer reads that came first', () => {
    const works = [workOf('e1', 900, { partPrefillMs: 500 }), workOf('e1', 1_000)];
    expect(scheduleDelayMs(works, PASS_MS, 1_500)).toBe(0);
  });
});

describe('short prompts that arrive while one engine is stuck with work of a lost node', () => {
  it('go to other engines as soon as the first of them is overdue', () => {
    // Packing prefers the engine that has streams already, which is the stuck one.
    const stuck = [workOf('e0', 0), workOf('e0', 10), workOf('e0', 20)];
    const entries = ['e0', 'e1', 'e2'].map((id) => engineEntry(id));
    const loads = computeLoads(profile, entries, stuck, 400);
    expect(placePrompt(profile, short, loads)?.targets.map(({ id }) => id)).toEqual(['e1']);
  });
});
