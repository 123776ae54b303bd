import { beforeEach, describe, expect, it } from 'vitest';
import { CrashEvidence } from './CrashEvidence.js';

const PART = 'p';
const REQUEST = 'request:a';
const VICTIM = 'request:b';

describe('CrashEvidence', () => {
  let evidence: CrashEvidence;

  beforeEach(() => {
    evidence = new CrashEvidence();
  });

  function add(crashes: readonly (readonly [at: number, target: string, request: string])[]): void {
    for (const [at, target, request] of crashes) {
      evidence.add({ target, request, causes: [PART] }, PART, at);
    }
  }

  it('is conclusive when engines crash one after the other under several prompts', () => {
    add([
      [0, 'e1', 'r1'],
      [70, 'e2', 'r1'],
      [500, 'e3', 'r2'],
      [1_000, 'e4', 'r3'],
    ]);
    expect(evidence.isConclusive(PART, 1_000, false)).toBe(true);
  });

  it.each([
    [
      'engines that fail at the same moment, as in a power loss',
      Array.from({ length: 8 }, (_each, index) => [index, `e${index}`, `r${index}`] as const),
    ],
    [
      'one engine that crashes again and again',
      Array.from({ length: 8 }, (_each, index) => [index * 500, 'e1', `r${index}`] as const),
    ],
    [
      'one prompt that is repeated',
      Array.from({ length: 8 }, (_each, index) => [index * 500, `e${index}`, 'r1'] as const),
    ],
    [
      'crashes that are far apart',
      Array.from(
        { length: 8 },
        (_each, index) => [index * 30_000, `e${index}`, `r${index}`] as const,
      ),
    ],
  ])('is not conclusive by %s', (_name, crashes) => {
    add(crashes);
    expect(evidence.isConclusive(PART, crashes.at(-1)?.[0] ?? 0, false)).toBe(false);
  });

  it('needs more crashes of a part under which prompts were answered before', () => {
    add(Array.from({ length: 11 }, (_each, index) => [index * 200, `e${index}`, `r${index}`]));
    expect(evidence.isConclusive(PART, 2_200, true)).toBe(false);
    add([[2_400, 'e11', 'r11']]);
    expect(evidence.isConclusive(PART, 2_400, true)).toBe(true);
  });

  describe('of the content of a request', () => {
    /** The request crashes a target, which breaks those of the victim, too. */
    function crash(at: number, target: string, causes = [REQUEST, VICTIM]): void {
      for (const cause of causes) {
        evidence.add({ target, request: `${cause} at ${target}`, causes: [cause] }, cause, at);
      }
    }

    it('is conclusive by three targets', () => {
      crash(0, 'e1');
      crash(500, 'e2');
      expect(evidence.isConclusive(REQUEST, 500, false)).toBe(false);
      crash(520, 'e3');
      expect(evidence.isConclusive(REQUEST, 520, false)).toBe(true);
    });

    it('is not conclusive by targets that fail at the same moment', () => {
      for (const target of ['e1', 'e2', 'e3', 'e4']) {
        crash(0, target);
      }
      expect(evidence.isConclusive(REQUEST, 0, false)).toBe(false);
    });

    it('is ambiguous while another request was on all the targets', () => {
      for (const [index, target] of ['e1', 'e2', 'e3'].entries()) {
        crash(index * 500, target);
      }
      expect(evidence.isAmbiguous(REQUEST, 1_000)).toBe(true);
      crash(1_500, 'e4', [REQUEST]);
      expect(evidence.isAmbiguous(REQUEST, 1_500)).toBe(false);
      expect(evidence.isAmbiguous(VICTIM, 1_500)).toBe(true);
    });

    it('is dropped for requests that were on the same targets once it is attributed', () => {
      for (const [index, target] of ['e1', 'e2', 'e3'].entries()) {
        crash(index * 500, target);
      }
      evidence.explain(REQUEST);
      expect(evidence.countTargets(VICTIM, 1_000)).toBe(0);
      expect(evidence.countTargets(REQUEST, 1_000)).toBe(3);
    });

    it('does not count a target that answers a request sent soon after', () => {
      crash(0, 'e1');
      expect(evidence.refute('e1', 200)).toBe(true);
      expect(evidence.countTargets(REQUEST, 200)).toBe(0);
    });

    it.each([
      ['was sent before the crash', 400],
      ['was sent to the target after it may have restarted', 3_000],
    ])('counts a target whose answer is to a request that %s', (_name, sentAt) => {
      crash(500, 'e1');
      expect(evidence.refute('e1', sentAt)).toBe(false);
      expect(evidence.countTargets(REQUEST, 3_000)).toBe(1);
    });

    it('counts a report that arrives again once', () => {
      crash(0, 'e1');
      crash(400, 'e2');
      crash(800, 'e2');
      expect(evidence.isConclusive(REQUEST, 800, false)).toBe(false);
    });
  });

  it('starts anew when a prompt with the part is answered', () => {
    add([
      [0, 'e1', 'r1'],
      [500, 'e2', 'r2'],
      [1_000, 'e3', 'r3'],
    ]);
    expect(evidence.clear(PART, 1_200)).toBe(true);
    add([[1_500, 'e4', 'r4']]);
    expect(evidence.isConclusive(PART, 1_500, false)).toBe(false);
  });
});
