/**
 * One run of an event stream at a target: passes whole events to the caller as they come, follows
 * the caller's pace, and ends when the stream is complete, broken, silent for too long, or unwanted.
 */
import type { Disposable } from '@tanagerdyke/kernel';
import type { EventStreamSplitter } from '../common/EventStreamSplitter.js';
import { Execution } from '../common/Execution.js';
import type { RawHeaders, TargetAnswer } from '../common/Messages.js';
import type { CallerResponse } from './CallerResponse.js';
import {
  CALLER_LEFT_CAUSE,
  isOwnAnswer,
  type TargetExchange,
  type WholeAnswer,
} from './TargetExchange.js';
import type { Exchange } from './Upstream.js';

const FIRST_ERROR = 300;
/** Bodies of failures are short; more than this is not kept. */
const MAX_FAILURE_BYTES = 256 * 1024;

/** How a run ended. */
export enum StreamEnd {
  Complete = 'complete',
  /** The target answered with a failure instead of a stream. */
  Failure = 'failure',
  Broken = 'broken',
  Silent = 'silent',
  /** The deadline passed or the caller left. */
  Unwanted = 'unwanted',
}

/** What a run came to. */
export interface StreamOutcome {
  readonly end: StreamEnd;
  readonly execution: Execution;
  readonly cause: string;
  /** The failure that the target answered with. */
  readonly failure: WholeAnswer | undefined;
  readonly firstEventAt: number | undefined;
  readonly longestPauseMs: number;
}

/** What a run needs. */
export interface StreamExchangeOptions extends TargetExchange {
  readonly splitter: EventStreamSplitter;
  readonly response: CallerResponse;
  readonly deadlineAt: number;
  /** Longest silence before the first event, and after it. */
  readonly firstSilenceMs: number;
  readonly silenceMs: number;
  readonly onFirstEvent: () => void;
}

/** Runs the exchange. */
export function exchangeStream(options: StreamExchangeOptions): Promise<StreamOutcome> {
  return new StreamRun(options).run();
}

class StreamRun {
  private _execution = Execution.NotSent;
  private _answer: TargetAnswer | undefined;
  private _headers: RawHeaders = [];
  private readonly _failureChunks: Buffer[] = [];
  private _failureBytes = 0;
  private _firstEventAt: number | undefined;
  private _lastEventAt: number | undefined;
  private _longestPauseMs = 0;
  private _exchange: Exchange | undefined;
  private _silence: Disposable | undefined;
  private _deadline: Disposable | undefined;
  private _resolve: (outcome: StreamOutcome) => void = () => undefined;
  private readonly _onAbort = (): void => {
    this._giveUp(StreamEnd.Unwanted, CALLER_LEFT_CAUSE);
  };

  constructor(private readonly _options: StreamExchangeOptions) {}

  public run(): Promise<StreamOutcome> {
    const { clock, connections, deadlineAt, request, signal, target, upstream } = this._options;
    return new Promise((resolve) => {
      this._resolve = resolve;
      this._deadline = clock.schedule(deadlineAt - clock.now(), () => {
        this._giveUp(StreamEnd.Unwanted, 'the deadline passed');
      });
      if (signal.aborted) {
        this._finish(StreamEnd.Unwanted, CALLER_LEFT_CAUSE);
        return;
      }
      this._watchSilence(this._options.firstSilenceMs);
      signal.addEventListener('abort', this._onAbort, { once: true });
      this._exchange = upstream.send(target, connections, request, {
        onSent: () => {
          this._execution = Execution.MayHaveRun;
        },
        onHead: (status, headers) => {
          this._takeHead(status, headers);
        },
        onData: (chunk) => {
          this._takeData(chunk);
        },
        onEnd: () => {
          this._takeEnd();
        },
        onError: (cause) => {
          this._finish(StreamEnd.Broken, cause.message);
        },
      });
    });
  }

  private get _isStreaming(): boolean {
    return this._answer !== undefined && this._answer.status < FIRST_ERROR;
  }

  private _takeHead(status: number, headers: RawHeaders): void {
    this._headers = headers;
    this._answer = this._options.dialect.readAnswer(status, headers);
    if (!isOwnAnswer(this._answer, this._options.attemptId)) {
      this._giveUp(StreamEnd.Broken, 'the answer belongs to another request');
    }
  }

  private _takeData(chunk: Buffer): void {
    if (!this._isStreaming) {
      this._failureBytes += chunk.length;
      if (this._failureBytes <= MAX_FAILURE_BYTES) {
        this._failureChunks.push(chunk);
      }
      return;
    }
    const events = this._options.splitter.push(chunk);
    if (events.length === 0) {
      return;
    }
    this._noteEvent();
    this._pass(events);
  }

  private _noteEvent(): void {
    const { clock, onFirstEvent, silenceMs } = this._options;
    const now = clock.now();
    if (this._lastEventAt === undefined) {
      this._firstEventAt = now;
      onFirstEvent();
    } else {
      this._longestPauseMs = Math.max(this._longestPauseMs, now - this._lastEventAt);
    }
    this._lastEventAt = now;
    this._watchSilence(silenceMs);
  }

  private _pass(events: Buffer): void {
    const { response } = this._options;
    if (!response.isBegun) {
      response.begin(this._answer?.status ?? 0, this._headers);
    }
    if (!response.write(events)) {
      // A caller that reads slowly is no silence of the target.
      this._silence?.dispose();
      this._exchange?.pause();
      response.onDrain(() => {
        this._watchSilence(this._options.silenceMs);
        this._exchange?.resume();
      });
    }
  }

  private _takeEnd(): void {
    const { response, splitter } = this._options;
    if (this._answer === undefined) {
      this._finish(StreamEnd.Broken, 'no answer');
    } else if (!this._isStreaming) {
      this._execution = this._answer.isNotRun ? Execution.RefusedUnrun : Execution.Ran;
      this._finish(StreamEnd.Failure, `status ${this._answer.status}`);
    } else if (splitter.heldBytes > 0) {
      this._finish(StreamEnd.Broken, 'the stream ended within an event');
    } else {
      this._execution = Execution.Ran;
      if (!response.isBegun) {
        response.begin(this._answer.status, this._headers);
      }
      this._finish(StreamEnd.Complete, '');
    }
  }

  private _watchSilence(limitMs: number): void {
    this._silence?.dispose();
    this._silence = this._options.clock.schedule(limitMs, () => {
      this._giveUp(StreamEnd.Silent, `no event for ${Math.round(limitMs)} ms`);
    });
  }

  private _giveUp(end: StreamEnd, cause: string): void {
    this._exchange?.abort();
    this._finish(end, cause);
  }

  private _finish(end: StreamEnd, cause: string): void {
    this._silence?.dispose();
    this._deadline?.dispose();
    this._options.signal.removeEventListener('abort', this._onAbort);
    this._resolve({
      end,
      cause,
      execution: this._execution,
      failure: end === StreamEnd.Failure ? this._wholeFailure() : undefined,
      firstEventAt: this._firstEventAt,
      longestPauseMs: this._longestPauseMs,
    });
  }

  private _wholeFailure(): WholeAnswer | undefined {
    return this._answer === undefined
      ? undefined
      : { answer: this._answer, headers: this._headers, body: Buffer.concat(this._failureChunks) };
  }
}
