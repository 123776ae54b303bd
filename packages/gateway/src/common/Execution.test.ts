import { describe, expect, it } from 'vitest';
import { canRetryElsewhere, combineExecutions, didNotRun, Execution } from './Execution.js';
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
    allowsAnonymous: false,
    allowedRegions: undefined,
    isResumable,
    priority: 1,
    shares: [],
  };
}

describe('Execution', () => {
  describe('canRetryElsewhere', () => {
    it.each([
      [CallKind.NonIdempotent, false, Execution.NotSent, true],
      [CallKind.NonIdempotent, false, Execution.NotRun, true],
      [CallKind.NonIdempotent, false, Execution.MayHaveRun, false],
      [CallKind.NonIdempotent, false, Execution.Ran, false],
      [CallKind.Idempotent, false, Execution.MayHaveRun, true],
      [CallKind.Stream, false, Execution.MayHaveRun, false],
      [CallKind.Stream, true, Execution.MayHaveRun, true],
    ])('%s, resumable %s, after %s: %s', (kind, isResumable, execution, expected) => {
      expect(canRetryElsewhere(routeOf(kind, isResumable), execution)).toBe(expected);
    });
  });

  describe('combineExecutions', () => {
    it('returns "did not run" only if neither attempt may have run', () => {
      for (const first of Object.values(Execution)) {
        for (const second of Object.values(Execution)) {
          const both = didNotRun(first) && didNotRun(second);
          expect(didNotRun(combineExecutions(first, second))).toBe(both);
        }
      }
    });
  });
});
