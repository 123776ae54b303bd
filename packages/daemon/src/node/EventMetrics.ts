/**
 * Updates metrics from events of the time line, so that the modules that record them need no
 * metrics.
 */
import type { Disposable, Fields, Metrics, TimeLine } from '@tanagerdyke/kernel';

type EventCounter = (metrics: Metrics, fields: Fields) => void;

/** The metric that each counted event increments. */
const COUNTERS_BY_EVENT: Readonly<Record<string, EventCounter>> = {
  'claim.decided': (metrics, { verdict }) => {
    metrics.increment('tanager_claims_total', { verdict: String(verdict) });
  },
  'claim.dispatched': (metrics) => {
    metrics.increment('tanager_claims_dispatched_total');
  },
};

/** Counts events until the returned object is disposed. */
export function countEvents(timeLine: TimeLine, metrics: Metrics): Disposable {
  return timeLine.onEvent(({ fields, name }) => {
    COUNTERS_BY_EVENT[name]?.(metrics, fields);
  });
}
