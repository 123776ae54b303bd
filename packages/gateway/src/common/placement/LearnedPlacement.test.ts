/**
 * Guards against estimates that do not reach the decision, that shrink the memory of a prompt, or
 * that keep all prompts from an engine that is slow.
 */
import { ManualClock, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import { ActiveRequestTable } from './ActiveRequestTable.js';
import { CostEstimates } from './CostEstimates.js';
import { EngineScheduler } from './EngineScheduler.js';
import { AccountState } from './EngineSelection.js';
import type { PromptRequest } from './PlacementDecision.js';
import { engineEntry, promptRequest, targetSource } from './PlacementFixtures.js';
import { promptValue } from './PlacementLoss.js';
import type { PromptPlacement } from './PromptPlacer.js';
import { RateLimits } from './RateLimits.js';
import { TargetHealth } from './TargetHealth.js';

describe('placement by learned cost', () => {
  let clock: ManualClock;
  let table: ActiveRequestTable;
  let costs: CostEstimates;
  let scheduler: EngineScheduler;
  let engines: TargetEntry[];

  beforeEach(() => {
    clock = new ManualClock();
    const metrics = new Metrics();
    const log = new DecisionLog(clock, 'n', () => true);
    table = new ActiveRequestTable(clock, 'n');
    costs = new CostEstimates({ clock, metrics });
    engines = Array.from({ length: 4 }, (_each, index) => engineEntry(`e${index}`));
    scheduler = new EngineScheduler({
      clock,
      costs,
      random: new SeededRandom(1),
      targets: targetSource(() => engines),
      activeRequests: table,
      health: new TargetHealth(clock),
      rateLimits: new RateLimits({
        clock,
        log,
        metrics,
        random: new SeededRandom(1),
        coldTargets: { find: () => undefined, hasCold: false },
        countNodes: () => ({ live: 1, max: 1 }),
      }),
      isFirstCoordinator: () => true,
    });
  });

  function decide(changes: Partial<PromptRequest> = {}, waitMs = 0) {
    const now = clock.now();
    const request = promptRequest({ dueAt: now + 300, deadlineAt: now + 10_000, ...changes });
    const { signal } = new AbortController();
    return scheduler.decide(request, now + waitMs, signal, AccountState.Complete);
  }

  it('reserves the stated maximum, and computes value and end with the estimate', async () => {
    const expected = { outputTokens: 200, generationMs: 500 };
    const { firstEventMs } = (await decide({ expected })) as PromptPlacement;
    expect(table.requests).toMatchObject([
      {
        memoryTokens: 6_600,
        value: promptValue(5_000, 200),
        expectedEndAt: firstEventMs + 500,
      },
    ]);
  });

  it('decides without an estimate as with one that is the stated maximum', async () => {
    const without = await decide();
    table.remove('n', '0');
    const expected = { outputTokens: 1_600, generationMs: undefined };
    expect(await decide({ expected })).toEqual(without);
  });

  it('refuses at once in a burst that ends too late, and waits for one that ends soon', async () => {
    engines = engines.slice(0, 1);
    const fill = async (generationMs: number): Promise<string> => {
      for (let index = 0; index < 8; index++) {
        await decide({ id: String(index), expected: { outputTokens: 1_600, generationMs } });
      }
      let state = 'waits';
      const expected = { outputTokens: 1_600, generationMs };
      for (let index = 8; index < 14; index++) {
        void decide({ id: String(index), workspace: 'w', expected }, 400).then(() => {
          state = 'refused';
        });
      }
      await clock.advance(1);
      const atOnce = state;
      await clock.advance(1_000);
      for (let index = 0; index < 14; index++) {
        table.remove('n', String(index));
      }
      return atOnce;
    };
    expect(await fill(5_000)).toBe('refused');
    expect(await fill(100)).toBe('waits');
  });

  describe('with an engine that is five times as slow as the others', () => {
    const PROMPTS = 600;
    const SEEDS = [1, 2, 3, 4];

    async function play(seed: number): Promise<{ slow: number; late: number }> {
      const random = new SeededRandom(seed);
      let slow = 0;
      let late = 0;
      for (let index = 0; index < PROMPTS; index++) {
        const id = String(index);
        const placement = await decide({ id });
        if ('targets' in placement) {
          const isSlow = placement.targets[0].id === 'e2';
          const configuredMs = placement.configuredFirstEventMs ?? placement.firstEventMs;
          const firstMs = configuredMs * (isSlow ? 5 : 1) * (0.8 + random.next() * 0.4);
          slow += isSlow ? 1 : 0;
          late += firstMs > 300 ? 1 : 0;
          clock.schedule(firstMs, () => {
            table.markGenerating('n', id);
          });
          clock.schedule(firstMs + 500 + random.next() * 1_000, () => {
            table.remove('n', id);
          });
        }
        await clock.advance(70);
      }
      return { slow, late };
    }

    async function playAll(): Promise<{ slow: number; late: number }> {
      const sum = { slow: 0, late: 0 };
      for (const seed of SEEDS) {
        const { late, slow } = await play(seed);
        sum.slow += slow;
        sum.late += late;
        await clock.advance(60_000);
      }
      return sum;
    }

    it('gives it fewer prompts, and still some', async () => {
      const learned = await playAll();
      vi.spyOn(costs, 'slowdown').mockReturnValue(1);
      const unlearned = await playAll();
      expect(learned.slow).toBeGreaterThan(PROMPTS * SEEDS.length * 0.01);
      expect(learned.slow).toBeLessThan(unlearned.slow * 0.5);
      expect(learned.late).toBeLessThan(unlearned.late * 0.5);
    });
  });
});
