/** Tests of how the entries of a claim stream determine which attempt may dispatch. */
import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { ClaimIndex } from './ClaimIndex.js';
import { type Entry, EntryKind, KeyStatus } from './Messages.js';

function claim(key: string, attempt: string): Entry {
  return { kind: EntryKind.Claim, key, attempt, node: 'n', incarnation: 1, bodyDigest: 'b' };
}

function release(key: string, attempt: string): Entry {
  return { kind: EntryKind.Release, key, attempt };
}

function outcome(key: string, attempt: string): Entry {
  return { kind: EntryKind.Outcome, key, attempt, answer: { status: 200, body: attempt } };
}

describe('ClaimIndex', () => {
  describe('apply', () => {
    it('grants a key to the first claim in log order', () => {
      const index = new ClaimIndex();
      index.apply(claim('k', 'a'));
      expect(index.apply(claim('k', 'b'))).toMatchObject({ attempt: 'a' });
    });

    it('accepts only the outcome of the holder', () => {
      const index = new ClaimIndex();
      index.apply(claim('k', 'a'));
      index.apply(outcome('k', 'b'));
      expect(index.find('k')?.status).toBe(KeyStatus.Claimed);
      index.apply(outcome('k', 'a'));
      expect(index.find('k')).toMatchObject({ status: KeyStatus.Done, answer: { body: 'a' } });
    });

    it('releases a key only for its holder, and never after an outcome', () => {
      const index = new ClaimIndex();
      index.apply(claim('k', 'a'));
      index.apply(release('k', 'b'));
      expect(index.find('k')?.status).toBe(KeyStatus.Claimed);
      index.apply(outcome('k', 'a'));
      index.apply(release('k', 'a'));
      expect(index.find('k')?.status).toBe(KeyStatus.Done);
    });

    it('never grants a key to a claim that follows its own release', () => {
      const index = new ClaimIndex();
      index.apply(release('k', 'a'));
      index.apply(claim('k', 'a'));
      expect(index.find('k')).toBeUndefined();
      expect(index.apply(claim('k', 'b'))).toMatchObject({ attempt: 'b' });
    });

    it('never lets two attempts hold a key at the same time, in any order of entries', () => {
      const attempt = fc.constantFrom('a', 'b', 'c');
      const entry = fc.oneof(
        attempt.map((each) => claim('k', each)),
        attempt.map((each) => release('k', each)),
        attempt.map((each) => outcome('k', each)),
      );
      fc.assert(
        fc.property(fc.array(entry), (entries) => {
          const index = new ClaimIndex();
          let holder: string | undefined;
          for (const each of entries) {
            const before = index.find('k');
            const after = index.apply(each);
            const changesHolder = after?.status === KeyStatus.Claimed && after.attempt !== holder;
            if (changesHolder) {
              expect(before === undefined || before.status === KeyStatus.Released).toBe(true);
            }
            holder = after?.status === KeyStatus.Claimed ? after.attempt : undefined;
          }
        }),
        { seed: 3 },
      );
    });
  });
});
