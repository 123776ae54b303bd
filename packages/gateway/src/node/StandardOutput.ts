/** Lines on standard output that never block the process; a slow reader costs lines, not requests. */

/** Lines that wait to be written beyond this are dropped; a hundredth of a small host's memory. */
const MAX_BACKLOG_BYTES = 1_000_000;

/** Writes a line, or returns `false` when too many wait already. */
export function writeLine(line: string): boolean {
  if (process.stdout.writableLength > MAX_BACKLOG_BYTES) {
    return false;
  }
  process.stdout.write(`${line}\n`);
  return true;
}
