import { ManualClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from './SharedRetryBudget.js';

const limits = { ratio: 0.2, windowMs: 10_000, allowance: 100 };

describe('SharedRetryBudget', () => {
  function spendAll(budget: SharedRetryBudget): number {
    let spent = 0;
    while (budget.trySpend('app')) {
      spent++;
    }
    return spent;
  }

  it('keeps the limits over all nodes when every node uses its whole budget', () => {
    const clock = new ManualClock();
    const nodes = 7;
    let spent = 0;
    for (let node = 0; node < nodes; node++) {
      const budget = new SharedRetryBudget(clock, limits, () => nodes);
      for (let request = 0; request < 50; request++) {
        budget.recordRequest('app');
      }
      spent += spendAll(budget);
    }
    expect(spent).toBeLessThanOrEqual(limits.ratio * 50 * nodes + limits.allowance);
    expect(spent).toBeGreaterThan(0);
  });

  it('allows as many retries again once the window has passed', async () => {
    const clock = new ManualClock();
    const budget = new SharedRetryBudget(clock, limits, () => 1);
    const first = spendAll(budget);
    expect(budget.trySpend('app')).toBe(false);
    await clock.advance(limits.windowMs + 1);
    expect(spendAll(budget)).toBe(first);
  });

  it('counts each service separately', () => {
    const budget = new SharedRetryBudget(new ManualClock(), limits, () => 1);
    spendAll(budget);
    expect(budget.trySpend('other')).toBe(true);
  });

  it('discards requests older than the window, even without retries', async () => {
    const clock = new ManualClock();
    const budget = new SharedRetryBudget(clock, limits, () => 1);
    for (let second = 0; second < 100; second++) {
      budget.recordRequest('a');
      await clock.advance(1_000);
    }
    const { _services: services } = budget as unknown as {
      _services: Map<string, { requests: { _times: unknown[] } }>;
    };
    expect(services.get('a')?.requests._times.length).toBeLessThanOrEqual(limits.windowMs / 1_000);
  });
});
