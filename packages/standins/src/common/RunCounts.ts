/** The counts that the demo prints as its result. */

/** Outcomes of the requests of a run. */
export interface RunCounts {
  /** Requests that were not refused: answered correctly or incorrectly, or failed. */
  admitted: number;
  answered: number;
  /** Requests refused with the statement that they were not run. */
  refused: number;
  /** Requests that failed and were run, or may have been run. */
  failed: number;
  /** Answers that were incomplete, belonged to another request, or that no engine completed. */
  lost: number;
  /** Idempotency keys that services executed more than once. */
  doubled: number;
  /** Invariant violations that the daemons reported, and daemons that reported no status. */
  violations: number;
}

export function zeroCounts(): RunCounts {
  return { admitted: 0, answered: 0, refused: 0, failed: 0, lost: 0, doubled: 0, violations: 0 };
}
