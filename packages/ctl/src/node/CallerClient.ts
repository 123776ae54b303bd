/**
 * The client of a caller: fetches addresses of daemons, caches them for their time to live, sends
 * requests there, and checks that each answer is complete. A request whose connection broke is
 * retried at another address within its deadline; a retried call keeps its idempotency key.
 */
import type {
  AddressAnswer,
  CompletionChunk,
  CompletionEnd,
  PromptSegment,
} from '@tanagerdyke/contracts';
import { type Clock, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { request } from 'undici';
import * as z from 'zod';
import {
  callerAgent,
  connectionError,
  type DaemonRequest,
  headersOf,
  parseProblem,
  requestJson,
} from './HttpExchange.js';
import { noDaemonReachable, type SendToAddress, sendWithFailover } from './AddressFailover.js';
import { readServerSentEvents } from './ServerSentEvents.js';

const HTTP_OK = 200;
const ADDRESS_REQUEST_TIMEOUT_MS = 2_000;
/** Time after the deadline for which the client still waits for the final answer. */
const ANSWER_GRACE_MS = 3_000;

const addressSchema = z.object({
  addresses: z.array(
    z.object({ node: z.string(), address: z.string(), availabilityZone: z.string() }),
  ),
  timeToLiveMs: z.number(),
});
const chunkSchema = z.object({
  request: z.string(),
  sequence: z.number(),
  position: z.number(),
  tokens: z.array(z.string()),
});
const endSchema = z.object({
  request: z.string(),
  sequence: z.number(),
  count: z.number(),
  digest: z.string(),
});

export interface CallerClientOptions {
  readonly clock: Clock;
  /** Daemons from which the first address list is fetched, as `http://IP:port`. */
  readonly seeds: readonly string[];
  readonly token: string;
  /** Zone whose daemons are listed first; if undefined, that of the daemon that is asked. */
  readonly availabilityZone?: string;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** A completion request of a caller. */
export interface CallerCompletion {
  readonly route: string;
  readonly prompt: string | readonly PromptSegment[];
  readonly maxTokens: number;
  /** Time until the deadline, including all retries. */
  readonly deadlineMs: number;
  /** Receives the tokens in order, each once, also when the request is retried. */
  readonly onTokens?: (tokens: readonly string[]) => void;
  /** Called with each address before the request is sent there. */
  readonly onSend?: (address: string) => void;
}

/** A complete answer. Latencies count from the start of the attempt that it came from. */
export interface CompletionAnswer {
  readonly tokens: readonly string[];
  readonly digest: string;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** Address of the daemon that answered. */
  readonly node: string;
}

/** The state needed to collect the answer of one attempt. */
interface AnswerContext {
  readonly completion: CallerCompletion;
  /** Tokens that all attempts together have delivered to the caller so far. */
  readonly delivered: string[];
  readonly address: string;
  readonly startedAt: number;
}

/** The answer of a plain service. */
export interface CallAnswer {
  readonly status: number;
  readonly body: string;
}

/** Sends completions and calls with the token of one workspace. */
export class CallerClient {
  private _addresses: AddressAnswer | undefined;
  private _addressesReceivedAt = 0;

  constructor(private readonly _options: CallerClientOptions) {}

  /** Returns the addresses to use; fetches them again when their time to live has passed. */
  public async addresses(): Promise<Result<AddressAnswer, ServiceError>> {
    const { clock } = this._options;
    const cached = this._addresses;
    if (cached !== undefined && clock.now() < this._addressesReceivedAt + cached.timeToLiveMs) {
      return Result.ok(cached);
    }
    const sources = [
      ...(cached?.addresses.map(({ address }) => address) ?? []),
      ...this._shuffle(this._options.seeds),
    ];
    let failure = noDaemonReachable();
    for (const source of sources) {
      const answer = await this._fetchAddresses(source);
      if (answer.isOk && answer.value.addresses.length > 0) {
        this._addresses = answer.value;
        this._addressesReceivedAt = clock.now();
        return answer;
      }
      failure = answer.isErr ? answer.error : failure;
    }
    return Result.err(failure);
  }

  /** Makes the next request fetch the addresses again, for use after a failed connection. */
  public invalidateAddresses(): void {
    this._addressesReceivedAt = Number.NEGATIVE_INFINITY;
  }

  /** Requests a streamed completion and collects its complete answer. */
  public complete(completion: CallerCompletion): Promise<Result<CompletionAnswer, ServiceError>> {
    const delivered: string[] = [];
    return this._sendWithFailover(completion.deadlineMs, (address, deadlineMs) => {
      completion.onSend?.(address);
      return this._completeAt(address, { ...completion, deadlineMs }, delivered);
    });
  }

  /** Calls a plain service through a route. */
  public call(
    route: string,
    key: string,
    body: string,
    deadlineMs: number,
    onSend?: (address: string) => void,
  ): Promise<Result<CallAnswer, ServiceError>> {
    return this._sendWithFailover(deadlineMs, (address, remainingMs) => {
      onSend?.(address);
      return this._callAt(address, route, key, body, remainingMs);
    });
  }

  private _sendWithFailover<T>(
    deadlineMs: number,
    send: SendToAddress<T>,
  ): Promise<Result<T, ServiceError>> {
    const options = {
      clock: this._options.clock,
      deadlineMs,
      addresses: async () =>
        (await this.addresses()).map(({ addresses }) => addresses.map(({ address }) => address)),
      invalidateAddresses: () => {
        this.invalidateAddresses();
      },
    };
    return sendWithFailover(options, send);
  }

  private _fetchAddresses(source: string): Promise<Result<AddressAnswer, ServiceError>> {
    const { availabilityZone, token } = this._options;
    const query = availabilityZone === undefined ? '' : `?availabilityZone=${availabilityZone}`;
    const url = `${source}/v1/addresses${query}`;
    return requestJson(
      { method: 'GET', url, token, timeoutMs: ADDRESS_REQUEST_TIMEOUT_MS },
      addressSchema,
    );
  }

  private async _callAt(
    address: string,
    route: string,
    key: string,
    body: string,
    deadlineMs: number,
  ): Promise<Result<CallAnswer, ServiceError>> {
    const daemonRequest: DaemonRequest = {
      method: 'POST',
      url: `${address}/v1/routes/${route}/calls`,
      token: this._options.token,
      body,
      headers: { 'idempotency-key': key, 'tanager-deadline-ms': String(deadlineMs) },
    };
    try {
      const { statusCode, body: answer } = await request(daemonRequest.url, {
        method: 'POST',
        body,
        headers: headersOf(daemonRequest),
        signal: AbortSignal.timeout(deadlineMs + ANSWER_GRACE_MS),
        dispatcher: callerAgent,
      });
      const text = await answer.text();
      return statusCode === HTTP_OK
        ? Result.ok({ status: statusCode, body: text })
        : Result.err(parseProblem(statusCode, text));
    } catch (error) {
      return Result.err(connectionError(daemonRequest.url, error));
    }
  }

  private async _completeAt(
    address: string,
    completion: CallerCompletion,
    delivered: string[],
  ): Promise<Result<CompletionAnswer, ServiceError>> {
    const { route, prompt, maxTokens, deadlineMs } = completion;
    const startedAt = this._options.clock.now();
    const daemonRequest: DaemonRequest = {
      method: 'POST',
      url: `${address}/v1/completions`,
      token: this._options.token,
      headers: { 'tanager-deadline-ms': String(deadlineMs) },
    };
    try {
      const { statusCode, body } = await request(daemonRequest.url, {
        method: 'POST',
        body: JSON.stringify({ model: route, prompt, maxTokens, stream: true }),
        headers: headersOf(daemonRequest),
        signal: AbortSignal.timeout(deadlineMs + ANSWER_GRACE_MS),
        dispatcher: callerAgent,
      });
      if (statusCode !== HTTP_OK) {
        return Result.err(parseProblem(statusCode, await body.text()));
      }
      return await this._collectAnswer(body as AsyncIterable<Buffer>, {
        completion,
        delivered,
        address,
        startedAt,
      });
    } catch (error) {
      return Result.err(connectionError(daemonRequest.url, error));
    }
  }

  private async _collectAnswer(
    body: AsyncIterable<Buffer>,
    { address, completion, delivered, startedAt }: AnswerContext,
  ): Promise<Result<CompletionAnswer, ServiceError>> {
    const { clock } = this._options;
    const tokens: string[] = [];
    let sequence = 0;
    let firstTokenMs = 0;
    for await (const { event, data } of readServerSentEvents(body)) {
      if (event === 'error') {
        return Result.err(parseProblem(HTTP_OK, data));
      }
      if (event === 'end') {
        const end = endSchema.parse(JSON.parse(data));
        return checkEndEvent(end, tokens, sequence).map(() => ({
          tokens,
          digest: end.digest,
          firstTokenMs,
          totalMs: clock.now() - startedAt,
          node: address,
        }));
      }
      const chunk = chunkSchema.parse(JSON.parse(data));
      if (chunk.sequence !== sequence || chunk.position !== tokens.length) {
        return Result.err(malformedAnswer('an event is missing or repeated'));
      }
      firstTokenMs = sequence === 0 ? clock.now() - startedAt : firstTokenMs;
      sequence++;
      tokens.push(...chunk.tokens);
      if (!deliverNewTokens(chunk, delivered, completion)) {
        return Result.err(differingAnswer());
      }
    }
    return Result.err(truncatedAnswer('the answer ended without its end event'));
  }

  private _shuffle(addresses: readonly string[]): readonly string[] {
    return addresses
      .map((address) => ({ address, key: this._options.random() }))
      .sort((a, b) => a.key - b.key)
      .map(({ address }) => address);
  }
}

function checkEndEvent(
  end: CompletionEnd,
  tokens: readonly string[],
  sequence: number,
): Result<null, ServiceError> {
  const isComplete = end.count === tokens.length && end.sequence === sequence;
  return isComplete
    ? Result.ok(null)
    : Result.err(malformedAnswer('the answer does not have the length that its end event states'));
}

/**
 * Delivers the tokens of a chunk that the caller does not have yet. Returns false when its other
 * tokens differ from those that an earlier attempt delivered.
 */
function deliverNewTokens(
  { position, tokens }: Pick<CompletionChunk, 'position' | 'tokens'>,
  delivered: string[],
  { onTokens }: CallerCompletion,
): boolean {
  const newTokens = tokens.slice(Math.max(0, delivered.length - position));
  const repeated = tokens.slice(0, tokens.length - newTokens.length);
  if (repeated.some((token, index) => token !== delivered[position + index])) {
    return false;
  }
  if (newTokens.length > 0) {
    delivered.push(...newTokens);
    onTokens?.(newTokens);
  }
  return true;
}

function differingAnswer(): ServiceError {
  return new ServiceError(
    ErrorKind.TargetFailed,
    'the answer of a retry differs from the tokens already delivered',
    {
      remedy: 'drop what was received and send the request again',
      notRun: NotRun.False,
    },
  );
}

function truncatedAnswer(message: string): ServiceError {
  return new ServiceError(ErrorKind.LinkFailed, message, {
    remedy: 'send the request again',
    notRun: NotRun.False,
  });
}

function malformedAnswer(message: string): ServiceError {
  return new ServiceError(ErrorKind.Internal, message, {
    remedy: 'report it with the log of the daemon',
    notRun: NotRun.False,
  });
}
