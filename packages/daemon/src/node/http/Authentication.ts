/** Checks the bearer tokens of callers and operators without leaking them by timing. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { Configuration, Workspace } from '@tanagerdyke/configuration';
import { Result } from 'true-myth';

const SCHEME = 'Bearer ';

/** Finds the workspace that the token of a caller belongs to. */
export function authenticateCaller(
  authorization: string | undefined,
  configuration: Configuration,
): Result<Workspace, ServiceError> {
  // A lookup by digest leaks nothing about the token by timing: an attacker can't choose digests.
  const workspace = configuration.set.workspaceByTokenDigest(
    sha256Hex(parseBearerToken(authorization)),
  );
  return workspace === undefined
    ? Result.err(unauthorizedError('workspace'))
    : Result.ok(workspace);
}

/** Checks that the request carries the operator token, in constant time. */
export function authenticateOperator(
  authorization: string | undefined,
  operatorToken: string,
): Result<null, ServiceError> {
  const given = Buffer.from(sha256Hex(parseBearerToken(authorization)));
  const expected = Buffer.from(sha256Hex(operatorToken));
  return timingSafeEqual(given, expected)
    ? Result.ok(null)
    : Result.err(unauthorizedError('operator'));
}

function parseBearerToken(authorization: string | undefined): string {
  return authorization?.startsWith(SCHEME) === true ? authorization.slice(SCHEME.length) : '';
}

function sha256Hex(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

function unauthorizedError(role: string): ServiceError {
  return new ServiceError(ErrorKind.Unauthorized, `no valid ${role} token`, {
    remedy: `send 'Authorization: Bearer' with the ${role} token`,
    notRun: NotRun.True,
  });
}
