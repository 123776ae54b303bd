/**
 * Answers connections that fail before they have sent a complete request: malformed or truncated
 * HTTP, headers over the limit, clients that send too slowly. Each gets a problem document and is
 * closed.
 */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { ErrorKind, type Metrics, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { Settings } from '../../common/Settings.js';
import { toProblem } from './Problem.js';

const STATUS_HEADERS_TOO_LARGE = 431;

type Limits = Settings['limits'];

interface ClientFault {
  readonly error: ServiceError;
  /** A more specific status than that of the kind. */
  readonly status?: number;
}

/** The fault for each error code of the HTTP server; other codes mean malformed HTTP. */
const FAULT_OF_CODE: Readonly<Record<string, (limits: Limits) => ClientFault>> = {
  HPE_HEADER_OVERFLOW: ({ headerBytes }) => ({
    error: new ServiceError(
      ErrorKind.TooLarge,
      `the headers are larger than ${headerBytes} bytes`,
      {
        remedy: 'send smaller headers',
        notRun: NotRun.True,
      },
    ),
    status: STATUS_HEADERS_TOO_LARGE,
  }),
  ERR_HTTP_REQUEST_TIMEOUT: ({ headersTimeoutMs, requestTimeoutMs }) => ({
    error: new ServiceError(
      ErrorKind.RequestTimeout,
      `no complete request within ${headersTimeoutMs} ms for its headers and ${requestTimeoutMs} ms in total`,
      { remedy: 'send the whole request at once on a new connection', notRun: NotRun.True },
    ),
  }),
};

/** Answers a connection that failed before its request was complete. */
export function answerClientError(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  limits: Limits,
  metrics: Metrics,
): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const fault = FAULT_OF_CODE[error.code ?? '']?.(limits) ?? { error: malformedError(error) };
  metrics.increment('tanager_refusals_total', { kind: fault.error.kind });
  socket.end(renderResponse(fault), () => {
    socket.destroy();
  });
}

function malformedError(cause: Error): ServiceError {
  return new ServiceError(
    ErrorKind.BadRequest,
    'the bytes received are not a complete HTTP/1.1 request',
    {
      remedy: 'send a complete HTTP/1.1 request',
      notRun: NotRun.True,
      cause,
    },
  );
}

function renderResponse({ error, status }: ClientFault): string {
  const problem = toProblem(error);
  const code = status ?? problem.status;
  const body = JSON.stringify({ ...problem, status: code });
  return [
    `HTTP/1.1 ${code} ${STATUS_CODES[code] ?? ''}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
