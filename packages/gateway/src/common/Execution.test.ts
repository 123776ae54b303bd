import { describe, expect, it } from 'vitest';
import { Execution, isUnrun, mayMove, worse } from './Execution.js';
import { CallKind, type ForwardRoute } from './Messages.js';

function routeOf(kind: CallKind, isResumable = false): ForwardRoute {
  return {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind,
    timeoutMs: 1_000,
    latencyTargetMs: 200,
    pauseTargetMs: 200,
    maxAttempts: 2,
    isOpen: false,
    isResumable,
    priority: 1,
    shares: [],
  };
}

describe('Execution', () => {
  describe('mayMove', () => {
    it.each([
      [CallKind.NonIdempotent, false, Execution.NotSent, true],
      [CallKind.NonIdempotent, false, Execution.RefusedUnrun, true],
      [CallKind.NonIdempotent, false, Execution.MayHaveRun, false],
      [CallKind.NonIdempotent, false, Execution.Ran, false],
      [CallKind.Idempotent, false, Execution.MayHaveRun, true],
      [CallKind.Stream, false, Execution.MayHaveRun, false],
      [CallKind.Stream, true, Execution.MayHaveRun, true],
    ])('%s, resumable %s, after %s: %s', (kind, isResumable, execution, expected) => {
      expect(mayMove(routeOf(kind, isResumable), execution)).toBe(expected);
    });
  });

  describe('worse', () => {
    it('returns "did not run" only if neither attempt may have run', () => {
      for (const first of Object.values(Execution)) {
        for (const second of Object.values(Execution)) {
          const both = isUnrun(first) && isUnrun(second);
          expect(isUnrun(worse(first, second))).toBe(both);
        }
      }
    });
  });
});
