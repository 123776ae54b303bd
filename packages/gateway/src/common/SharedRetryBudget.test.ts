import { ManualClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from './SharedRetryBudget.js';

const bound = { ratio: 0.2, windowMs: 10_000, allowance: 100 };

describe('SharedRetryBudget', () => {
  function spendAll(budget: SharedRetryBudget): number {
    let spent = 0;
    while (budget.trySpend('app')) {
      spent++;
    }
    return spent;
  }

  it('keeps the bound over all nodes when every node spends what it may', () => {
    const clock = new ManualClock();
    const nodes = 7;
    let spent = 0;
    for (let node = 0; node < nodes; node++) {
      const budget = new SharedRetryBudget(clock, bound, () => nodes);
      for (let request = 0; request < 50; request++) {
        budget.noteRequest('app');
      }
      spent += spendAll(budget);
    }
    expect(spent).toBeLessThanOrEqual(bound.ratio * 50 * nodes + bound.allowance);
    expect(spent).toBeGreaterThan(0);
  });

  it('allows more again once the window has passed', async () => {
    const clock = new ManualClock();
    const budget = new SharedRetryBudget(clock, bound, () => 1);
    const first = spendAll(budget);
    expect(budget.trySpend('app')).toBe(false);
    await clock.advance(bound.windowMs + 1);
    expect(spendAll(budget)).toBe(first);
  });

  it('counts services apart', () => {
    const budget = new SharedRetryBudget(new ManualClock(), bound, () => 1);
    spendAll(budget);
    expect(budget.trySpend('other')).toBe(true);
  });

  it('keeps no request beyond its window, also when nothing is retried', async () => {
    const clock = new ManualClock();
    const budget = new SharedRetryBudget(clock, bound, () => 1);
    for (let second = 0; second < 100; second++) {
      budget.noteRequest('a');
      await clock.advance(1_000);
    }
    const { _services: services } = budget as unknown as {
      _services: Map<string, { requests: { _times: unknown[] } }>;
    };
    expect(services.get('a')?.requests._times.length).toBeLessThanOrEqual(bound.windowMs / 1_000);
  });
});
