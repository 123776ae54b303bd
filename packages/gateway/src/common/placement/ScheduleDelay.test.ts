/**
 * Guards against short prompts being placed on a stuck engine. The node whose requests occupy it is
 * lost, so the active requests that every other node has on record show the engine as idle.
 */
import { describe, expect, it } from 'vitest';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { computeLoads } from './EngineLoad.js';
import {
  engineEntry,
  shortPrompt as short,
  simpleProfile as profile,
} from './PlacementFixtures.js';
import { promptValue } from './PlacementLoss.js';
import { placePrompt } from './PromptPlacer.js';
import { scheduleDelayMs } from './ScheduleDelay.js';

const PASS_MS = 40;

function requestOn(
  target: string,
  startedAt: number,
  more: Partial<ActiveRequest> = {},
): ActiveRequest {
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

describe('scheduleDelayMs', () => {
  it('is 0 while no first event is overdue', () => {
    expect(scheduleDelayMs([], PASS_MS, 1_000)).toBe(0);
    expect(scheduleDelayMs([requestOn('e1', 1_000)], PASS_MS, 1_100)).toBe(0);
  });

  it('is the time by which the oldest prompt is overdue, whatever was placed after it', () => {
    const requests = [requestOn('e1', 1_000), requestOn('e1', 1_290)];
    expect(scheduleDelayMs(requests, PASS_MS, 1_300)).toBe(180);
  });

  it('is 0 when a later prompt already generates', () => {
    const requests = [requestOn('e1', 1_000), requestOn('e1', 1_100, { isGenerating: true })];
    expect(scheduleDelayMs(requests, PASS_MS, 1_400)).toBe(0);
  });

  it('allows for the prefill of longer prompts that started earlier', () => {
    const requests = [requestOn('e1', 900, { partPrefillMs: 500 }), requestOn('e1', 1_000)];
    expect(scheduleDelayMs(requests, PASS_MS, 1_500)).toBe(0);
  });
});

describe('short prompts while one engine is stuck with requests of a lost node', () => {
  it('are placed on other engines as soon as the first one on that engine is overdue', () => {
    // Without the delay, packing would prefer the stuck engine, as it already has streams.
    const stuck = [requestOn('e0', 0), requestOn('e0', 10), requestOn('e0', 20)];
    const entries = ['e0', 'e1', 'e2'].map((id) => engineEntry(id));
    const loads = computeLoads(profile, entries, stuck, 400);
    expect(placePrompt(profile, short, loads)?.targets.map(({ id }) => id)).toEqual(['e1']);
  });
});
