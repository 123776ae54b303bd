/** Tests that all readers of a lease stream derive the same holder. */
import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import {
  applyLeaseRecord,
  isHeldBy,
  type LeaseRecord,
  LeaseRecordKind,
  type LeaseState,
} from './LeaseState.js';

function record(kind: LeaseRecordKind, node: string, after: number, fencing = -1): string {
  const value: LeaseRecord = { kind, id: 'i', node, startedAt: 1, after, fencing, termMs: 1_000 };
  return JSON.stringify(value);
}

/** Applies the records from offset `first` on, like a reader that starts there. */
function applyAll(payloads: readonly string[], first = 0): LeaseState | undefined {
  return payloads
    .slice(first)
    .reduce<LeaseState | undefined>(
      (state, payload, index) =>
        applyLeaseRecord(state, { offset: first + index, firstReadOffset: first }, payload),
      undefined,
    );
}

describe('LeaseState', () => {
  describe('applyLeaseRecord', () => {
    it('grants a contested lease to the first acquisition in log order', () => {
      const state = applyAll([
        record(LeaseRecordKind.Acquire, 'a', -1),
        record(LeaseRecordKind.Acquire, 'b', -1),
      ]);
      expect(state).toMatchObject({ node: 'a', fencing: 0 });
    });

    it('ignores an acquisition when the holder has renewed in the meantime', () => {
      const state = applyAll([
        record(LeaseRecordKind.Acquire, 'a', -1),
        record(LeaseRecordKind.Renew, 'a', 0, 0),
        record(LeaseRecordKind.Acquire, 'b', 0),
      ]);
      expect(state).toMatchObject({ node: 'a', lastOffset: 1 });
    });

    it('ignores a renewal by a former holder', () => {
      const state = applyAll([
        record(LeaseRecordKind.Acquire, 'a', -1),
        record(LeaseRecordKind.Acquire, 'b', 0),
        record(LeaseRecordKind.Renew, 'a', 0, 0),
      ]);
      expect(isHeldBy(state, 'b', 1)).toBe(true);
      expect(state?.lastOffset).toBe(1);
    });

    it('yields the same holder to a reader that starts later', () => {
      const payloads = [
        record(LeaseRecordKind.Acquire, 'a', -1),
        record(LeaseRecordKind.Renew, 'a', 0, 0),
        record(LeaseRecordKind.Acquire, 'b', 0),
        record(LeaseRecordKind.Renew, 'a', 2, 0),
      ];
      for (const first of [0, 1, 2]) {
        expect(applyAll(payloads, first)).toMatchObject({ node: 'a', fencing: 0, lastOffset: 3 });
      }
    });

    it('increases the fencing number with every change of holder, for any records', () => {
      const kind = fc.constantFrom(...Object.values(LeaseRecordKind));
      const step = fc.tuple(kind, fc.constantFrom('a', 'b', 'c'), fc.integer({ min: -1, max: 9 }));
      fc.assert(
        fc.property(fc.array(step, { maxLength: 10 }), (steps) => {
          let state: LeaseState | undefined;
          for (const [offset, [each, node, after]] of steps.entries()) {
            const next = applyLeaseRecord(
              state,
              { offset, firstReadOffset: 0 },
              record(each, node, after),
            );
            if (state !== undefined && next?.node !== state.node) {
              expect(next?.fencing).toBeGreaterThan(state.fencing);
            }
            state = next;
          }
        }),
        { seed: 4 },
      );
    });
  });
});
