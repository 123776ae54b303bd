/**
 * Mechanisms of the daemon that a proof run can replace by a deliberately wrong one. Such a run is
 * a negative control: it is expected to violate an invariant, which shows that the checks can fail.
 */

/** Environment variable with the name of the mechanism that a proof daemon replaces. */
export const NAIVE_MECHANISM_VARIABLE = 'TANAGER_RUN_NAIVE_MECHANISM';

/** The naive mechanisms. The values are the names accepted by `--naive`. */
export enum NaiveMechanism {
  /** Dispatches a call before its idempotency key is claimed. */
  DispatchBeforeClaim = 'dispatch-before-claim',
  /** Dispatches a call again if the claim of another attempt has no outcome after a timeout. */
  TakeOverClaims = 'take-over-claims',
  /** Puts each configuration record in force without checking its base. */
  BelieveLastRecord = 'believe-last-record',
  /** Does not free abandoned items on engines. */
  ForgetReservations = 'forget-reservations',
  /** Reads leaving targets from the delayed host list of the platform only. */
  TrustHostList = 'trust-host-list',
  /** Matches responses to requests by their order instead of by an identifier. */
  MatchByOrder = 'match-by-order',
  /** Reports "not run" for every error. */
  AlwaysNotRun = 'always-not-run',
  /** Continues requests past their deadline. */
  IgnoreDeadlines = 'ignore-deadlines',
  /** Exits on SIGTERM without draining. */
  CutStreams = 'cut-streams',
}
