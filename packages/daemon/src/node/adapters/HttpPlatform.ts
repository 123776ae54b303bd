/** Adapters for the log, host list and weight store of a platform with JSON over HTTP. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import {
  type HostList,
  type HostState,
  HostStatus,
  type LogPage,
  type PlatformLog,
  type WeightStore,
} from '@tanagerdyke/contracts';
import { type Result } from 'true-myth';
import * as z from 'zod';
import { sendJsonRequest } from './HttpClient.js';

const APPEND_TIMEOUT_MS = 2_000;
const READ_TIMEOUT_MS = 2_000;
const LIST_TIMEOUT_MS = 2_000;
/** Kinds of errors after which the record is known not to be in the log. */
const NOT_APPENDED = new Set([
  ErrorKind.PlatformUnavailable,
  ErrorKind.RateLimited,
  ErrorKind.TooLarge,
  ErrorKind.BadRequest,
]);

const appendSchema = z.object({ offset: z.number().int() });
const pageSchema = z.object({
  records: z.array(z.object({ offset: z.number().int(), payload: z.string() })),
  first: z.number().int(),
  tail: z.number().int(),
});
const hostsSchema = z.array(
  z.object({
    name: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    status: z.enum(HostStatus),
  }),
);
const weightStoreSchema = z.object({ loadsPerMinute: z.number() });

/** The platform's log over HTTP. */
export class HttpPlatformLog implements PlatformLog {
  constructor(private readonly _address: string) {}

  public async append(stream: string, payload: string): Promise<Result<number, ServiceError>> {
    const appended = await sendJsonRequest(
      {
        method: 'POST',
        url: this._url(stream),
        body: JSON.stringify({ payload }),
        signal: AbortSignal.timeout(APPEND_TIMEOUT_MS),
      },
      appendSchema,
    );
    return appended.map(({ offset }) => offset).mapErr(toAppendError);
  }

  public async read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMs: number,
  ): Promise<Result<LogPage, ServiceError>> {
    const query = `from=${fromOffset}&limit=${limit}&wait=${waitMs}`;
    const page = await sendJsonRequest(
      {
        method: 'GET',
        url: `${this._url(stream)}?${query}`,
        signal: AbortSignal.timeout(READ_TIMEOUT_MS + waitMs),
      },
      pageSchema,
    );
    return page.mapErr(toReadError);
  }

  private _url(stream: string): string {
    return `${this._address}/streams/${encodeURIComponent(stream)}/records`;
  }
}

/** The platform's host list over HTTP. */
export class HttpHostList implements HostList {
  constructor(private readonly _address: string) {}

  public list(): Promise<Result<readonly HostState[], ServiceError>> {
    const signal = AbortSignal.timeout(LIST_TIMEOUT_MS);
    return sendJsonRequest({ method: 'GET', url: `${this._address}/hosts`, signal }, hostsSchema);
  }
}

/** The platform's weight store over HTTP. */
export class HttpWeightStore implements WeightStore {
  constructor(private readonly _address: string) {}

  public async loadsPerMinute(): Promise<Result<number, ServiceError>> {
    const signal = AbortSignal.timeout(LIST_TIMEOUT_MS);
    const url = `${this._address}/rate`;
    const response = await sendJsonRequest({ method: 'GET', url, signal }, weightStoreSchema);
    return response.map(({ loadsPerMinute }) => loadsPerMinute);
  }
}

function toAppendError(error: ServiceError): ServiceError {
  if (NOT_APPENDED.has(error.kind)) {
    return error.withNotRun(NotRun.True);
  }
  const wasNotSent = error.notRun === NotRun.True;
  return new ServiceError(
    wasNotSent ? ErrorKind.PlatformUnavailable : ErrorKind.AppendUnknown,
    error.message,
    {
      remedy: wasNotSent
        ? 'try again when the platform log is available'
        : 'read the stream to find out whether it contains the record',
      notRun: wasNotSent ? NotRun.True : NotRun.Unknown,
      cause: error,
    },
  );
}

function toReadError(error: ServiceError): ServiceError {
  if (error.kind === ErrorKind.RecordsExpired) {
    return error;
  }
  return new ServiceError(ErrorKind.PlatformUnavailable, error.message, {
    remedy: 'try again when the platform log is available',
    notRun: NotRun.True,
    cause: error,
  });
}
