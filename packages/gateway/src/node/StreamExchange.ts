/**
 * One exchange with a target that answers with an event stream. Complete events and comments are
 * forwarded to the caller as they arrive, with backpressure; only events count as progress. The exchange ends when the stream is complete or
 * broken, when no event arrives in time and another target replaces this one, when the deadline
 * passes or when the caller disconnects.
 */
import { ByteCollector, type Disposable, runInBackground } from '@tanagerdyke/kernel';
import type { EventStreamSplitter } from '../common/EventStreamSplitter.js';
import { Execution } from '../common/Execution.js';
import { findHeader } from '../common/HttpHeaders.js';
import type { RawHeaders, TargetAnswer } from '../common/Messages.js';
import type { SendObstacle } from '../common/placement/SendCheck.js';
import { scheduleSocketWait } from '../common/SocketWait.js';
import { StreamPace } from '../common/StreamPace.js';
import type { CallerResponse } from './CallerResponse.js';
import type { ConnectionHistory } from './ConnectionHistory.js';
import {
  AnswerLimit,
  type BufferedAnswer,
  CALLER_DISCONNECTED_CAUSE,
  type ExchangeOptions,
  isEndOfTarget,
  limitOf,
  matchesAttempt,
} from './ExchangeOptions.js';
import { AbortReason, type Exchange, WithheldRequest } from './Upstream.js';

const FIRST_NON_SUCCESS_STATUS = 300;
/** Bodies of failures are short; a larger one is treated as broken. */
const MAX_FAILURE_BYTES = 256 * 1024;
/** Events hold some tokens each; a larger one is treated as broken. */
const MAX_EVENT_BYTES = 1024 * 1024;
const TIMER_RESOLUTION_MS = 1;
/** Time between two searches for a target that replaces a silent one. */
const REPLACEMENT_RETRY_MS = 500;

/** How an exchange ended. */
export enum StreamEnd {
  Complete = 'complete',
  /** The target answered with a failure instead of a stream. */
  Failure = 'failure',
  /** The connection failed, or the answer was incomplete or to another request. */
  Broken = 'broken',
  /** No event arrived in time, and another target replaces this one. */
  Silent = 'silent',
  /** The target has ended the request, and its answer did not arrive. */
  Lost = 'lost',
  /** Nothing was sent, since the target may not get the request any more. */
  Withheld = 'withheld',
  /** The deadline passed or the caller disconnected. */
  Cancelled = 'unwanted',
}

/** Why the exchange is aborted, by how it ends; by default, its answer is not needed any more. */
const ABORT_REASONS: Readonly<Partial<Record<StreamEnd, AbortReason>>> = {
  [StreamEnd.Silent]: AbortReason.Silence,
  [StreamEnd.Lost]: AbortReason.Silence,
};

/** The outcome of an exchange. */
export interface StreamOutcome {
  readonly end: StreamEnd;
  readonly execution: Execution;
  readonly cause: string;
  /** Whether the target ended the connection before its answer was complete. */
  readonly isCutOff: boolean;
  /** Why this node did not send the request, if `end` is `Withheld`. */
  readonly obstacle: SendObstacle | undefined;
  /** The limit by which this node ended the answer. */
  readonly limit: AnswerLimit | undefined;
  /** The failure that the target answered with, if `end` is `Failure`. */
  readonly failure: BufferedAnswer | undefined;
  /** Time on the clock; undefined if no event arrived. */
  readonly firstEventAt: number | undefined;
  /** Longest time between two events. */
  readonly longestPauseMs: number;
}

/** A target that sends no events, and may do so again. */
export interface StreamSilence {
  readonly execution: Execution;
  /** How long the silence has lasted by now. */
  readonly durationMs: () => number;
}

/** Options of an exchange with a streamed answer. */
export interface StreamExchangeOptions extends ExchangeOptions {
  readonly splitter: EventStreamSplitter;
  readonly response: CallerResponse;
  readonly deadlineAt: number;
  /** Longest wait for the first event. */
  readonly firstEventTimeoutMs: number;
  /** Longest wait for each later event. */
  readonly nextEventTimeoutMs: number;
  readonly onFirstEvent: () => void;
  /** Aborts when the target has ended the request, so that its answer was lost. */
  readonly lostSignal?: AbortSignal | undefined;
  /**
   * Called while the target is silent; resolves with whether another one replaces it. The signal
   * aborts when the target sends an event again or the exchange ends.
   */
  readonly findReplacement: (silence: StreamSilence, signal: AbortSignal) => Promise<boolean>;
}

/** Sends the request and forwards the events of the answer. */
export function exchangeStream(options: StreamExchangeOptions): Promise<StreamOutcome> {
  return new StreamExchange(options).run();
}

