/** Options and checks that buffered and streamed exchanges with a target have in common. */
import type { Clock } from '@tanagerdyke/kernel';
import type { RawHeaders, TargetAnswer, TargetEntry } from '../common/Messages.js';
import type { SendObstacle } from '../common/placement/SendCheck.js';
import type { Dialect } from '../common/services/Services.js';
import { ExcessiveAnswer } from './AnswerMeter.js';
import type { ConnectionHistory } from './ConnectionHistory.js';
import { RelayLinkError } from './paths/RelayedSocket.js';
import type { RequestSender, UpstreamRequest } from './Upstream.js';

/** The cause of an exchange that ends because the caller disconnected. */
export const CALLER_DISCONNECTED_CAUSE = 'the caller disconnected';

/** A request to one target, with the services that send it. */
export interface ExchangeOptions {
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly upstream: RequestSender;
  readonly target: TargetEntry;
  /** Number of connections that this node may open to the target. */
  readonly connections: number;
  readonly request: UpstreamRequest;
  /** Returns why the request must not be sent; called right before its first byte is. */
  readonly findObstacle: () => SendObstacle | undefined;
  /**
   * Called with the status and headers of each answer. One that can't be matched to this request is
   * of no use to the caller, but says of the target what any answer does.
   */
  readonly onAnswerHead: (answer: TargetAnswer, isMatched: boolean) => void;
  /** The caller's id of the request; undefined if it sent none. */
  readonly attemptId: string | undefined;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A complete answer that is held in memory. */
export interface BufferedAnswer {
  readonly head: TargetAnswer;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/**
 * Whether an answer belongs to this request. Refusals without execution may lack its id, but on a
 * kept connection, one that is not identified may be an earlier one that is written once more.
 */
export function matchesAttempt(
  answer: TargetAnswer,
  attemptId: string | undefined,
  history?: ConnectionHistory,
): boolean {
  if (attemptId === undefined) {
    return true;
  }
  if (answer.attemptId === attemptId) {
    return !answer.isNotRun || history?.isRepeated !== true;
  }
  return answer.attemptId === undefined && answer.isNotRun && history?.isKept !== true;
}

/** Limits of this node by which it ends an answer. */
export enum AnswerLimit {
  /** Size of one answer, of all answers that are buffered, of one event, or of a failure. */
  AnswerBytes = 'answer-bytes',
  AllAnswersBytes = 'all-answers-bytes',
  EventBytes = 'event-bytes',
  FailureBytes = 'failure-bytes',
  /** Bytes that are no payload. */
  OverheadBytes = 'overhead-bytes',
}

/** The limit that ended an exchange with this error; undefined if none did. */
export function limitOf(cause: Error): AnswerLimit | undefined {
  return cause instanceof ExcessiveAnswer ? AnswerLimit.OverheadBytes : undefined;
}

/**
 * Whether an answer that a limit ended says nothing against its target. Bytes without an end that are
 * no payload can't become an answer.
 */
export function isSoundBeyond(limit: AnswerLimit | undefined): boolean {
  return limit !== undefined && limit !== AnswerLimit.OverheadBytes;
}

/** Whether an exchange that failed shows that the target ended the connection, or ended itself. */
export function isEndOfTarget(cause: Error): boolean {
  return !(cause instanceof RelayLinkError || cause instanceof ExcessiveAnswer);
}
