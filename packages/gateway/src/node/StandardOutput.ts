/** Writes to standard output without blocking; a slow reader loses lines, requests go on. */

/** Lines are dropped while more than this is buffered; a hundredth of a small host's memory. */
const MAX_BACKLOG_BYTES = 1_000_000;

/** Writes a line; returns `false` if it was dropped because the buffer is full. */
export function writeLine(line: string): boolean {
  if (process.stdout.writableLength > MAX_BACKLOG_BYTES) {
    return false;
  }
  process.stdout.write(`${line}\n`);
  return true;
}
