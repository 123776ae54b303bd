import { Metrics } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { parseMetrics, sumOf, sumsBy } from './MetricsText.js';

describe('parseMetrics', () => {
  it('parses the metrics that the kernel renders', () => {
    const metrics = new Metrics();
    metrics.increment('requests_total', { ending: 'answered', kind: 'stream' }, 3);
    metrics.increment('requests_total', { ending: 'answered', kind: 'idempotent' });
    metrics.increment('requests_total', { ending: 'refused', kind: 'stream' }, 2);
    metrics.gauge('members', () => 7);
    metrics.observe('request_ms', 12);
    const samples = parseMetrics(metrics.render());
    expect(sumOf(samples, 'members')).toBe(7);
    expect(sumOf(samples, 'requests_total')).toBe(6);
    const endings = sumsBy(samples, 'requests_total', 'ending');
    expect(Object.fromEntries(endings)).toEqual({ answered: 4, refused: 2 });
  });

  it.each(['', '# HELP x', 'x', 'x{a="1"}', 'x nothing', '{} 1'])('skips %j', (line) => {
    expect(parseMetrics(line)).toEqual([]);
  });
});
