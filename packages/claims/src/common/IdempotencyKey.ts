/**
 * Idempotency keys are UUIDs of version 7 (RFC 9562), whose first 48 bits are their creation time.
 * A key older than the claim window is refused, because the log may no longer hold its records.
 */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { validate, version } from 'uuid';

const TIMESTAMP_HEX_DIGITS = 12;
const UUID_TIME_VERSION = 7;
/** How far a caller's clock may be ahead of this node's. */
const MAX_CLOCK_AHEAD_MS = 60_000;

const KEY_SEPARATOR = '/';

/** Prefixes a key with its workspace, so that keys of different workspaces never collide. */
export function scopedKey(workspace: string, key: string): string {
  return `${workspace}${KEY_SEPARATOR}${key}`;
}

/** Creation time of a key, scoped or not, in milliseconds since the Unix epoch. */
export function keyTime(key: string): number {
  const uuid = key.slice(key.lastIndexOf(KEY_SEPARATOR) + 1);
  return Number.parseInt(uuid.replaceAll('-', '').slice(0, TIMESTAMP_HEX_DIGITS), 16);
}

/** Checks the format of a key and its age at `wallTime`, and returns the key in lower case. */
export function checkIdempotencyKey(
  key: string,
  wallTime: number,
  windowMs: number,
): Result<string, ServiceError> {
  if (!validate(key) || version(key) !== UUID_TIME_VERSION) {
    return Result.err(
      new ServiceError(ErrorKind.BadRequest, 'the Idempotency-Key is not a UUID of version 7', {
        remedy: 'send a UUIDv7 that was created when the call was first attempted',
        notRun: NotRun.True,
      }),
    );
  }
  const ageMs = wallTime - keyTime(key);
  if (ageMs > windowMs || ageMs < -MAX_CLOCK_AHEAD_MS) {
    return Result.err(
      new ServiceError(
        ErrorKind.KeyExpired,
        `the Idempotency-Key is ${Math.round(ageMs)} ms old, outside the window of ${windowMs} ms; its outcome is no longer known`,
        {
          remedy: 'check at the target whether the call ran before sending it with a new key',
          notRun: NotRun.Unknown,
        },
      ),
    );
  }
  return Result.ok(key.toLowerCase());
}
