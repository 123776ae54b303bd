/**
 * One exchange with a target whose answer is buffered until it is complete, so that a broken answer
 * is never forwarded and a repeatable request can be sent again without the caller noticing.
 */
import { ByteCollector } from '@tanagerdyke/kernel';
import { Execution } from '../common/Execution.js';
import { statedLength } from '../common/HttpHeaders.js';
import type { RawHeaders, TargetAnswer } from '../common/Messages.js';
import type { SendObstacle } from '../common/placement/SendCheck.js';
import { scheduleSocketWait } from '../common/SocketWait.js';
import type { AnswerBuffers } from './AnswerBuffers.js';
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

/** Node.js timers may fire up to this much early. */
const TIMER_TOLERANCE_MS = 2;
/** Time between two searches for a target that replaces one that does not answer. */
const REPLACEMENT_RETRY_MS = 500;

/** Why an exchange has no complete answer. */
interface ExchangeFailure {
  /** Whether the target ended the connection before its answer was complete. */
  readonly isCutOff: boolean;
  /** Whether the time limit passed, which need not be the target's fault. */
  readonly isTimeout: boolean;
  /** Why this node did not send the request; `undefined` if the target or its link failed. */
  readonly obstacle: SendObstacle | undefined;
  /** The limit by which this node ended the answer. */
  readonly limit: AnswerLimit | undefined;
}

/** The outcome of an exchange: a complete answer, or the cause of its absence. */
export type BufferedOutcome = {
  readonly execution: Execution;
  /** Time until the first byte was sent; `undefined` if none was. */
  readonly waitedMs: number | undefined;
} & (
  | { readonly answer: BufferedAnswer }
  | (ExchangeFailure & { readonly answer: undefined; readonly cause: string })
);

/** Options of an exchange with a buffered answer. */
export interface BufferedExchangeOptions extends ExchangeOptions {
  /** Time on the clock from which another target may replace this one. */
  readonly timeoutAt: number;
  /** Time on the clock at which the exchange is aborted. */
  readonly deadlineAt: number;
  /** Whether another target replaces this one, which may still answer until then. */
  readonly findReplacement: (execution: Execution) => boolean;
  readonly answerBuffers: AnswerBuffers;
}

/** Sends the request and buffers the answer. */
export function exchangeBuffered(options: BufferedExchangeOptions): Promise<BufferedOutcome> {
  const { attemptId, clock, connections, dialect, onAnswerHead, request } = options;
  const { deadlineAt, signal, target, timeoutAt, upstream } = options;
  return new Promise((resolve) => {
    const startedAt = clock.now();
    let execution = Execution.NotSent;
    let waitedMs: number | undefined;
    let answer: TargetAnswer | undefined;
    let headers: RawHeaders = [];
    const buffer = options.answerBuffers.open();
    const body = new ByteCollector();
    const finish = (outcome: BufferedOutcome): void => {
      timer.dispose();
      buffer.release();
      signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const fail = (cause: string, failure: Partial<ExchangeFailure> = {}): void => {
      const defaults = {
        isCutOff: false,
        isTimeout: false,
        obstacle: undefined,
        limit: undefined,
      };
      finish({ answer: undefined, execution, cause, waitedMs, ...defaults, ...failure });
    };
    const abort = (cause: string, failure: Partial<ExchangeFailure> = {}): void => {
      exchange.abort(failure.isTimeout === true ? AbortReason.Silence : AbortReason.Unneeded);
      fail(cause, failure);
    };
    const onAbort = (): void => {
      abort(CALLER_DISCONNECTED_CAUSE);
    };
    const handleTimeout = (): void => {
      const leftMs = deadlineAt - clock.now();
      if (leftMs <= TIMER_TOLERANCE_MS || options.findReplacement(execution)) {
        abort('no answer in time', { isTimeout: true });
      } else {
        timer = scheduleSocketWait(clock, Math.min(leftMs, REPLACEMENT_RETRY_MS), handleTimeout);
      }
    };
    const firstLimitMs = Math.min(timeoutAt, deadlineAt) - clock.now();
    let timer = scheduleSocketWait(clock, firstLimitMs, handleTimeout);
    if (signal.aborted) {
      fail(CALLER_DISCONNECTED_CAUSE);
      return;
    }
    signal.addEventListener('abort', onAbort, { once: true });
    const exchange: Exchange = upstream.send(target, connections, request, {
      findObstacle: options.findObstacle,
      onSendStart: () => {
        execution = Execution.MayHaveRun;
        waitedMs = clock.now() - startedAt;
      },
      onHead: (status, raw, history) => {
        headers = raw;
        answer = dialect.parseTargetAnswer(status, raw);
        const isMatched = matchesAttempt(answer, attemptId, history);
        onAnswerHead(answer, isMatched);
        if (!isMatched) {
          // The connection would carry the answer to this request in place of that to the next one.
          abort('the answer belongs to another request');
        } else if (request.method !== 'HEAD' && !buffer.fits(statedLength(raw))) {
          abort('the answer is too large to buffer', { limit: AnswerLimit.AnswerBytes });
        }
      },
      onData: (chunk) => {
        if (buffer.add(chunk.length)) {
          body.add(chunk);
        } else {
          const isTooLarge = !buffer.fits(body.length + chunk.length);
          const limit = isTooLarge ? AnswerLimit.AnswerBytes : AnswerLimit.AllAnswersBytes;
          abort('the answer is too large to buffer', { limit });
        }
      },
      onEnd: () => {
        if (answer === undefined) {
          fail('no answer');
          return;
        }
        execution = answer.isNotRun ? Execution.NotRun : Execution.Ran;
        const complete = { head: answer, headers, body: body.toBuffer() };
        finish({ answer: complete, execution, waitedMs });
      },
      onError: (error) => {
        const obstacle = error instanceof WithheldRequest ? error.obstacle : undefined;
        const isCutOff = obstacle === undefined && isEndOfTarget(error);
        fail(error.message, { isCutOff, obstacle, limit: limitOf(error) });
      },
    });
  });
}
