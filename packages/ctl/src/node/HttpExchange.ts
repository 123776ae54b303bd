/** JSON requests to a daemon; a problem document is returned as a `ServiceError`. */
import { describeCause, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { Agent, request } from 'undici';
import * as z from 'zod';

const FIRST_UNSUCCESSFUL_STATUS = 300;
const MAX_CONNECTIONS_PER_DAEMON = 512;
const DEFAULT_TIMEOUT_MS = 15_000;

/** The connection pool of this process; each request sets its own timeout. */
export const callerAgent = new Agent({
  connections: MAX_CONNECTIONS_PER_DAEMON,
  headersTimeout: 0,
  bodyTimeout: 0,
});

const problemSchema = z.object({
  kind: z.enum(ErrorKind),
  detail: z.string(),
  remedy: z.string(),
  notRun: z.enum(NotRun),
  retryAfterMs: z.number().optional(),
  findings: z.array(z.string()).optional(),
});

/** A request to one daemon. */
export interface DaemonRequest {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly token: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time limit of the whole exchange; `DEFAULT_TIMEOUT_MS` if undefined. */
  readonly timeoutMs?: number;
}

/** Sends a request and validates its JSON answer. */
export async function requestJson<T>(
  daemonRequest: DaemonRequest,
  schema: z.ZodType<T>,
): Promise<Result<T, ServiceError>> {
  const text = await requestText(daemonRequest);
  return text.andThen((each) => {
    try {
      return Result.ok(schema.parse(JSON.parse(each)));
    } catch (error) {
      return Result.err(connectionError(daemonRequest.url, error));
    }
  });
}

/** Sends a request and returns the text of its answer. */
export async function requestText(
  daemonRequest: DaemonRequest,
): Promise<Result<string, ServiceError>> {
  try {
    const { statusCode, body } = await request(daemonRequest.url, {
      method: daemonRequest.method,
      body: daemonRequest.body,
      headers: headersOf(daemonRequest),
      signal: AbortSignal.timeout(daemonRequest.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      dispatcher: callerAgent,
    });
    const text = await body.text();
    return statusCode >= FIRST_UNSUCCESSFUL_STATUS
      ? Result.err(parseProblem(statusCode, text))
      : Result.ok(text);
  } catch (error) {
    return Result.err(connectionError(daemonRequest.url, error));
  }
}

export function headersOf({ token, headers }: DaemonRequest): Record<string, string> {
  return { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...headers };
}

/** Returns the error that a problem document describes. */
export function parseProblem(status: number, text: string): ServiceError {
  try {
    const parsed = problemSchema.safeParse(JSON.parse(text));
    if (parsed.success) {
      return new ServiceError(parsed.data.kind, parsed.data.detail, parsed.data);
    }
  } catch {
    // The body is not JSON, so only the status describes the failure.
  }
  return new ServiceError(ErrorKind.LinkFailed, `the daemon answered status ${status}`, {
    remedy: 'check the log of the daemon',
  });
}

/** The error of a failed request. Only a refused connection proves that nothing was sent. */
export function connectionError(url: string, error: unknown): ServiceError {
  const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
  return new ServiceError(ErrorKind.LinkFailed, `${url}: ${describeCause(error)}`, {
    remedy: 'try another address',
    notRun: isRefused ? NotRun.True : NotRun.Unknown,
    cause: error,
  });
}
