/**
 * Writes lines to standard output without blocking. A slow reader, one that is gone or a full disk costs
 * lines; the process and its requests go on. Lost lines can't be logged, so they are counted.
 */
import { type Metrics, onOutputFailure } from '@tanagerdyke/kernel';

/** Lines are dropped while more than this is buffered; a hundredth of a small host's memory. */
const MAX_BACKLOG_BYTES = 1_000_000;

/** Returns a function that writes a line, or returns `false` if it dropped the line. */
export function createLineWriter(metrics: Metrics): (line: string) => boolean {
  const countLost = (cause: string): void => {
    metrics.increment('tanager_log_lines_lost_total', { cause });
  };
  onOutputFailure(({ code, stream }) => {
    metrics.increment('tanager_output_failures_total', { code, stream });
  });
  return (line) => {
    if (process.stdout.writableLength > MAX_BACKLOG_BYTES) {
      countLost('backlog');
      return false;
    }
    process.stdout.write(`${line}\n`, (error) => {
      if (error instanceof Error) {
        countLost('failure');
      }
    });
    return true;
  };
}
