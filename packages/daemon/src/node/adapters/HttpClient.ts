/**
 * The HTTP client shared by the adapters, based on undici. Requests and responses are JSON; the
 * abort signal of a request limits its time.
 */
import { describeCause, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { Agent, request } from 'undici';
import * as z from 'zod';

const CONNECTIONS_PER_ADDRESS = 256;
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000;
const FIRST_FAILURE_STATUS = 300;

/** The agent of all adapters of a process. It doesn't retry; code above the adapters does. */
export const agent = new Agent({
  connections: CONNECTIONS_PER_ADDRESS,
  connectTimeout: CONNECT_TIMEOUT_MS,
  keepAliveTimeout: KEEP_ALIVE_MS,
  headersTimeout: 0,
  bodyTimeout: 0,
});

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const problemSchema = z.object({ kind: z.enum(ErrorKind), detail: z.string(), remedy: z.string() });

/** A request to a target or to the platform. */
export interface OutgoingRequest {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly text: string;
}

/** Sends a request and reads the complete response, whatever its status. */
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

/** Sends a JSON request and validates the JSON response against a schema. */
export async function sendJsonRequest<T>(
  outgoing: OutgoingRequest,
  schema: z.ZodType<T>,
): Promise<Result<T, ServiceError>> {
  const response = await sendRequest(outgoing);
  return response.andThen(({ status, text }) =>
    parseJsonResponse(status, text, schema, outgoing.url),
  );
}

/**
 * Converts a failure of the connection; `notRun` is true only if no byte of the request was sent.
 */
export function toTransportError(error: unknown, url: string): ServiceError {
  const code = errorCodeOf(error);
  const notRun = NOT_SENT_CODES.has(code) ? NotRun.True : NotRun.Unknown;
  return new ServiceError(ErrorKind.TargetFailed, `${url}: ${describeCause(error)}`, {
    remedy: 'check that the address is correct and its process is running',
    notRun,
    cause: error,
  });
}

/** Converts a problem document to its error, or any other error response to one with its status. */
export function parseProblem(status: number, text: string, url: string): ServiceError {
  try {
    const parsed = problemSchema.safeParse(JSON.parse(text));
    if (parsed.success) {
      const { kind, detail, remedy } = parsed.data;
      return new ServiceError(kind, detail, { remedy });
    }
  } catch {
    // The body is not JSON, so only the status describes the failure.
  }
  return new ServiceError(ErrorKind.TargetFailed, `${url} responded with status ${status}`, {
    remedy: 'check the log of that process',
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
        `${url}: malformed response: ${describeCause(error)}`,
        {
          remedy: 'check that the adapter matches the program at this address',
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
