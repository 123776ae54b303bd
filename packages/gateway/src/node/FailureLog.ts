/**
 * Logs the defects of a gateway process: those in background work, which goes on, and those that
 * nothing handles, which end the process.
 */
import { describeCause, type Metrics, onBackgroundFailure } from '@tanagerdyke/kernel';
import type { DecisionLog } from '../common/DecisionLog.js';

/** Logs all defects of this process, and counts those in background work by its kind. */
export function logFailures(log: DecisionLog, metrics: Metrics): void {
  onBackgroundFailure(({ error, work }) => {
    metrics.increment('tanager_background_failures_total', { work });
    log.write('background.failed', { work, cause: describeCause(error), stack: stackOf(error) });
  });
  process.on('uncaughtExceptionMonitor', (error: unknown, origin) => {
    log.write('process.failed', { origin, cause: describeCause(error), stack: stackOf(error) });
  });
}

function stackOf(error: unknown): string | undefined {
  return error instanceof Error ? error.stack : undefined;
}
