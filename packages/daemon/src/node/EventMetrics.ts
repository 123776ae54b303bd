/** Counts decisions by their events on the time line, so that the deciding modules need no metrics. */
import type { Disposable, Fields, Metrics, TimeLine } from '@tanagerdyke/kernel';

type EventCounter = (metrics: Metrics, fields: Fields) => void;

/** What each counted event adds to. */
const COUNTERS_BY_EVENT: Readonly<Record<string, EventCounter>> = {
  'claim.decided': (metrics, { verdict }) => {
    metrics.increment('tanager_claims_total', { verdict: String(verdict) });
  },
  'claim.dispatched': (metrics) => {
    metrics.increment('tanager_claims_dispatched_total');
  },
};

/** Counts until the result is disposed. */
export function countEvents(timeLine: TimeLine, metrics: Metrics): Disposable {
  return timeLine.onEvent(({ fields, name }) => {
    COUNTERS_BY_EVENT[name]?.(metrics, fields);
  });
}
