import { beforeEach, describe, expect, it } from 'vitest';
import { CrashEvidence } from './CrashEvidence.js';

const PART = 'p';

describe('CrashEvidence', () => {
  let evidence: CrashEvidence;

  beforeEach(() => {
    evidence = new CrashEvidence();
  });

  function add(crashes: readonly (readonly [at: number, engine: string, request: string])[]): void {
    for (const [at, engine, request] of crashes) {
      evidence.add({ engine, request, parts: [PART] }, PART, at);
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