/** One exchange with its timers and the state of its answer. */
class StreamExchange {
  private _execution = Execution.NotSent;
  private _answer: TargetAnswer | undefined;
  private _headers: RawHeaders = [];
  private readonly _failureBody = new ByteCollector();
  private _firstEventAt: number | undefined;
  private _lastEventAt: number | undefined;
  private _longestPauseMs = 0;
  private _isCutOff = false;
  private _obstacle: SendObstacle | undefined;
  private _limit: AnswerLimit | undefined;
  private _exchange: Exchange | undefined;
  private _eventTimer: Disposable | undefined;
  private _timerSetAt = Number.NEGATIVE_INFINITY;
  private _deadlineTimer: Disposable | undefined;
  /** Aborts the search for a target that replaces this one. */
  private _search: AbortController | undefined;
  private _resolve: (outcome: StreamOutcome) => void = () => undefined;
  private readonly _onAbort = (): void => {
    this._abort(StreamEnd.Cancelled, CALLER_DISCONNECTED_CAUSE);
  };

  private readonly _onLost = (): void => {
    this._abort(StreamEnd.Lost, 'the engine has ended the prompt, and its answer was lost');
  };

  private readonly _pace: StreamPace;
  /** Whether the caller has received a part of the stream. */
  private readonly _isResumed: boolean;
  /** Events of the stream before this exchange. */
  private readonly _eventsBefore: number;

  constructor(private readonly _options: StreamExchangeOptions) {
    this._pace = new StreamPace(_options.clock.now(), _options);
    this._isResumed = _options.response.isBegun;
    this._eventsBefore = _options.splitter.eventCount;
  }

  public run(): Promise<StreamOutcome> {
    const { clock, connections, deadlineAt, request, signal, target, upstream } = this._options;
    return new Promise((resolve) => {
      this._resolve = resolve;
      this._deadlineTimer = clock.schedule(deadlineAt - clock.now(), () => {
        this._abort(StreamEnd.Cancelled, 'the deadline passed');
      });
      if (signal.aborted) {
        this._finish(StreamEnd.Cancelled, CALLER_DISCONNECTED_CAUSE);
        return;
      }
      this._restartEventTimer(this._pace.timeoutMs);
      signal.addEventListener('abort', this._onAbort, { once: true });
      this._options.lostSignal?.addEventListener('abort', this._onLost, { once: true });
      this._exchange = upstream.send(target, connections, request, {
        findObstacle: this._options.findObstacle,
        onSendStart: () => {
          this._execution = Execution.MayHaveRun;
        },
        onHead: (status, headers, history) => {
          this._handleHead(status, headers, history);
        },
        onData: (chunk) => {
          this._handleData(chunk);
        },
        onEnd: () => {
          this._handleEnd();
        },
        onError: (cause) => {
          this._obstacle = cause instanceof WithheldRequest ? cause.obstacle : undefined;
          const isWithheld = this._obstacle !== undefined;
          this._isCutOff = !isWithheld && isEndOfTarget(cause);
          this._limit = limitOf(cause);
          this._finish(isWithheld ? StreamEnd.Withheld : StreamEnd.Broken, cause.message);
        },
      });
    });
  }

  private get _isStreaming(): boolean {
    return this._answer !== undefined && this._answer.status < FIRST_NON_SUCCESS_STATUS;
  }

  private _handleHead(
    status: number,
    headers: RawHeaders,
    history: ConnectionHistory | undefined,
  ): void {
    this._headers = headers;
    this._answer = this._options.dialect.parseTargetAnswer(status, headers);
    const isMatched = matchesAttempt(this._answer, this._options.attemptId, history);
    this._options.onAnswerHead(this._answer, isMatched);
    if (!isMatched) {
      this._abort(StreamEnd.Broken, 'the answer belongs to another request');
    } else if (
      this._isResumed &&
      this._isStreaming &&
      !this._options.response.isContinuedBy(status, headers)
    ) {
      this._abort(StreamEnd.Broken, `an answer of status ${status} does not continue the stream`);
    }
  }

  private _handleData(chunk: Buffer): void {
    if (!this._isStreaming) {
      if (this._failureBody.length + chunk.length <= MAX_FAILURE_BYTES) {
        this._failureBody.add(chunk);
      } else {
        this._limit = AnswerLimit.FailureBytes;
        this._abort(StreamEnd.Broken, 'the failure is too large to buffer');
      }
      return;
    }
    const { splitter } = this._options;
    const eventsBefore = splitter.newEventCount;
    const forwarded = splitter.push(chunk);
    if (splitter.newEventCount > eventsBefore) {
      this._recordEvent();
    }
    if (forwarded.length > 0) {
      this._forward(forwarded);
    }
    if (splitter.isMalformed) {
      this._abort(StreamEnd.Broken, 'the stream holds text that is no event');
    } else if (splitter.bufferedBytes > MAX_EVENT_BYTES) {
      this._limit = AnswerLimit.EventBytes;
      this._abort(StreamEnd.Broken, 'an event is too large to buffer');
    }
  }

