import { describe, expect, it } from 'vitest';
import { fitLine, valueAt } from './LineFit.js';

describe('fitLine', () => {
  it('returns slope and intercept of the line that all points lie on', () => {
    const fit = fitLine([1, 2, 5].map((x) => ({ x, y: 3 * x + 2 })));
    expect(fit.slope).toBeCloseTo(3);
    expect(fit.intercept).toBeCloseTo(2);
    expect(fit.residual).toBeCloseTo(0);
    expect(valueAt(fit, 100)).toBeCloseTo(302);
  });

  it('returns the largest residual for points on a parabola', () => {
    const fit = fitLine([0, 1, 2].map((x) => ({ x, y: x * x })));
    expect(fit.slope).toBeCloseTo(2);
    expect(fit.intercept).toBeCloseTo(-1 / 3);
    expect(fit.residual).toBeCloseTo(1 / 6);
  });
});
