/**
 * An HTTP call to the platform's store or to a server, with undici. The calling code sets the time
 * limits and decides about retries. Answers have a size limit, too.
 */
import { ByteCollector, type Clock, describeCause, type Disposable } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { Agent, type buildConnector, type Dispatcher, Pool } from 'undici';
import { scheduleSocketWait } from '../common/SocketWait.js';
import type { CallAttempt } from '../common/services/Services.js';
import type { AnswerMeter } from './AnswerMeter.js';
import {
  createMeteredClient,
  type MeteredConnection,
  type MeteredDispatch,
} from './MeteredClient.js';

/** Several times the largest page of the store. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const FIRST_FINAL_STATUS = 200;
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

/** Limits of a call; times are from its start. */
export interface CallLimits {
  /** Until the answer begins. */
  readonly beginMs: number;
  /** Until the answer is complete. */
  readonly wholeMs: number;
  /** Size of the body of the answer; `MAX_ANSWER_BYTES` without it. */
  readonly bytes?: number;
  /** Whether the status and headers are an answer, whatever becomes of its body. */
  readonly isHeadEnough?: boolean;
}

/**
 * Opens a connection for each call. The answers have no id, so on a kept connection an earlier one
 * that is written once more would count as the next one.
 */
export function createCallAgent(connect: buildConnector.connector): Dispatcher {
  const limits = { pipelining: 0, headersTimeout: 0, bodyTimeout: 0 };
  return new Agent({
    // Without pipelining, connections are not kept.
    ...limits,
    factory: (origin) =>
      new Pool(origin, {
        ...limits,
        factory: (each) => createMeteredClient(each, { ...limits, connect }),
      }),
  });
}

/**
 * Sends the request and aborts it at its limits, when an answer that has begun goes silent, or by its
 * attempt.
 * The error is the text of the cause.
 */
export async function callWithin(
  limits: CallLimits,
  { body, headers, method, url }: TimedCall,
  { clock, dispatcher }: { readonly clock: Clock; readonly dispatcher: Dispatcher },
  attempt?: CallAttempt,
): Promise<Result<CallAnswer, string>> {
  const { origin, pathname, search } = new URL(url);
  const exchange = new CallExchange(clock, limits, attempt);
  const dispatch: MeteredDispatch = {
    ...{ origin, method, body, exchange },
    path: pathname + search,
    headers: headers ?? {},
  };
  try {
    dispatcher.dispatch(dispatch, exchange);
    return Result.ok(await exchange.answer);
  } catch (error) {
    return Result.err(describeCause(error));
  } finally {
    exchange.dispose();
  }
}

/** One call; its answer rejects when a limit is reached. */
class CallExchange implements Dispatcher.DispatchHandler, Disposable {
  public readonly answer: Promise<CallAnswer>;
  private _resolve: (answer: CallAnswer) => void = () => undefined;
  private _reject: (cause: Error) => void = () => undefined;
  private _controller: Dispatcher.DispatchController | undefined;
  private _connection: () => MeteredConnection | undefined = () => undefined;
  private _meter: AnswerMeter | undefined;
  private _status = 0;
  private _headers: CallAnswer['headers'] = {};
  private readonly _body = new ByteCollector();
  private readonly _wholeTimer: Disposable;
  private _progressTimer: Disposable;
  private _progressAt = Number.NEGATIVE_INFINITY;
  private _hasEnded = false;
  private readonly _onAbort = (): void => {
    this._end(new Error('the call was ended'));
  };

  constructor(
    private readonly _clock: Clock,
    private readonly _limits: CallLimits,
    private readonly _attempt: CallAttempt | undefined,
  ) {
    this.answer = new Promise((resolve, reject) => {
      this._resolve = resolve;
      this._reject = reject;
    });
    this._wholeTimer = this._endAfter(_limits.wholeMs, 'no complete answer');
    this._progressTimer = this._endAfter(_limits.beginMs, 'no answer');
    _attempt?.signal.addEventListener('abort', this._onAbort, { once: true });
    if (_attempt?.signal.aborted === true) {
      this._onAbort();
    }
  }

  public dispose(): void {
    this._wholeTimer.dispose();
    this._progressTimer.dispose();
    this._attempt?.signal.removeEventListener('abort', this._onAbort);
  }

  public assign(connection: () => MeteredConnection | undefined): void {
    this._connection = connection;
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._hasEnded) {
      controller.abort(new Error('the call was ended'));
    }
    this._meter = this._connection()?.meter;
    this._meter?.begin();
  }

  public onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: CallAnswer['headers'],
  ): void {
    if (status >= FIRST_FINAL_STATUS) {
      this._status = status;
      this._headers = headers;
      this._progressTimer.dispose();
      this._progressTimer = this._endAfterStall(STALL_TIMEOUT_MS);
      this._recordProgress();
    }
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._meter?.addPiece(chunk.length);
    this._body.add(chunk);
    this._recordProgress();
    const { bytes = MAX_ANSWER_BYTES } = this._limits;
    if (this._body.length > bytes) {
      this._end(new Error(`the answer exceeds ${bytes} bytes`));
    }
  }

  public onResponseEnd(): void {
    this._succeed();
  }

  public onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    this._fail(error);
  }

  private _succeed(): void {
    this._resolve({ status: this._status, headers: this._headers, body: this._body.toBuffer() });
  }

  private _fail(cause: Error): void {
    if (this._limits.isHeadEnough === true && this._status > 0) {
      this._succeed();
    } else {
      this._reject(cause);
    }
  }

  private _endAfter(limitMs: number, missing: string): Disposable {
    return scheduleSocketWait(this._clock, limitMs, () => {
      this._end(new Error(`${missing} within ${limitMs} ms`));
    });
  }

  /** Ends the call when nothing arrives for a while; not re-armed for each piece. */
  private _endAfterStall(waitMs: number): Disposable {
    return scheduleSocketWait(this._clock, waitMs, () => {
      const leftMs = this._progressAt + STALL_TIMEOUT_MS - this._clock.now();
      if (leftMs > 0) {
        this._progressTimer = this._endAfterStall(leftMs);
      } else {
        this._end(new Error(`no further byte of the answer within ${STALL_TIMEOUT_MS} ms`));
      }
    });
  }

  private _recordProgress(): void {
    this._progressAt = this._clock.now();
    if (this._status < BAD_REQUEST) {
      this._attempt?.onProgress(this._body.length);
    }
  }

  /** Rejects, and closes the connection; a call that has none yet gets none. */
  private _end(cause: Error): void {
    this._hasEnded = true;
    this._fail(cause);
    this._controller?.abort(cause);
  }
}