  private _recordEvent(): void {
    const { clock, onFirstEvent } = this._options;
    const now = clock.now();
    if (this._lastEventAt === undefined) {
      this._firstEventAt = now;
      onFirstEvent();
    } else {
      this._longestPauseMs = Math.max(this._longestPauseMs, now - this._lastEventAt);
    }
    this._lastEventAt = now;
    this._pace.recordEvent(now);
    // Events that arrive together share a timer.
    if (now - this._timerSetAt >= TIMER_RESOLUTION_MS) {
      this._restartEventTimer(this._pace.timeoutMs);
    }
  }

  private _forward(bytes: Buffer): void {
    const { response } = this._options;
    if (!response.isBegun) {
      response.beginStream(this._answer?.status ?? 0, this._headers);
    }
    if (!response.write(bytes)) {
      // While the caller reads slowly, missing events are not the target's fault.
      this._stopWaiting();
      this._exchange?.pause();
      response.onDrain(() => {
        this._pace.resume(this._options.clock.now());
        this._restartEventTimer(this._pace.timeoutMs);
        this._exchange?.resume();
      });
    }
  }

  private _handleEnd(): void {
    const { response, splitter } = this._options;
    if (this._answer === undefined) {
      this._finish(StreamEnd.Broken, 'no answer');
    } else if (!this._isStreaming) {
      this._execution = this._answer.isNotRun ? Execution.NotRun : Execution.Ran;
      this._finish(StreamEnd.Failure, `status ${this._answer.status}`);
    } else if (splitter.bufferedBytes > 0) {
      this._isCutOff = true;
      this._finish(StreamEnd.Broken, 'the stream ended within an event');
    } else if (this._isEmptyContinuation && !hasExplicitEnd(this._headers)) {
      this._finish(
        StreamEnd.Broken,
        'the end of the connection does not show that nothing is left',
      );
    } else {
      this._execution = Execution.Ran;
      if (!response.isBegun) {
        response.beginStream(this._answer.status, this._headers);
      }
      this._finish(StreamEnd.Complete, '');
    }
  }

  private get _isEmptyContinuation(): boolean {
    return this._isResumed && this._options.splitter.eventCount === this._eventsBefore;
  }

  private _restartEventTimer(limitMs: number): void {
    this._stopWaiting();
    this._timerSetAt = this._options.clock.now();
    this._eventTimer = scheduleSocketWait(this._options.clock, limitMs, () => {
      runInBackground('stream.replacement', () => this._replaceIfPermitted());
    });
  }

  /** Ends the exchange if another target replaces this one; until then, events may still arrive. */
  private async _replaceIfPermitted(): Promise<void> {
    const { clock, findReplacement } = this._options;
    const search = new AbortController();
    this._search = search;
    const durationMs = (): number => this._pace.silenceMs(clock.now());
    const silence = { execution: this._execution, durationMs };
    const isReplaced = await findReplacement(silence, search.signal);
    if (search.signal.aborted) {
      return;
    }
    if (isReplaced) {
      this._abort(StreamEnd.Silent, `no event for ${Math.round(durationMs())} ms`);
    } else {
      this._restartEventTimer(REPLACEMENT_RETRY_MS);
    }
  }

  private _stopWaiting(): void {
    this._eventTimer?.dispose();
    this._search?.abort();
  }

  private _abort(end: StreamEnd, cause: string): void {
    this._exchange?.abort(ABORT_REASONS[end]);
    this._finish(end, cause);
  }

  private _finish(end: StreamEnd, cause: string): void {
    this._stopWaiting();
    this._deadlineTimer?.dispose();
    this._options.signal.removeEventListener('abort', this._onAbort);
    this._options.lostSignal?.removeEventListener('abort', this._onLost);
    this._resolve({
      end,
      cause,
      execution: this._execution,
      isCutOff: this._isCutOff,
      obstacle: this._obstacle,
      limit: this._limit,
      failure: end === StreamEnd.Failure ? this._failureAnswer() : undefined,
      firstEventAt: this._firstEventAt,
      longestPauseMs: this._longestPauseMs,
    });
  }

  private _failureAnswer(): BufferedAnswer | undefined {
    return this._answer === undefined
      ? undefined
      : { head: this._answer, headers: this._headers, body: this._failureBody.toBuffer() };
  }
}

/** Whether an answer states where its body ends, so that an empty one is not a lost one. */
function hasExplicitEnd(headers: RawHeaders): boolean {
  return ['content-length', 'transfer-encoding'].some(
    (name) => findHeader(headers, name) !== undefined,
  );
}
