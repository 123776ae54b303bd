/** Tests of the rule that decides whether a configuration record takes effect. */
import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import {
  applyRecord,
  type ChangeRecord,
  type ConfigurationInForce,
  encodeChange,
  IgnoreReason,
  NOTHING_IN_FORCE,
  RecordKind,
  Verdict,
} from './ConfigurationRule.js';
import { type ConfigurationObject, objectSchema, ObjectKind } from './Objects.js';

function model(name: string, maxPromptTokens = 1_000): ConfigurationObject {
  return objectSchema.parse({ kind: ObjectKind.Model, name, maxPromptTokens });
}

function change(
  inForce: ConfigurationInForce,
  id: string,
  upserts: ConfigurationObject[],
): ChangeRecord {
  const set = inForce.set.with(upserts, []);
  return {
    record: RecordKind.Change,
    id,
    base: inForce.offset,
    baseDigest: inForce.set.digest,
    schema: 1,
    upserts,
    removals: [],
    digest: set.digest,
  };
}

function applyAll(payloads: readonly string[]): ConfigurationInForce {
  return payloads.reduce<ConfigurationInForce>((inForce, payload, offset) => {
    const outcome = applyRecord(inForce, offset, payload);
    return outcome.verdict === Verdict.Effective ? outcome.inForce : inForce;
  }, NOTHING_IN_FORCE);
}

describe('ConfigurationRule', () => {
  describe('applyRecord', () => {
    it('puts a valid change in force', () => {
      const record = change(NOTHING_IN_FORCE, 'a', [model('m')]);
      const outcome = applyRecord(NOTHING_IN_FORCE, 5, encodeChange(record));
      expect(outcome).toMatchObject({ verdict: Verdict.Effective, inForce: { offset: 5 } });
    });

    it('puts the first of two concurrent changes in log order in force', () => {
      const first = change(NOTHING_IN_FORCE, 'a', [model('m', 10)]);
      const second = change(NOTHING_IN_FORCE, 'b', [model('m', 20)]);
      const after = applyAll([encodeChange(first), encodeChange(second)]);
      expect(after.ids).toEqual(['a']);
      expect(after.set.model('m')?.maxPromptTokens).toBe(10);
    });

    it('ignores a repeated id', () => {
      const first = change(NOTHING_IN_FORCE, 'a', [model('m')]);
      const after = applyAll([encodeChange(first)]);
      const repeated = change(after, 'a', [model('n')]);
      const outcome = applyRecord(after, 1, encodeChange(repeated));
      expect(outcome).toMatchObject({ reason: IgnoreReason.RepeatedId });
    });

    it('ignores a change whose set fails the check', () => {
      const broken = objectSchema.parse({ kind: ObjectKind.Version, name: 'v', model: 'absent' });
      const record = change(NOTHING_IN_FORCE, 'a', [broken]);
      const outcome = applyRecord(NOTHING_IN_FORCE, 0, encodeChange(record));
      expect(outcome).toMatchObject({ reason: IgnoreReason.CheckFailed });
    });

    it('ignores a record whose digest differs from that of the resulting set', () => {
      const record = { ...change(NOTHING_IN_FORCE, 'a', [model('m')]), digest: 'other' };
      const outcome = applyRecord(NOTHING_IN_FORCE, 0, encodeChange(record));
      expect(outcome).toMatchObject({ reason: IgnoreReason.DigestMismatch });
    });

    it('reports divergence when the set of this reader differs from the one at the base', () => {
      const record = { ...change(NOTHING_IN_FORCE, 'a', [model('m')]), baseDigest: 'other' };
      const outcome = applyRecord(NOTHING_IN_FORCE, 0, encodeChange(record));
      expect(outcome.verdict).toBe(Verdict.Diverged);
    });

    it('never throws, for any payload', () => {
      fc.assert(
        fc.property(fc.oneof(fc.string(), fc.json()), (payload) => {
          expect(applyRecord(NOTHING_IN_FORCE, 0, payload).verdict).toBe(Verdict.Ignored);
        }),
        { seed: 1 },
      );
    });

    it('only increases the offset under any order of concurrent records', () => {
      fc.assert(
        fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 3 }), fc.nat(5))), (steps) => {
          let inForce = NOTHING_IN_FORCE;
          const history = [NOTHING_IN_FORCE];
          for (const [offset, [id, back]] of steps.entries()) {
            const base = history[Math.max(0, history.length - 1 - back)] ?? NOTHING_IN_FORCE;
            const record = change(base, `id-${id}`, [model('m', offset + 1)]);
            const outcome = applyRecord(inForce, offset, encodeChange(record));
            if (outcome.verdict === Verdict.Effective) {
              expect(outcome.inForce.offset).toBeGreaterThan(inForce.offset);
              expect(base).toBe(inForce);
              inForce = outcome.inForce;
              history.push(inForce);
            }
          }
        }),
        { seed: 2 },
      );
    });
  });
});
