import { describe, expect, it } from 'vitest';
import { computeLoads, type EngineLoad } from './EngineLoad.js';
import type { EngineWork } from './LoadBoard.js';
import { engineEntry, simpleProfile as profile } from './PlacementFixtures.js';

const entry = engineEntry('e1');

function workOf(targets: readonly string[], partMs: number, startedAt: number): EngineWork {
  return {
    id: `${targets.join()}@${startedAt}`,
    targets,
    isMemoryShared: false,
    partPrefillMs: partMs,
    startedAt,
    dueAt: 3_000,
    isGenerating: false,
    pauseTargetMs: 800,
    value: 10,
    memoryTokens: 1_000,
    contextTokens: 1_000,
  };
}

function loadOf(works: readonly EngineWork[], now: number): EngineLoad | undefined {
  return computeLoads(profile, [entry], works, now)[0];
}

describe('computeLoads', () => {
  it('works reads off as time passes', () => {
    const works = [workOf(['e1'], 500, 0)];
    expect(loadOf(works, 0)?.backlogMs).toBe(500);
    expect(loadOf(works, 300)?.backlogMs).toBe(200);
    expect(loadOf(works, 900)?.backlogMs).toBe(0);
  });

  it('counts an idle time between reads as lost', () => {
    const works = [workOf(['e1'], 100, 0), workOf(['e1'], 100, 500)];
    expect(loadOf(works, 550)?.backlogMs).toBe(50);
  });

  describe('parts for other engines', () => {
    const own = workOf(['e1'], 400, 0);
    const help = workOf(['e9', 'e1'], 300, 100);

    it('are read before those of own prompts, though they came later', () => {
      const load = loadOf([own, help], 100);
      expect(load?.assistingBacklogMs).toBe(300);
      expect(load?.backlogMs).toBe(600);
      expect(load?.primaryPrefills).toEqual([{ request: own, endsAt: 700 }]);
    });

    it('take no memory and no slot', () => {
      const load = loadOf([help], 100);
      expect(load).toMatchObject({ primaryRequests: [], assistingPrefills: 1, memoryTokens: 0 });
    });
  });

  it('counts shared memory on every engine that holds a part', () => {
    const shared = { ...workOf(['e9', 'e1'], 300, 0), isMemoryShared: true, isGenerating: true };
    expect(loadOf([shared], 0)).toMatchObject({ memoryTokens: 1_000, backlogMs: 0 });
  });
});
