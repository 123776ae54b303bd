/**
 * What targets state of themselves in answers: that they are leaving or cold, want a pause, or limit
 * rates.
 */
import type { TargetAnswer, TargetEntry } from '../Messages.js';
import type { TargetTable } from '../state/TargetTable.js';
import type { ColdTargets } from './ColdTargets.js';
import type { RateLimits } from './RateLimits.js';
import type { TargetPauses } from './TargetPauses.js';

/** The state that statements change. */
export interface StatementServices {
  readonly targets: TargetTable;
  readonly pauses: TargetPauses;
  readonly rateLimits: RateLimits;
  readonly coldTargets: ColdTargets;
}

/** Records the statements in an answer that a target sent to this node. */
export function recordStatements(
  { coldTargets, pauses, rateLimits, targets }: StatementServices,
  target: TargetEntry,
  { coldMs, isLeaving, isMisdirected, pauseMs, requestsPerSecond }: TargetAnswer,
): void {
  if (isMisdirected) {
    return;
  }
  rateLimits.recordStatement({ target: target.id, requestsPerSecond });
  if (coldMs !== undefined) {
    coldTargets.recordAnswer(target, coldMs);
  }
  if (pauseMs !== undefined) {
    pauses.record(target.id, pauseMs);
  }
  if (isLeaving) {
    targets.recordLeaving(target);
  }
}
