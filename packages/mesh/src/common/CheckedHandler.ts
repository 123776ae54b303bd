/** Handlers of peer requests that validate the parameters against a schema. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type * as z from 'zod';
import type { RequestHandler } from './services/Services.js';

/** Wraps `handle` so that parameters that don't match `schema` are rejected with `BadRequest`. */
export function checkedHandler<T>(
  schema: z.ZodType<T>,
  handle: (message: T) => Result<unknown, ServiceError> | Promise<Result<unknown, ServiceError>>,
): RequestHandler {
  return async (params) => {
    const parsed = schema.safeParse(params);
    return parsed.success ? handle(parsed.data) : Result.err(malformed(parsed.error.message));
  };
}

function malformed(detail: string): ServiceError {
  return new ServiceError(ErrorKind.BadRequest, `malformed peer message: ${detail}`, {
    remedy: 'run the same version on all nodes',
    notRun: NotRun.True,
  });
}
