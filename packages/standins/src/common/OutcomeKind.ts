/** The outcomes of requests, as their callers observe them. */

/** The outcome of a request for its caller. */
export enum OutcomeKind {
  Answered = 'answered',
  /** Refused with the statement that it was not run. */
  NotRun = 'not-run',
  /** Failed with the statement that it was run, at least in part. */
  Failed = 'failed',
  /** Failed without a statement whether it was run. */
  Unknown = 'unknown',
  /** Answered incompletely, or with the answer to another request. */
  Crossed = 'crossed',
}
