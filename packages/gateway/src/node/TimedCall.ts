/**
 * An HTTP call to the platform's store or to a server, with undici. The calling code sets the time
 * limits and decides about retries. Answers have a size limit, too.
 */
import { type Clock, describeCause, type Disposable } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { Agent, type buildConnector, type Dispatcher, request } from 'undici';
import { scheduleSocketWait } from '../common/SocketWait.js';
import type { CallAttempt } from '../common/services/Services.js';

/** Several times the largest page of the store. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** The lowest status of a rejection. */
const BAD_REQUEST = 400;
/** Time without a byte of an answer that has begun, after which its connection counts as silent. */
const STALL_TIMEOUT_MS = 800;

/** A request with its URL. */
export interface TimedCall {
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
}

/** A complete answer with any status. */
export interface CallAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Time limits of a call, from its start. */
export interface CallLimits {
  /** Until the answer begins. */
  readonly beginMs: number;
  /** Until the answer is complete. */
  readonly wholeMs: number;
}

/**
 * Opens a connection for each call. The answers have no id, so on a kept connection an earlier one
 * that is written once more would count as the next one.
 */
export function createCallAgent(connect: buildConnector.connector): Dispatcher {
  // Without pipelining, connections are not kept.
  return new Agent({ connect, pipelining: 0, headersTimeout: 0, bodyTimeout: 0 });
}

/**
 * Sends the request and aborts it at its time limits, when an answer that has begun goes silent, or
 * by its attempt.
 * The error is the text of the cause.
 */
export async function callWithin(
  { beginMs, wholeMs }: CallLimits,
  { body, headers, method, url }: TimedCall,
  { clock, dispatcher }: { readonly clock: Clock; readonly dispatcher: Dispatcher },
  attempt?: CallAttempt,
): Promise<Result<CallAnswer, string>> {
  const abort = new AbortController();
  const abortAfter = (limitMs: number, missing: string): Disposable =>
    scheduleSocketWait(clock, limitMs, () => {
      abort.abort(new Error(`${missing} within ${limitMs} ms`));
    });
  const wholeTimer = abortAfter(wholeMs, 'no complete answer');
  let progressTimer = abortAfter(beginMs, 'no answer');
  const onProgress = (status: number, receivedBytes: number): void => {
    progressTimer.dispose();
    progressTimer = abortAfter(STALL_TIMEOUT_MS, 'no further byte of the answer');
    if (status < BAD_REQUEST) {
      attempt?.onProgress(receivedBytes);
    }
  };
  const signal = AbortSignal.any([
    abort.signal,
    ...(attempt === undefined ? [] : [attempt.signal]),
  ]);
  try {
    const answer = await request(url, { method, headers, body, dispatcher, signal });
    const bytes = await readAll(answer.body, (receivedBytes) => {
      onProgress(answer.statusCode, receivedBytes);
    });
    return Result.ok({ status: answer.statusCode, headers: answer.headers, body: bytes });
  } catch (error) {
    return Result.err(describeCause(error));
  } finally {
    wholeTimer.dispose();
    progressTimer.dispose();
  }
}

/** Reads a whole body. Throws, which closes the connection, when it is too long. */
async function readAll(
  body: AsyncIterable<Buffer>,
  onProgress: (receivedBytes: number) => void,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  onProgress(size);
  for await (const chunk of body) {
    size += chunk.length;
    onProgress(size);
    if (size > MAX_ANSWER_BYTES) {
      throw new Error(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
