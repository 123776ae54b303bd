/** The placement under the load patterns that it answers. */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { computeLoads } from './EngineLoad.js';
import type { EngineWork } from './LoadBoard.js';
import { engineEntry, shortPrompt as short } from './PlacementFixtures.js';
import { type PromptRequirements, promptValue } from './PlacementLoss.js';
import { placePrompt, type PromptPlacement } from './PromptPlacer.js';

const profile: EngineProfile = {
  slots: 11,
  memoryTokens: 450_000,
  stepMs: 0.925,
  sequenceMs: 0.007,
  contextThousandMs: 0.00254,
  prefillTokensPerMs: 256,
  pairsMillionMs: 0.0917,
  chunkTokens: 2_048,
  stride: 46,
};

const audit: PromptRequirements = {
  promptTokens: 210_000,
  outputTokens: 800,
  dueInMs: 3_000,
  deadlineInMs: 15_000,
  latencyTargetMs: 3_000,
  pauseTargetMs: 800,
  availabilityZone: 'a',
};

const giant: PromptRequirements = { ...audit, promptTokens: 730_000 };

function engines(count: number): TargetEntry[] {
  return Array.from({ length: count }, (_each, index) => engineEntry(`e${index}`, profile.slots));
}

let ids = 0;

function generating(target: string, question: PromptRequirements): EngineWork {
  return { ...reading([target], question, 0), isGenerating: true };
}

function reading(targets: string[], question: PromptRequirements, partMs: number): EngineWork {
  return {
    id: String(ids++),
    targets,
    isMemoryShared: false,
    partPrefillMs: partMs,
    startedAt: 0,
    dueAt: question.dueInMs,
    isGenerating: false,
    pauseTargetMs: question.pauseTargetMs,
    value: promptValue(question.promptTokens, question.outputTokens),
    memoryTokens: question.promptTokens + question.outputTokens,
    contextTokens: question.promptTokens,
  };
}

function place(
  question: PromptRequirements,
  works: readonly EngineWork[],
  count = 18,
): PromptPlacement | undefined {
  return placePrompt(profile, question, computeLoads(profile, engines(count), works, 0));
}

function idsOf(placement: PromptPlacement | undefined): string[] {
  return placement?.targets.map(({ id }) => id) ?? [];
}

describe('placePrompt', () => {
  describe('short streams beside nothing else', () => {
    it('go to an engine that has streams already, until it is well filled', () => {
      const works = [generating('e3', short), generating('e3', short)];
      expect(idsOf(place(short, works))).toEqual(['e3']);
    });

    it('open another engine when the first is crowded', () => {
      const works = Array.from({ length: 10 }, () => generating('e3', short));
      expect(idsOf(place(short, works))).not.toContain('e3');
    });
  });

  describe('short streams that many nodes place on the same news', () => {
    /** The fullest engine of the news would take them all. */
    const works = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].flatMap((target, index) =>
      Array.from({ length: index + 1 }, () => generating(target, short)),
    );

    function countChosen(spread: number): number {
      const random = new SeededRandom(1);
      const loads = computeLoads(profile, engines(18), works, 0);
      const chosen = Array.from({ length: 8 }, () => {
        const placement = placePrompt(profile, short, loads, () => random.next() * spread);
        return placement?.targets[0]?.id;
      });
      return new Set(chosen).size;
    }

    it('do not all go to one engine', () => {
      expect(countChosen(0)).toBe(1);
      expect(countChosen(0.2)).toBeGreaterThan(3);
    });
  });

  describe('short streams while long prompts are read', () => {
    it('avoid engines that would make them late', () => {
      const busy = Array.from({ length: 15 }, (_each, index) => `e${index}`);
      const works = [reading(busy, audit, 600)];
      expect(['e15', 'e16', 'e17']).toContain(idsOf(place(short, works))[0]);
    });
  });

  describe('a long prompt beside short streams', () => {
    it('is read where no stream would pause too long', () => {
      const works = ['e0', 'e1', 'e2'].flatMap((target) =>
        Array.from({ length: 5 }, () => generating(target, short)),
      );
      const placement = place(audit, works);
      expect(placement?.firstEventMs).toBeLessThan(audit.latencyTargetMs);
      for (const target of ['e0', 'e1', 'e2']) {
        expect(idsOf(placement)).not.toContain(target);
      }
    });

    it('is split over engines so that its first event comes in time', () => {
      expect(idsOf(place(audit, [])).length).toBeGreaterThan(1);
    });
  });

  describe('a burst of long prompts', () => {
    it('places eight at once in time on eighteen engines with two for short streams', () => {
      const works = ['e0', 'e1'].flatMap((target) =>
        Array.from({ length: 6 }, () => generating(target, short)),
      );
      for (let arrival = 0; arrival < 8; arrival++) {
        const placement = place(audit, works);
        expect(placement?.firstEventMs).toBeLessThan(audit.latencyTargetMs);
        works.push(reading(idsOf(placement), audit, placement?.partMs ?? 0));
      }
    });
  });

  describe('a prompt that no engine can hold', () => {
    it('is shared by engines that each have room for their part', () => {
      const placement = place(giant, []);
      const needed = giant.promptTokens + giant.outputTokens;
      const count = placement?.targets.length ?? 0;
      expect(count).toBeGreaterThan(1);
      expect((placement?.reservedTokens ?? 0) * count).toBeGreaterThanOrEqual(needed);
      expect(placement?.reservedTokens).toBeLessThan(profile.memoryTokens);
    });

    it('names no more engines than their header takes', () => {
      expect(idsOf(place(giant, [], 40)).length).toBeLessThanOrEqual(16);
    });

    it('counts as harmful while every engine reads for others', () => {
      const works = engines(18).map(({ id }) => reading([id], audit, 2_000));
      expect(place(giant, works)?.isNetLoss).toBe(true);
    });

    it('is welcome on idle engines', () => {
      expect(place(giant, [])?.isNetLoss).toBe(false);
    });
  });

  describe('engines without room', () => {
    it('get nothing more than their slots', () => {
      const works = Array.from({ length: 11 }, () => generating('e0', short));
      expect(place(short, works, 1)).toBeUndefined();
    });

    it('get no prompt beyond their memory', () => {
      const works = [generating('e0', { ...audit, promptTokens: 300_000 })];
      expect(place(audit, works, 1)).toBeUndefined();
    });

    it('are none: there is no placement', () => {
      expect(place(short, [], 0)).toBeUndefined();
    });
  });
});
