/**
 * Converts errors to problem documents (RFC 9457) with the fields `kind`, `remedy` and `notRun`.
 */
import { ErrorKind, type ServiceError } from '@tanagerdyke/kernel';

const MS_PER_SECOND = 1_000;

/** HTTP status of each kind of error. */
export const STATUS_OF_KIND: Record<ErrorKind, number> = {
  [ErrorKind.BadRequest]: 400,
  [ErrorKind.Unauthorized]: 401,
  [ErrorKind.NotFound]: 404,
  [ErrorKind.Conflict]: 409,
  [ErrorKind.CheckFailed]: 422,
  [ErrorKind.RequestTimeout]: 408,
  [ErrorKind.TooLarge]: 413,
  [ErrorKind.Overloaded]: 503,
  [ErrorKind.NoTarget]: 503,
  [ErrorKind.DeadlineExceeded]: 504,
  [ErrorKind.TargetFailed]: 502,
  [ErrorKind.PlatformUnavailable]: 503,
  [ErrorKind.AppendUnknown]: 503,
  [ErrorKind.RateLimited]: 429,
  [ErrorKind.RecordsExpired]: 410,
  [ErrorKind.OutcomeUnknown]: 504,
  [ErrorKind.AnswerNotHeld]: 410,
  [ErrorKind.KeyExpired]: 410,
  [ErrorKind.KeyReused]: 422,
  [ErrorKind.Isolated]: 503,
  [ErrorKind.Draining]: 503,
  [ErrorKind.LinkFailed]: 502,
  [ErrorKind.FencingRefused]: 409,
  [ErrorKind.Cancelled]: 499,
  [ErrorKind.Internal]: 500,
};

/** The body of a problem document. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly kind: ErrorKind;
  readonly remedy: string;
  readonly notRun: string;
  readonly retryAfterMs?: number;
  readonly findings?: readonly string[];
}

export function toProblem(error: ServiceError): Problem {
  const { kind, message, remedy, notRun, retryAfterMs, findings } = error;
  return {
    type: `urn:tanagerdyke:problem:${kind}`,
    title: kind.replaceAll('-', ' '),
    status: STATUS_OF_KIND[kind],
    detail: message,
    kind,
    remedy,
    notRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) }),
    ...(findings.length === 0 ? {} : { findings }),
  };
}

/** Creates the response for an error, with `Retry-After` if the error has a retry time. */
export function problemResponse(error: ServiceError): Response {
  const problem = toProblem(error);
  const headers = new Headers({ 'content-type': 'application/problem+json' });
  if (error.retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_SECOND))));
  }
  return new Response(JSON.stringify(problem), { status: problem.status, headers });
}
