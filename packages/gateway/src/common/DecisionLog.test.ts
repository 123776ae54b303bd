import { ManualClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { DecisionLog } from './DecisionLog.js';

describe('DecisionLog', () => {
  it('writes one JSON line with time, node, event and fields', () => {
    const lines: string[] = [];
    const log = new DecisionLog(new ManualClock(5), 'n1', (line) => lines.push(line) > 0);
    log.write('a.b', { request: 'r1' });
    expect(lines).toEqual(['{"at":5,"node":"n1","event":"a.b","request":"r1"}']);
  });

  it('drops lines that the sink rejects and writes their count with the next line', () => {
    const lines: string[] = [];
    let isFull = true;
    const log = new DecisionLog(new ManualClock(), 'n1', (line) => {
      if (!isFull) {
        lines.push(line);
      }
      return !isFull;
    });
    log.write('first');
    log.write('second');
    expect(log.dropped).toBe(2);
    isFull = false;
    log.write('third');
    expect(lines[0]).toContain('"droppedBefore":2');
    expect(log.dropped).toBe(0);
  });
});
