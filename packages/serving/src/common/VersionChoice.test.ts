/** Tests of the choice between the versions of a route. */
import { describe, expect, it } from 'vitest';
import { chooseVersion } from './VersionChoice.js';

const ROUTE = {
  versions: [
    { version: 'old', weight: 20 },
    { version: 'new', weight: 80 },
  ],
};

describe('chooseVersion', () => {
  describe('with all versions loaded', () => {
    it('follows the weights', () => {
      expect(chooseVersion(ROUTE, 0.19, () => true)).toBe('old');
      expect(chooseVersion(ROUTE, 0.21, () => true)).toBe('new');
    });
  });

  describe('with a version that no engine has loaded', () => {
    it('chooses among the loaded versions only', () => {
      for (const draw of [0, 0.5, 0.99]) {
        expect(chooseVersion(ROUTE, draw, (version) => version === 'old')).toBe('old');
      }
    });

    it('uses a loaded version of weight 0 before one that is not loaded', () => {
      const versions = [
        { version: 'old', weight: 0 },
        { version: 'new', weight: 100 },
      ];
      expect(chooseVersion({ versions }, 0.5, (version) => version === 'old')).toBe('old');
    });
  });

  describe('with nothing loaded', () => {
    it('follows the weights, so that the request queues for its version', () => {
      expect(chooseVersion(ROUTE, 0.5, () => false)).toBe('new');
    });
  });
});
