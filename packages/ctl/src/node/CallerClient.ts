/**
 * The caller's side: asks for addresses, keeps the answer for its time to live, connects there, and
 * checks that an answer is whole. A request whose connection broke goes to another address within its
 * deadline; calls keep their idempotency key.
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
import { noAddress, type SendTo, walkAddresses } from './AddressWalk.js';
import { readEvents } from './EventReader.js';

const HTTP_OK = 200;
const ADDRESS_TIMEOUT_MS = 2_000;
/** Time beyond the deadline that the client waits for the final answer. */
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
  /** Addresses to ask first, as `http://IP:port`. */
  readonly seeds: readonly string[];
  readonly token: string;
  readonly availabilityZone?: string;
  readonly random: () => number;
}

/** A completion as a caller asks for it. */
export interface CallerCompletion {
  readonly route: string;
  readonly prompt: string | readonly PromptSegment[];
  readonly maxTokens: number;
  readonly deadlineMs: number;
  readonly onTokens?: (tokens: readonly string[]) => void;
  /** Hears of each address before the request is sent there. */
  readonly onEntry?: (address: string) => void;
}

/** A whole answer with its measurements. */
export interface CompletionAnswer {
  readonly tokens: readonly string[];
  readonly digest: string;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly node: string;
}

/** The collection of one answer. */
interface Collection {
  readonly completion: CallerCompletion;
  /** Tokens that earlier attempts and this one have handed out. */
  readonly delivered: string[];
  readonly address: string;
  readonly startedAt: number;
}

/** The answer of a plain service. */
export interface CallAnswer {
  readonly status: number;
  readonly body: string;
}

/** A caller of one workspace. */
export class CallerClient {
  private _addresses: AddressAnswer | undefined;
  private _askedAt = 0;

  constructor(private readonly _options: CallerClientOptions) {}

  /** The addresses to use, asked for again when their time to live has passed. */
  public async addresses(): Promise<Result<AddressAnswer, ServiceError>> {
    const { clock } = this._options;
    const known = this._addresses;
    if (known !== undefined && clock.now() < this._askedAt + known.timeToLiveMs) {
      return Result.ok(known);
    }
    const sources = [
      ...(known?.addresses.map(({ address }) => address) ?? []),
      ...this._shuffle(this._options.seeds),
    ];
    let failure = noAddress();
    for (const source of sources) {
      const answer = await this._askAddresses(source);
      if (answer.isOk && answer.value.addresses.length > 0) {
        this._addresses = answer.value;
        this._askedAt = clock.now();
        return answer;
      }
      failure = answer.isErr ? answer.error : failure;
    }
    return Result.err(failure);
  }

  /** Forgets the addresses, as after a failed connection. */
  public forgetAddresses(): void {
    this._askedAt = Number.NEGATIVE_INFINITY;
  }

  /** Asks for a streamed completion and collects the whole answer. */
  public complete(completion: CallerCompletion): Promise<Result<CompletionAnswer, ServiceError>> {
    const delivered: string[] = [];
    return this._onSomeAddress(completion.deadlineMs, (address, deadlineMs) => {
      completion.onEntry?.(address);
      return this._completeAt(address, { ...completion, deadlineMs }, delivered);
    });
  }

  /** Calls a plain service through a route. */
  public call(
    route: string,
    key: string,
    body: string,
    deadlineMs: number,
    onEntry?: (address: string) => void,
  ): Promise<Result<CallAnswer, ServiceError>> {
    return this._onSomeAddress(deadlineMs, (address, leftMs) => {
      onEntry?.(address);
      return this._callAt(address, route, key, body, leftMs);
    });
  }

  private _onSomeAddress<T>(deadlineMs: number, send: SendTo<T>): Promise<Result<T, ServiceError>> {
    const options = {
      clock: this._options.clock,
      deadlineMs,
      addresses: async () =>
        (await this.addresses()).map(({ addresses }) => addresses.map(({ address }) => address)),
      forget: () => {
        this.forgetAddresses();
      },
    };
    return walkAddresses(options, send);
  }

  private _askAddresses(source: string): Promise<Result<AddressAnswer, ServiceError>> {
    const { availabilityZone, token } = this._options;
    const query = availabilityZone === undefined ? '' : `?availabilityZone=${availabilityZone}`;
    const url = `${source}/v1/addresses${query}`;
    return requestJson({ method: 'GET', url, token, timeoutMs: ADDRESS_TIMEOUT_MS }, addressSchema);
  }

