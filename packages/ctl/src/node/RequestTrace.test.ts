import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { describeDecision, readDecisions, traceRequest } from './RequestTrace.js';

const LOG = [
  '  1.0 n1 {"at":1000,"node":"n1","event":"target.known","target":"t1"}',
  '  5.1 n1 {"at":5100,"node":"n1","event":"platform.lost","topic":"targets"}',
  '  5.2 n2 {"at":5200,"node":"n2","event":"platform.lost","topic":"targets"}',
  '  5.3 n1 {"at":5300,"node":"n1","event":"target.gone","target":"t1","service":"s"}',
  '  5.4 n1 {"at":5400,"node":"n1","event":"request.attempt-failed","request":"r1","target":"t1"}',
  'not a line of ours {"at":5400}',
  '  5.5 n1 {"at":5500,"node":"n1","event":"request.finished","request":"r2","targets":"t9"}',
  '  6.0 n1 {"at":6000,"node":"n1","event":"request.finished","request":"r1","targets":"t1+t2","tookMs":900}',
].join('\n');

describe('a request in the logs', () => {
  const decisions = readDecisions(LOG);

  it('is shown with what its node noted of its targets and of itself meanwhile', () => {
    expect(traceRequest(decisions, 'r1').map(({ at, event }) => [at, event])).toEqual([
      [5_100, 'platform.lost'],
      [5_300, 'target.gone'],
      [5_400, 'request.attempt-failed'],
      [6_000, 'request.finished'],
    ]);
  });

  it('that no line names has no trace', () => {
    expect(traceRequest(decisions, 'r9')).toEqual([]);
  });

  it('is described on one line each', () => {
    const [, lost] = decisions;
    const text = lost === undefined ? '' : describeDecision(lost);
    expect(text).toBe('1970-01-01T00:00:05.100Z  n1  platform.lost  topic=targets');
  });

  it('is read from any text without a throw', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        traceRequest(readDecisions(text), text);
      }),
    );
  });
});
