/** Tests of the retry budget. */
import { describe, expect, it } from 'vitest';
import { RetryBudget } from './RetryBudget.js';

const REQUESTS = 1_000;

describe('RetryBudget', () => {
  it('refuses retries when the balance is used up', () => {
    const budget = new RetryBudget();
    const withdrawn = Array.from({ length: REQUESTS }, () => budget.tryWithdraw()).filter(Boolean);
    expect(withdrawn.length).toBeLessThan(REQUESTS / 10);
    expect(budget.tryWithdraw()).toBe(false);
  });

  it('allows retries for a share of the requests', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let request = 0; request < REQUESTS; request++) {
      budget.deposit();
      retries += budget.tryWithdraw() ? 1 : 0;
    }
    expect(retries).toBeLessThan(REQUESTS / 4);
    expect(retries).toBeGreaterThan(REQUESTS / 10);
  });
});
