/** Tests of metrics in the text exposition format. */
import { describe, expect, it } from 'vitest';
import { Metrics } from './Metrics.js';

describe('Metrics', () => {
  describe('render', () => {
    it('writes counters with escaped labels', () => {
      const metrics = new Metrics();
      metrics.increment('refusals_total', { kind: 'a"b' });
      metrics.increment('refusals_total', { kind: 'a"b' }, 2);
      expect(metrics.render()).toBe('refusals_total{kind="a\\"b"} 3\n');
    });

    it('writes histograms as summaries with count and sum', () => {
      const metrics = new Metrics();
      metrics.observe('wait_ms', 10);
      metrics.observe('wait_ms', 30);
      const text = metrics.render();
      expect(text).toContain('wait_ms_count 2\n');
      expect(text).toContain('wait_ms_sum 40\n');
      expect(text).toContain('wait_ms{quantile="1"} 30');
    });

    it('reads gauges when rendering', () => {
      const metrics = new Metrics();
      let value = 1;
      metrics.gauge('queue', () => value);
      value = 7;
      expect(metrics.render()).toBe('queue 7\n');
    });
  });
});
