/** The HTTP client that the adapters share: JSON requests with a time limit, on undici. */
import { describeCause, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { Agent, request } from 'undici';
import * as z from 'zod';

const CONNECTIONS_PER_ADDRESS = 256;
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000;
const FIRST_FAILURE_STATUS = 300;

/** One agent for all adapters of a process. No retries: those are decided above. */
export const agent = new Agent({
  connections: CONNECTIONS_PER_ADDRESS,
  connectTimeout: CONNECT_TIMEOUT_MS,
  keepAliveTimeout: KEEP_ALIVE_MS,
  headersTimeout: 0,
  bodyTimeout: 0,
});

/** Codes of errors that come before any byte was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const problemSchema = z.object({ kind: z.enum(ErrorKind), detail: z.string(), remedy: z.string() });

/** A request of the outside world. */
export interface OutgoingRequest {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
}

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly text: string;
}

/** Sends a request and reads the whole answer, of whatever status. */
export async function sendRequest(
  outgoing: OutgoingRequest,
): Promise<Result<HttpResponse, ServiceError>> {
  try {
    const { statusCode, body } = await request(outgoing.url, {
      method: outgoing.method,
      body: outgoing.body,
      headers: { 'content-type': 'application/json', ...outgoing.headers },
      signal: outgoing.signal,
      dispatcher: agent,
    });
    return Result.ok({ status: statusCode, text: await body.text() });
  } catch (error) {
    return Result.err(toTransportError(error, outgoing.url));
  }
}

/** Sends a request with JSON and reads a JSON answer of the given schema. */
export async function sendJsonRequest<T>(
  outgoing: OutgoingRequest,
  schema: z.ZodType<T>,
): Promise<Result<T, ServiceError>> {
  const answer = await sendRequest(outgoing);
  return answer.andThen(({ status, text }) =>
    parseJsonResponse(status, text, schema, outgoing.url),
  );
}

/** The error of an exchange that broke; it says whether a byte may have been sent. */
export function toTransportError(error: unknown, url: string): ServiceError {
  const code = errorCodeOf(error);
  const notRun = NOT_SENT_CODES.has(code) ? NotRun.True : NotRun.Unknown;
  return new ServiceError(ErrorKind.TargetFailed, `${url}: ${describeCause(error)}`, {
    remedy: 'check that the address is right and its process runs',
    notRun,
    cause: error,
  });
}

/** The failure that a problem document tells, or one made from the status. */
export function parseProblem(status: number, text: string, url: string): ServiceError {
  try {
    const parsed = problemSchema.safeParse(JSON.parse(text));
    if (parsed.success) {
      const { kind, detail, remedy } = parsed.data;
      return new ServiceError(kind, detail, { remedy });
    }
  } catch {
    // Not a problem document; the status has to do.
  }
  return new ServiceError(ErrorKind.TargetFailed, `${url} answered status ${status}`, {
    remedy: 'look at the log of that process',
  });
}

function parseJsonResponse<T>(
  status: number,
  text: string,
  schema: z.ZodType<T>,
  url: string,
): Result<T, ServiceError> {
  if (status >= FIRST_FAILURE_STATUS) {
    return Result.err(parseProblem(status, text, url));
  }
  try {
    return Result.ok(schema.parse(JSON.parse(text)));
  } catch (error) {
    return Result.err(
      new ServiceError(
        ErrorKind.TargetFailed,
        `${url}: malformed answer: ${describeCause(error)}`,
        {
          remedy: 'check that the adapter fits the program behind this address',
          cause: error,
        },
      ),
    );
  }
}

function errorCodeOf(error: unknown): string {
  return error instanceof Error && 'code' in error && typeof error.code === 'string'
    ? error.code
    : '';
}
