/** Tests of the metrics that count events of the time line. */
import { ManualClock, Metrics, TimeLine } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { countEvents } from './EventMetrics.js';

describe('countEvents', () => {
  it('counts claims by verdict and ignores other events', () => {
    const timeLine = new TimeLine(new ManualClock(), 'n');
    const metrics = new Metrics();
    countEvents(timeLine, metrics);
    timeLine.record('claim.decided', { verdict: 'won' });
    timeLine.record('node.draining');
    expect(metrics.render()).toBe('tanager_claims_total{verdict="won"} 1\n');
  });
});
