/**
 * Expected failures. They are returned as true-myth `Result`s and sent to other processes as
 * problem documents (RFC 9457), and each states a remedy. A thrown exception indicates a defect
 * instead.
 */

/** The closed set of expected failures. */
export enum ErrorKind {
  BadRequest = 'bad-request',
  Unauthorized = 'unauthorized',
  NotFound = 'not-found',
  Conflict = 'conflict',
  CheckFailed = 'check-failed',
  RequestTimeout = 'request-timeout',
  TooLarge = 'too-large',
  Overloaded = 'overloaded',
  NoTarget = 'no-target',
  DeadlineExceeded = 'deadline-exceeded',
  TargetFailed = 'target-failed',
  PlatformUnavailable = 'platform-unavailable',
  AppendUnknown = 'append-unknown',
  RateLimited = 'rate-limited',
  RecordsExpired = 'records-expired',
  OutcomeUnknown = 'outcome-unknown',
  AnswerNotHeld = 'answer-not-held',
  KeyExpired = 'key-expired',
  KeyReused = 'key-reused',
  Isolated = 'isolated',
  Draining = 'draining',
  LinkFailed = 'link-failed',
  FencingRefused = 'fencing-refused',
  Cancelled = 'cancelled',
  Internal = 'internal',
}

/** Whether a failed request is known not to have run. */
export enum NotRun {
  True = 'true',
  False = 'false',
  Unknown = 'unknown',
}

/** The properties of a `ServiceError` other than its kind and message. */
export interface ErrorDetails {
  /** What the reader of the message should do. */
  readonly remedy: string;
  /** Defaults to `Unknown`. */
  readonly notRun?: NotRun;
  /** Delay after which the request may be retried. */
  readonly retryAfterMs?: number;
  /** One line for each problem found. */
  readonly findings?: readonly string[];
  readonly cause?: unknown;
}

/** An expected failure of a typed kind. */
export class ServiceError extends Error {
  public readonly kind: ErrorKind;
  public readonly remedy: string;
  public readonly notRun: NotRun;
  public readonly retryAfterMs: number | undefined;
  public readonly findings: readonly string[];

  constructor(kind: ErrorKind, message: string, details: ErrorDetails) {
    super(message, { cause: details.cause });
    this.name = 'ServiceError';
    this.kind = kind;
    this.remedy = details.remedy;
    this.notRun = details.notRun ?? NotRun.Unknown;
    this.retryAfterMs = details.retryAfterMs;
    this.findings = details.findings ?? [];
  }

  /** Returns a copy of this error with a different `notRun`. */
  public withNotRun(notRun: NotRun): ServiceError {
    return new ServiceError(this.kind, this.message, {
      remedy: this.remedy,
      notRun,
      retryAfterMs: this.retryAfterMs,
      findings: this.findings,
      cause: this.cause,
    });
  }
}

/** Returns the message of a caught value, which need not be an `Error`. */
export function describeCause(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
