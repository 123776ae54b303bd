/** Placement under bursts of long prompts beside many short streams. */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import type { EngineProfile, TargetEntry } from '../Messages.js';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { computeLoads } from './EngineLoad.js';
import { engineEntry, shortPrompt as short } from './PlacementFixtures.js';
import { type PromptRequirements, promptValue } from './PlacementLoss.js';
import { placePrompt, type PromptPlacement } from './PromptPlacer.js';

const profile: EngineProfile = {
  slots: 11,
  memoryTokens: 450_000,
  stepMs: 0.925,
  msPerSequence: 0.007,
  msPerThousandContextTokens: 0.00254,
  prefillTokensPerMs: 256,
  msPerMillionPairs: 0.0917,
  chunkTokens: 2_048,
  stride: 46,
};

const longPrompt: PromptRequirements = {
  promptTokens: 210_000,
  outputTokens: 800,
  dueInMs: 3_000,
  deadlineInMs: 15_000,
  latencyTargetMs: 3_000,
  pauseTargetMs: 800,
  availabilityZone: 'a',
};

const oversizedPrompt: PromptRequirements = { ...longPrompt, promptTokens: 730_000 };

function engines(count: number): TargetEntry[] {
  return Array.from({ length: count }, (_each, index) => engineEntry(`e${index}`, profile.slots));
}

let ids = 0;

function generating(target: string, prompt: PromptRequirements): ActiveRequest {
  return { ...prefilling([target], prompt, 0), isGenerating: true };
}

function prefilling(
  targets: string[],
  prompt: PromptRequirements,
  partPrefillMs: number,
): ActiveRequest {
  return {
    id: String(ids++),
    targets,
    isMemoryShared: false,
    partPrefillMs,
    startedAt: 0,
    dueAt: prompt.dueInMs,
    isGenerating: false,
    pauseTargetMs: prompt.pauseTargetMs,
    value: promptValue(prompt.promptTokens, prompt.outputTokens),
    memoryTokens: prompt.promptTokens + prompt.outputTokens,
    contextTokens: prompt.promptTokens,
  };
}

function place(
  prompt: PromptRequirements,
  requests: readonly ActiveRequest[],
  count = 18,
): PromptPlacement | undefined {
  return placePrompt(profile, prompt, computeLoads(profile, engines(count), requests, 0));
}

function idsOf(placement: PromptPlacement | undefined): string[] {
  return placement?.targets.map(({ id }) => id) ?? [];
}

