import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { renderLogEntry, parseDecisionLog, traceRequest } from './RequestTrace.js';

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

describe('RequestTrace', () => {
  const entries = parseDecisionLog(LOG);

  it('includes events of the node about itself and the targets during the request', () => {
    expect(traceRequest(entries, 'r1').map(({ at, event }) => [at, event])).toEqual([
      [5_100, 'platform.lost'],
      [5_300, 'target.gone'],
      [5_400, 'request.attempt-failed'],
      [6_000, 'request.finished'],
    ]);
  });

  it('returns no entries for a request that no line names', () => {
    expect(traceRequest(entries, 'r9')).toEqual([]);
  });

  it('renders an entry as one line', () => {
    const [, lost] = entries;
    const text = lost === undefined ? '' : renderLogEntry(lost);
    expect(text).toBe('1970-01-01T00:00:05.100Z  n1  platform.lost  topic=targets');
  });

  it('parses any text without throwing', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        traceRequest(parseDecisionLog(text), text);
      }),
    );
  });
});
