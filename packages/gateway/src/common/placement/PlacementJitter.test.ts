/**
 * Replays the restart of a whole fleet under load: nodes without records of each other's requests
 * must not all choose the engine that looks best to each of them.
 */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { computeLoads } from './EngineLoad.js';
import { engineEntry, shortPrompt, simpleProfile } from './PlacementFixtures.js';
import { placementJitter } from './PlacementJitter.js';
import { promptValue } from './PlacementLoss.js';
import { placePrompt } from './PromptPlacer.js';

const ENGINES = 60;
const STREAMS_PER_ENGINE = 6;
const STREAMS_ON_BEST = 4;
const SEEDS = 40;

function streamOn(target: string, index: number): ActiveRequest {
  return {
    id: `${target}-${index}`,
    targets: [target],
    isMemoryShared: false,
    partPrefillMs: 20,
    startedAt: 0,
    dueAt: 300,
    isGenerating: true,
    pauseTargetMs: shortPrompt.pauseTargetMs,
    value: promptValue(shortPrompt.promptTokens, shortPrompt.outputTokens),
    memoryTokens: 6_600,
    contextTokens: 5_000,
  };
}

const entries = Array.from({ length: ENGINES }, (_each, index) => engineEntry(`e${index}`));
const requests = entries.flatMap(({ id }, engine) =>
  Array.from({ length: engine === 0 ? STREAMS_ON_BEST : STREAMS_PER_ENGINE }, (_each, index) =>
    streamOn(id, index),
  ),
);
const loads = computeLoads(simpleProfile, entries, requests, 1_000);

/** Counts how many placements, made without knowledge of each other, choose the best engine. */
function countOnBest(placements: number, seed: number): number {
  return Array.from({ length: placements }, (_each, node) => {
    const randomLoss = placementJitter(new SeededRandom(seed * 1_000 + node));
    return placePrompt(simpleProfile, shortPrompt, loads, randomLoss)?.targets[0]?.id;
  }).filter((id) => id === 'e0').length;
}

function meanCountOnBest(placements: number): number {
  const counts = Array.from({ length: SEEDS }, (_each, seed) => countOnBest(placements, seed));
  return counts.reduce((sum, count) => sum + count, 0) / SEEDS;
}

describe('placements by nodes without a common account', () => {
  it('do not overfill the best engine when nine of them are made at once', () => {
    expect(meanCountOnBest(9)).toBeLessThan(simpleProfile.slots - STREAMS_ON_BEST);
  });

  it('spread over idle engines', () => {
    const idle = computeLoads(simpleProfile, entries, [], 1_000);
    const chosen = Array.from({ length: ENGINES }, (_each, node) => {
      const randomLoss = placementJitter(new SeededRandom(node));
      return placePrompt(simpleProfile, shortPrompt, idle, randomLoss)?.targets[0].id;
    });
    expect(new Set(chosen).size).toBeGreaterThan(ENGINES / 2);
  });
});
