/** The adapter for engines that accept JSON over HTTP and stream frames as lines of JSON. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import {
  type CacheEvent,
  CacheEventKind,
  type Engine,
  type EngineFrame,
  type EngineOrder,
  type EngineRequest,
  HeldKind,
  type HeldItem,
  type LoadReport,
} from '@tanagerdyke/contracts';
import { Result } from 'true-myth';
import { request } from 'undici';
import * as z from 'zod';
import { agent, toTransportError, sendJsonRequest, parseProblem } from './HttpClient.js';

const REQUEST_TIMEOUT_MS = 2_000;
/** Time limit of requests during which an engine transfers cache or loads weights. */
const TRANSFER_TIMEOUT_MS = 60_000;
const HTTP_OK = 200;

const frameSchema = z.object({
  id: z.string(),
  position: z.number().int(),
  tokens: z.array(z.string()),
  isLast: z.boolean(),
  digest: z.string().optional(),
});
const heldItemSchema = z.object({
  id: z.string(),
  kind: z.enum(HeldKind),
  node: z.string(),
  incarnation: z.number().int(),
  tokens: z.number(),
  expiresInMs: z.number(),
});
const loadSchema = z.object({
  incarnation: z.string(),
  running: z.number(),
  queued: z.number(),
  queuedPrefillTokens: z.number(),
  memoryTokens: z.number(),
  memoryUsedTokens: z.number(),
  versions: z.array(z.string()),
  leaving: z.boolean(),
});
const cacheEventsSchema = z.array(
  z.object({ sequence: z.number().int(), kind: z.enum(CacheEventKind), prefix: z.string() }),
);
const emptySchema = z.object({});

/** An engine reached by HTTP. */
export class HttpEngine implements Engine {
  constructor(private readonly _address: string) {}

  public async *generate(
    engineRequest: EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<Result<EngineFrame, ServiceError>> {
    const url = `${this._address}/generate`;
    try {
      const { statusCode, body } = await request(url, {
        method: 'POST',
        body: JSON.stringify(engineRequest),
        headers: { 'content-type': 'application/json' },
        signal,
        dispatcher: agent,
      });
      if (statusCode !== HTTP_OK) {
        yield Result.err(parseProblem(statusCode, await body.text(), url));
        return;
      }
      yield* readFrames(body as AsyncIterable<Buffer>, url);
    } catch (error) {
      yield Result.err(streamError(error, url, signal));
    }
  }

  public load(): Promise<Result<LoadReport, ServiceError>> {
    return this._get('/load', loadSchema);
  }

  public cacheEvents(sequence: number): Promise<Result<readonly CacheEvent[], ServiceError>> {
    return this._get(`/cache-events?from=${sequence}`, cacheEventsSchema);
  }

  public held(): Promise<Result<readonly HeldItem[], ServiceError>> {
    return this._get('/held', z.array(heldItemSchema));
  }

  public hold(item: HeldItem): Promise<Result<void, ServiceError>> {
    return this._post('/hold', item);
  }

  public free(identifiers: readonly string[]): Promise<Result<void, ServiceError>> {
    return this._post('/free', { identifiers });
  }

  public exportCache(
    identifier: string,
    exportItem: HeldItem,
  ): Promise<Result<void, ServiceError>> {
    return this._post('/export', { identifier, item: exportItem }, TRANSFER_TIMEOUT_MS);
  }

  public importCache(
    source: string,
    exportId: string,
    item: HeldItem,
  ): Promise<Result<void, ServiceError>> {
    return this._post('/import', { source, exportId, item }, TRANSFER_TIMEOUT_MS);
  }

  public order(order: EngineOrder): Promise<Result<void, ServiceError>> {
    return this._post('/order', order, TRANSFER_TIMEOUT_MS);
  }

  private _get<T>(path: string, schema: z.ZodType<T>): Promise<Result<T, ServiceError>> {
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    return sendJsonRequest({ method: 'GET', url: `${this._address}${path}`, signal }, schema);
  }

  private async _post(
    path: string,
    body: unknown,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<Result<void, ServiceError>> {
    const outgoing = {
      method: 'POST' as const,
      url: `${this._address}${path}`,
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    };
    const response = await sendJsonRequest(outgoing, emptySchema);
    return response.map(() => undefined);
  }
}

async function* readFrames(
  body: AsyncIterable<Buffer>,
  url: string,
): AsyncGenerator<Result<EngineFrame, ServiceError>> {
  let incompleteLine = '';
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    const lines = (incompleteLine + decoder.decode(chunk, { stream: true })).split('\n');
    incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      yield parseFrame(line, url);
    }
  }
}

function parseFrame(line: string, url: string): Result<EngineFrame, ServiceError> {
  try {
    return Result.ok(frameSchema.parse(JSON.parse(line)));
  } catch (error) {
    return Result.err(
      new ServiceError(ErrorKind.TargetFailed, `${url}: malformed frame`, {
        remedy: 'check that the adapter matches the engine at this address',
        notRun: NotRun.False,
        cause: error,
      }),
    );
  }
}

function streamError(error: unknown, url: string, signal: AbortSignal): ServiceError {
  if (!signal.aborted) {
    return toTransportError(error, url);
  }
  return new ServiceError(ErrorKind.Cancelled, 'the stream was cancelled', {
    remedy: 'send the request again with a later deadline',
    cause: error,
  });
}
