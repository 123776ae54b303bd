/** Errors of refused placements. The request has not run on any engine when one is returned. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';

/**
 * Retry time of a refusal without an estimate. Another try is worthwhile after this time at the
 * latest.
 */
export const DEFAULT_RETRY_AFTER_MS = 500;

/** No engine has a version of the route and accepts new work. */
export function noTarget(route: string): ServiceError {
  return new ServiceError(ErrorKind.NoTarget, `no engine of route '${route}' accepts requests`, {
    remedy: 'retry after the given time, or add a host with a version of this route',
    notRun: NotRun.True,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
}

/** No engine can meet the deadline at present; one may after `retryAfterMs`. */
export function overloaded(retryAfterMs: number): ServiceError {
  return new ServiceError(ErrorKind.Overloaded, 'no engine has capacity to meet the deadline', {
    remedy: 'retry after the given time, or set a later deadline',
    notRun: NotRun.True,
    retryAfterMs,
  });
}
