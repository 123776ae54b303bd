import { describe, expect, it } from 'vitest';
import { chooseService } from './RouteShares.js';

const LARGEST_POSITION = 1 - 2 ** -53;

/** Guards against requests to a service that a route has withdrawn its share from. */
describe('chooseService', () => {
  it('divides the positions by the weights', () => {
    const shares = [
      { service: 'a', weight: 3 },
      { service: 'b', weight: 1 },
    ];
    expect([0, 0.7, 0.8].map((position) => chooseService(shares, position))).toEqual([
      'a',
      'a',
      'b',
    ]);
  });

  it('chooses no service without a weight when the weights do not add up exactly', () => {
    const shares = [0.1, 0.1, 0.4].map((weight, index) => ({ service: `s${index}`, weight }));
    const withdrawn = { service: 'withdrawn', weight: 0 };
    expect(chooseService([...shares, withdrawn], LARGEST_POSITION)).toBe('s2');
  });

  it('chooses no service when none has a weight', () => {
    expect(chooseService([{ service: 'a', weight: 0 }], 0.5)).toBe('');
    expect(chooseService([], 0.5)).toBe('');
  });
});