  private async _callAt(
    address: string,
    route: string,
    key: string,
    body: string,
    deadlineMs: number,
  ): Promise<Result<CallAnswer, ServiceError>> {
    const outgoing: DaemonRequest = {
      method: 'POST',
      url: `${address}/v1/routes/${route}/calls`,
      token: this._options.token,
      body,
      headers: { 'idempotency-key': key, 'tanager-deadline-ms': String(deadlineMs) },
    };
    try {
      const { statusCode, body: answer } = await request(outgoing.url, {
        method: 'POST',
        body,
        headers: headersOf(outgoing),
        signal: AbortSignal.timeout(deadlineMs + ANSWER_GRACE_MS),
        dispatcher: callerAgent,
      });
      const text = await answer.text();
      return statusCode === HTTP_OK
        ? Result.ok({ status: statusCode, body: text })
        : Result.err(parseProblem(statusCode, text));
    } catch (error) {
      return Result.err(connectionError(outgoing.url, error));
    }
  }

  private async _completeAt(
    address: string,
    completion: CallerCompletion,
    delivered: string[],
  ): Promise<Result<CompletionAnswer, ServiceError>> {
    const { route, prompt, maxTokens, deadlineMs } = completion;
    const startedAt = this._options.clock.now();
    const outgoing: DaemonRequest = {
      method: 'POST',
      url: `${address}/v1/completions`,
      token: this._options.token,
      headers: { 'tanager-deadline-ms': String(deadlineMs) },
    };
    try {
      const { statusCode, body } = await request(outgoing.url, {
        method: 'POST',
        body: JSON.stringify({ model: route, prompt, maxTokens, stream: true }),
        headers: headersOf(outgoing),
        signal: AbortSignal.timeout(deadlineMs + ANSWER_GRACE_MS),
        dispatcher: callerAgent,
      });
      if (statusCode !== HTTP_OK) {
        return Result.err(parseProblem(statusCode, await body.text()));
      }
      return await this._collect(body as AsyncIterable<Buffer>, {
        completion,
        delivered,
        address,
        startedAt,
      });
    } catch (error) {
      return Result.err(connectionError(outgoing.url, error));
    }
  }

  private async _collect(
    body: AsyncIterable<Buffer>,
    { address, completion, delivered, startedAt }: Collection,
  ): Promise<Result<CompletionAnswer, ServiceError>> {
    const { clock } = this._options;
    const tokens: string[] = [];
    let sequence = 0;
    let firstTokenMs = 0;
    for await (const { event, data } of readEvents(body)) {
      if (event === 'error') {
        return Result.err(parseProblem(HTTP_OK, data));
      }
      if (event === 'end') {
        const end = endSchema.parse(JSON.parse(data));
        return checkEnd(end, tokens, sequence).map(() => ({
          tokens,
          digest: end.digest,
          firstTokenMs,
          totalMs: clock.now() - startedAt,
          node: address,
        }));
      }
      const chunk = chunkSchema.parse(JSON.parse(data));
      if (chunk.sequence !== sequence || chunk.position !== tokens.length) {
        return Result.err(wrongAnswer('an event is missing or doubled'));
      }
      firstTokenMs = sequence === 0 ? clock.now() - startedAt : firstTokenMs;
      sequence++;
      tokens.push(...chunk.tokens);
      if (!deliver(chunk, delivered, completion)) {
        return Result.err(differentAnswer());
      }
    }
    return Result.err(brokenAnswer('the answer ended without its end mark'));
  }

  private _shuffle(addresses: readonly string[]): readonly string[] {
    return addresses
      .map((address) => ({ address, key: this._options.random() }))
      .sort((a, b) => a.key - b.key)
      .map(({ address }) => address);
  }
}

function checkEnd(
  end: CompletionEnd,
  tokens: readonly string[],
  sequence: number,
): Result<null, ServiceError> {
  const isWhole = end.count === tokens.length && end.sequence === sequence;
  return isWhole ? Result.ok(null) : Result.err(wrongAnswer('the answer is shorter than its end'));
}

/** Hands out what is new in a chunk; answers whether it repeats what was handed out before. */
function deliver(
  { position, tokens }: Pick<CompletionChunk, 'position' | 'tokens'>,
  delivered: string[],
  { onTokens }: CallerCompletion,
): boolean {
  const fresh = tokens.slice(Math.max(0, delivered.length - position));
  const repeated = tokens.slice(0, tokens.length - fresh.length);
  if (repeated.some((token, index) => token !== delivered[position + index])) {
    return false;
  }
  if (fresh.length > 0) {
    delivered.push(...fresh);
    onTokens?.(fresh);
  }
  return true;
}

function differentAnswer(): ServiceError {
  return new ServiceError(ErrorKind.TargetFailed, 'the repeated answer differs from its start', {
    remedy: 'drop what was received and send the request again',
    notRun: NotRun.False,
  });
}

function brokenAnswer(message: string): ServiceError {
  return new ServiceError(ErrorKind.LinkFailed, message, {
    remedy: 'send the request again',
    notRun: NotRun.False,
  });
}

function wrongAnswer(message: string): ServiceError {
  return new ServiceError(ErrorKind.Internal, message, {
    remedy: 'report it with the log of the daemon',
    notRun: NotRun.False,
  });
}
