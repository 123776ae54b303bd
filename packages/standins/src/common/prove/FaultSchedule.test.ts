import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FaultKind, parseFaultKinds, planFaults } from './FaultSchedule.js';

const DURATION_MS = 60_000;
const ALL_KINDS = Object.values(FaultKind);

describe('FaultSchedule', () => {
  describe('planFaults', () => {
    it('returns equal schedules for equal seeds and different ones for different seeds', () => {
      expect(planFaults(7, DURATION_MS, ALL_KINDS)).toEqual(planFaults(7, DURATION_MS, ALL_KINDS));
      expect(planFaults(7, DURATION_MS, ALL_KINDS)).not.toEqual(
        planFaults(8, DURATION_MS, ALL_KINDS),
      );
    });

    it('plans only the given kinds, in order of time and before the end of the run', () => {
      fc.assert(
        fc.property(
          fc.integer(),
          fc.integer({ min: 0, max: 600_000 }),
          fc.subarray(ALL_KINDS),
          (seed, durationMs, kinds) => {
            const faults = planFaults(seed, durationMs, kinds);
            const times = faults.map(({ atMs }) => atMs);
            expect(times).toEqual([...times].sort((a, b) => a - b));
            expect(faults.every(({ atMs }) => atMs < durationMs)).toBe(true);
            expect(faults.every(({ kind }) => kinds.includes(kind))).toBe(true);
          },
        ),
        { seed: 4 },
      );
    });

    it('plans freezes of 3 to 30 seconds', () => {
      const freezes = planFaults(1, 600_000, [FaultKind.FreezeDaemon]);
      expect(freezes.every(({ durationMs }) => durationMs >= 3_000)).toBe(true);
      expect(freezes.every(({ durationMs }) => durationMs <= 30_000)).toBe(true);
    });
  });

  describe('parseFaultKinds', () => {
    it('accepts all, none and a comma-separated list of names', () => {
      expect(parseFaultKinds('all')).toEqual(ALL_KINDS);
      expect(parseFaultKinds('none')).toEqual([]);
      expect(parseFaultKinds('loss,expiry')).toEqual([FaultKind.Loss, FaultKind.Expiry]);
    });

    it('returns undefined if one of the names is unknown', () => {
      expect(parseFaultKinds('loss,earthquake')).toBeUndefined();
    });
  });
});
