/** Nodes that place prompts before they hear of each other. */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { computeLoads } from './EngineLoad.js';
import type { EngineWork } from './LoadBoard.js';
import { engineEntry, shortPrompt, simpleProfile } from './PlacementFixtures.js';
import { promptValue } from './PlacementLoss.js';
import { placementJitter } from './PlacementJitter.js';
import { placePrompt } from './PromptPlacer.js';

const ENGINES = 60;
const USUAL_STREAMS = 6;
const STREAMS_OF_BEST = 4;
const SEEDS = 40;

function streamOn(target: string, index: number): EngineWork {
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
const works = entries.flatMap(({ id }, engine) =>
  Array.from({ length: engine === 0 ? STREAMS_OF_BEST : USUAL_STREAMS }, (_each, index) =>
    streamOn(id, index),
  ),
);
const loads = computeLoads(simpleProfile, entries, works, 1_000);

/** How many of some placements, made without news of each other, choose the best engine. */
function onBest(placements: number, newsDelayMs: number, seed: number): number {
  return Array.from({ length: placements }, (_each, node) => {
    const random = new SeededRandom(seed * 1_000 + node);
    const tieBreak = placementJitter({
      random,
      liveNodes: 80,
      placedPerSecond: 178,
      updateDelayMs: newsDelayMs,
    });
    return placePrompt(simpleProfile, shortPrompt, loads, tieBreak)?.targets[0]?.id;
  }).filter((id) => id === 'e0').length;
}

function meanOnBest(placements: number, newsDelayMs: number): number {
  const counts = Array.from({ length: SEEDS }, (_each, seed) =>
    onBest(placements, newsDelayMs, seed),
  );
  return counts.reduce((sum, count) => sum + count, 0) / SEEDS;
}

describe('placements on the same news', () => {
  it('leave the best engine within its slots though nine arrive before the news', () => {
    const free = simpleProfile.slots - STREAMS_OF_BEST;
    expect(meanOnBest(9, 35)).toBeLessThan(free);
  });

  it('take the best engine while news is faster than prompts', () => {
    expect(meanOnBest(1, 5)).toBeGreaterThan(0.9);
  });
});
