import { describe, expect, it } from 'vitest';
import { CauseKind, kindOfCause } from './CrashEvidence.js';
import { causeOfPart, MAX_CAUSE_BYTES } from './PartCause.js';

describe('causeOfPart', () => {
  it.each([1, 127, 128, MAX_CAUSE_BYTES])('is the id itself if it has %d bytes', (length) => {
    const id = 'a'.repeat(length);
    expect(causeOfPart(id)).toBe(id);
  });

  it.each([
    ['of one byte more', 'a'.repeat(MAX_CAUSE_BYTES + 1)],
    ['whose bytes are more than its characters', 'é'.repeat(128)],
    ['as long as a header block', 'f'.repeat(65_535)],
  ])('fits the key of a record for an id %s', (_which, id) => {
    const cause = causeOfPart(id);
    expect(Buffer.byteLength(cause)).toBeLessThanOrEqual(MAX_CAUSE_BYTES);
    expect(kindOfCause(cause)).toBe(CauseKind.Part);
    expect(causeOfPart(cause)).toBe(cause);
  });

  it('differs for long ids that differ in their last digit', () => {
    const start = 'ab'.repeat(200);
    expect(causeOfPart(`${start}0`)).not.toBe(causeOfPart(`${start}1`));
  });
});
