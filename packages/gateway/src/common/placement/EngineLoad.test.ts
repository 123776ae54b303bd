import { describe, expect, it } from 'vitest';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { computeLoads, type EngineLoad } from './EngineLoad.js';
import { engineEntry, simpleProfile as profile } from './PlacementFixtures.js';

const entry = engineEntry('e1');

function requestOn(
  targets: readonly string[],
  partPrefillMs: number,
  startedAt: number,
): ActiveRequest {
  return {
    id: `${targets.join()}@${startedAt}`,
    targets,
    isMemoryShared: false,
    partPrefillMs,
    startedAt,
    dueAt: 3_000,
    isGenerating: false,
    pauseTargetMs: 800,
    value: 10,
    memoryTokens: 1_000,
    contextTokens: 1_000,
  };
}

function loadOf(requests: readonly ActiveRequest[], now: number): EngineLoad | undefined {
  return computeLoads(profile, [entry], requests, now)[0];
}

describe('computeLoads', () => {
  it('reduces the backlog as time passes', () => {
    const requests = [requestOn(['e1'], 500, 0)];
    expect(loadOf(requests, 0)?.backlogMs).toBe(500);
    expect(loadOf(requests, 300)?.backlogMs).toBe(200);
    expect(loadOf(requests, 900)?.backlogMs).toBe(0);
  });

  it('does not use idle time between two prefills for the second one', () => {
    const requests = [requestOn(['e1'], 100, 0), requestOn(['e1'], 100, 500)];
    expect(loadOf(requests, 550)?.backlogMs).toBe(50);
  });

  describe('parts for other primaries', () => {
    const primary = requestOn(['e1'], 400, 0);
    const assisting = requestOn(['e9', 'e1'], 300, 100);

    it('are prefilled before those of primary requests that started earlier', () => {
      const load = loadOf([primary, assisting], 100);
      expect(load?.assistingBacklogMs).toBe(300);
      expect(load?.backlogMs).toBe(600);
      expect(load?.primaryPrefills).toEqual([{ request: primary, endsAt: 700 }]);
    });

    it('take neither memory nor a slot', () => {
      const load = loadOf([assisting], 100);
      expect(load).toMatchObject({ primaryRequests: [], assistingPrefills: 1, memoryTokens: 0 });
    });
  });

  it('counts shared memory on every engine that holds a part of it', () => {
    const shared = { ...requestOn(['e9', 'e1'], 300, 0), isMemoryShared: true, isGenerating: true };
    expect(loadOf([shared], 0)).toMatchObject({ memoryTokens: 1_000, backlogMs: 0 });
  });
});
