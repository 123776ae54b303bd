/**
 * Counters, gauges and latency histograms, rendered in the Prometheus text exposition format
 * (version 0.0.4). Histograms are HDR histograms and appear as summaries.
 */
import { build, type Histogram } from 'hdr-histogram-js';

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.95, 0.99, 1] as const;
/** Histograms store integers: durations in milliseconds are recorded as whole microseconds. */
const UNITS_PER_MS = 1000;
/** Longer durations are recorded as one hour. */
const MAX_DURATION_MS = 3_600_000;

interface Summary {
  readonly name: string;
  readonly labels: Labels;
  readonly histogram: Histogram;
  sumMs: number;
}

/** Holds the metrics of a process and renders them. */
export class Metrics {
  private readonly _counters = new Map<string, number>();
  private readonly _gauges = new Map<string, () => number>();
  private readonly _summaries = new Map<string, Summary>();

  public increment(name: string, labels: Labels = {}, by = 1): void {
    const key = seriesKey(name, labels);
    this._counters.set(key, (this._counters.get(key) ?? 0) + by);
  }

  /** The current value of a counter; 0 if it was never incremented. */
  public count(name: string, labels: Labels = {}): number {
    return this._counters.get(seriesKey(name, labels)) ?? 0;
  }

  /** Registers a gauge that is read when the metrics are rendered. */
  public gauge(name: string, read: () => number, labels: Labels = {}): void {
    this._gauges.set(seriesKey(name, labels), read);
  }

  /** Records a duration in milliseconds. */
  public observe(name: string, durationMs: number, labels: Labels = {}): void {
    const key = seriesKey(name, labels);
    let summary = this._summaries.get(key);
    if (summary === undefined) {
      const histogram = build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_DURATION_MS * UNITS_PER_MS,
        numberOfSignificantValueDigits: 2,
        autoResize: true,
      });
      summary = { name, labels, histogram, sumMs: 0 };
      this._summaries.set(key, summary);
    }
    const boundedMs = Math.min(Math.max(durationMs, 0), MAX_DURATION_MS);
    summary.histogram.recordValue(Math.round(boundedMs * UNITS_PER_MS));
    summary.sumMs += boundedMs;
  }

  /** Formats all series in the text exposition format. */
  public render(): string {
    const lines: string[] = [];
    for (const [key, value] of this._counters) {
      lines.push(`${key} ${value}`);
    }
    for (const [key, read] of this._gauges) {
      lines.push(`${key} ${read()}`);
    }
    for (const summary of this._summaries.values()) {
      lines.push(...renderSummary(summary));
    }
    return `${lines.sort().join('\n')}\n`;
  }
}

function renderSummary(summary: Summary): string[] {
  const { name, labels, histogram } = summary;
  const lines = QUANTILES.map((quantile) => {
    const value = histogram.getValueAtPercentile(quantile * 100) / UNITS_PER_MS;
    return `${seriesKey(name, { ...labels, quantile: String(quantile) })} ${value}`;
  });
  lines.push(`${seriesKey(`${name}_count`, labels)} ${histogram.totalCount}`);
  lines.push(`${seriesKey(`${name}_sum`, labels)} ${summary.sumMs}`);
  return lines;
}

function seriesKey(name: string, labels: Labels): string {
  const entries = Object.entries(labels);
  if (entries.length === 0) {
    return name;
  }
  const rendered = entries.map(([label, value]) => `${label}="${escapeLabel(value)}"`);
  return `${name}{${rendered.sort().join(',')}}`;
}

function escapeLabel(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}
