/** The adapter for plain services reached by HTTP. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { Service, ServiceAnswer, ServiceCall } from '@tanagerdyke/contracts';
import { Result } from 'true-myth';
import * as z from 'zod';
import { sendRequest, sendJsonRequest } from './HttpClient.js';

const LOOK_UP_TIMEOUT_MS = 2_000;
/** Responses of gateways and servers from this status on don't show whether the call ran. */
const FIRST_SERVER_ERROR_STATUS = 500;

const lookUpSchema = z.object({
  answer: z.object({ status: z.number().int(), body: z.string() }).optional(),
});

/** A plain service reached by HTTP. */
export class HttpService implements Service {
  constructor(private readonly _address: string) {}

  public async call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, ServiceError>> {
    const headers: Record<string, string> = { 'tanager-attempt': call.id };
    if (call.key !== undefined) {
      headers['idempotency-key'] = call.key;
    }
    const url = `${this._address}${call.path}`;
    const response = await sendRequest({ method: 'POST', url, body: call.body, headers, signal });
    return response.andThen(({ status, text }) =>
      status >= FIRST_SERVER_ERROR_STATUS
        ? Result.err(toServerError(url, status))
        : Result.ok({ status, body: text }),
    );
  }

  public async lookUp(key: string): Promise<Result<ServiceAnswer | undefined, ServiceError>> {
    const signal = AbortSignal.timeout(LOOK_UP_TIMEOUT_MS);
    const url = `${this._address}/outcomes/${encodeURIComponent(key)}`;
    const found = await sendJsonRequest({ method: 'GET', url, signal }, lookUpSchema);
    return found.map(({ answer }) => answer);
  }
}

function toServerError(url: string, status: number): ServiceError {
  return new ServiceError(ErrorKind.TargetFailed, `${url} responded with status ${status}`, {
    remedy: 'check the log of the service',
    notRun: NotRun.Unknown,
  });
}
