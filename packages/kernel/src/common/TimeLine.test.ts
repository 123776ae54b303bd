/** Tests of reading events from the ring buffer. */
import { describe, expect, it } from 'vitest';
import { ManualClock } from './ManualClock.js';
import { TimeLine } from './TimeLine.js';

describe('TimeLine', () => {
  describe('read', () => {
    it('returns events in order from a sequence number', () => {
      const timeLine = new TimeLine(new ManualClock(), 'n', 1);
      timeLine.record('a');
      timeLine.record('b', { key: 'k' });
      expect(timeLine.read(1, 10)).toMatchObject([
        { sequence: 1, name: 'b', node: 'n', incarnation: 1, fields: { key: 'k' } },
      ]);
    });

    it('skips events that were overwritten in the ring buffer', () => {
      const timeLine = new TimeLine(new ManualClock(), 'n');
      const count = 20_005;
      for (let event = 0; event < count; event++) {
        timeLine.record('a');
      }
      expect(timeLine.read(0, 1)).toMatchObject([{ sequence: 5 }]);
    });
  });
});
