/** Error responses of the stand-ins, in the format that the adapters of the daemon parse. */
import { ErrorKind } from '@tanagerdyke/kernel';

const STATUS_BY_KIND: Partial<Record<ErrorKind, number>> = {
  [ErrorKind.PlatformUnavailable]: 503,
  [ErrorKind.RateLimited]: 429,
  [ErrorKind.TooLarge]: 413,
  [ErrorKind.RecordsExpired]: 410,
  [ErrorKind.FencingRefused]: 409,
  [ErrorKind.Overloaded]: 503,
};
const DEFAULT_STATUS = 400;

/** Creates an error response; `detail` becomes its message. */
export function problemResponse(kind: ErrorKind, detail: string): Response {
  const body = JSON.stringify({
    kind,
    detail,
    remedy: 'check the stand-in that refused the request',
  });
  return new Response(body, { status: STATUS_BY_KIND[kind] ?? DEFAULT_STATUS });
}