describe('placePrompt', () => {
  describe('short streams without other load', () => {
    it('are placed on an engine that has streams already until its packed slots are full', () => {
      const requests = [generating('e3', short), generating('e3', short)];
      expect(idsOf(place(short, requests))).toEqual(['e3']);
    });

    it('are placed on another engine when more than the packed slots are taken', () => {
      const requests = Array.from({ length: 10 }, () => generating('e3', short));
      expect(idsOf(place(short, requests))).not.toContain('e3');
    });
  });

  describe('short streams that many nodes place on the same load updates', () => {
    /** Without random losses, all of them are placed on the fullest engine. */
    const requests = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].flatMap((target, index) =>
      Array.from({ length: index + 1 }, () => generating(target, short)),
    );

    function countChosen(maxLoss: number): number {
      const random = new SeededRandom(1);
      const loads = computeLoads(profile, engines(18), requests, 0);
      const chosen = Array.from({ length: 8 }, () => {
        const placement = placePrompt(profile, short, loads, () => random.next() * maxLoss);
        return placement?.targets[0]?.id;
      });
      return new Set(chosen).size;
    }

    it('are placed on several engines by random losses', () => {
      expect(countChosen(0)).toBe(1);
      expect(countChosen(0.2)).toBeGreaterThan(3);
    });
  });

  describe('short streams while long prompts are prefilled', () => {
    it('are placed on engines that answer in time', () => {
      const busy = Array.from({ length: 15 }, (_each, index) => `e${index}`);
      const requests = [prefilling(busy, longPrompt, 600)];
      expect(['e15', 'e16', 'e17']).toContain(idsOf(place(short, requests))[0]);
    });
  });

  describe('a long prompt beside short streams', () => {
    it('is prefilled where no stream pauses too long', () => {
      const requests = ['e0', 'e1', 'e2'].flatMap((target) =>
        Array.from({ length: 5 }, () => generating(target, short)),
      );
      const placement = place(longPrompt, requests);
      expect(placement?.firstEventMs).toBeLessThan(longPrompt.latencyTargetMs);
      for (const target of ['e0', 'e1', 'e2']) {
        expect(idsOf(placement)).not.toContain(target);
      }
    });

    it('is split over several engines when one would be late', () => {
      expect(idsOf(place(longPrompt, [])).length).toBeGreaterThan(1);
    });
  });

  describe('a burst of long prompts', () => {
    it('is placed in time: eight at once on eighteen engines, two of them with streams', () => {
      const requests = ['e0', 'e1'].flatMap((target) =>
        Array.from({ length: 6 }, () => generating(target, short)),
      );
      for (let arrival = 0; arrival < 8; arrival++) {
        const placement = place(longPrompt, requests);
        expect(placement?.firstEventMs).toBeLessThan(longPrompt.latencyTargetMs);
        requests.push(prefilling(idsOf(placement), longPrompt, placement?.partPrefillMs ?? 0));
      }
    });
  });

  describe('a prompt that no engine can hold', () => {
    it('is shared by engines that each have memory for their part', () => {
      const placement = place(oversizedPrompt, []);
      const needed = oversizedPrompt.promptTokens + oversizedPrompt.outputTokens;
      const count = placement?.targets.length ?? 0;
      expect(count).toBeGreaterThan(1);
      expect((placement?.reservedTokens ?? 0) * count).toBeGreaterThanOrEqual(needed);
      expect(placement?.reservedTokens).toBeLessThan(profile.memoryTokens);
    });

    it('is placed on no more engines than the header for readers can name', () => {
      expect(idsOf(place(oversizedPrompt, [], 40)).length).toBeLessThanOrEqual(16);
    });

    it('is a net loss while every engine prefills other prompts', () => {
      const requests = engines(18).map(({ id }) => prefilling([id], longPrompt, 2_000));
      expect(place(oversizedPrompt, requests)?.isNetLoss).toBe(true);
    });

    it('is not a net loss on idle engines', () => {
      expect(place(oversizedPrompt, [])?.isNetLoss).toBe(false);
    });
  });

  describe('an engine that is slower than configured', () => {
    const slow = (id: string): number => (id === 'e0' ? 3 : 1);

    it('gets a prompt when the others are busy for longer', () => {
      const busy = [prefilling(['e1'], longPrompt, 2_000), prefilling(['e2'], longPrompt, 2_000)];
      const loads = computeLoads(profile, engines(3), busy, 0, slow);
      expect(idsOf(placePrompt(profile, short, loads))[0]).toBe('e0');
      const idle = computeLoads(profile, engines(3), [], 0, slow);
      expect(idsOf(placePrompt(profile, short, idle))).not.toContain('e0');
    });

    it('is compared by the time at configured speed, and only without a queue', () => {
      const [load] = computeLoads(profile, engines(1), [], 0);
      const [slowLoad] = computeLoads(profile, engines(1), [], 0, slow);
      const placed = [load, slowLoad].map((each) =>
        placePrompt(profile, short, each === undefined ? [] : [each]),
      );
      expect(placed[1]?.firstEventMs).toBeCloseTo(3 * (placed[0]?.firstEventMs ?? 0), 3);
      expect(placed[1]?.configuredFirstEventMs).toBeCloseTo(placed[0]?.firstEventMs ?? 0, 3);
      const queued = place(short, [prefilling(['e0'], longPrompt, 500)], 1);
      expect(queued?.configuredFirstEventMs).toBeUndefined();
    });
  });

  describe('engines without capacity', () => {
    it('get no stream beyond their slots', () => {
      const requests = Array.from({ length: 11 }, () => generating('e0', short));
      expect(place(short, requests, 1)).toBeUndefined();
    });

    it('get no prompt beyond their memory', () => {
      const requests = [generating('e0', { ...longPrompt, promptTokens: 300_000 })];
      expect(place(longPrompt, requests, 1)).toBeUndefined();
    });

    it('give no placement, as when there is no engine', () => {
      expect(place(short, [], 0)).toBeUndefined();
    });
  });
});
