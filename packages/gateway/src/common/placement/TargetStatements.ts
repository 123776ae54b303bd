/** What targets state of themselves in answers: that they are leaving, want a pause, or limit rates. */
import type { TargetAnswer, TargetEntry } from '../Messages.js';
import type { TargetTable } from '../state/TargetTable.js';
import type { RateLimits } from './RateLimits.js';
import type { TargetPauses } from './TargetPauses.js';

/** The state that statements change. */
export interface StatementServices {
  readonly targets: TargetTable;
  readonly pauses: TargetPauses;
  readonly rateLimits: RateLimits;
}

/** Records the statements in an answer that a target sent to this node. */
export function recordStatements(
  { pauses, rateLimits, targets }: StatementServices,
  target: TargetEntry,
  { isLeaving, isMisdirected, pauseMs, requestsPerSecond }: TargetAnswer,
): void {
  if (isMisdirected) {
    return;
  }
  rateLimits.recordStatement({ target: target.id, requestsPerSecond });
  if (pauseMs !== undefined) {
    pauses.record(target.id, pauseMs);
  }
  if (isLeaving) {
    targets.recordLeaving(target);
  }
}
