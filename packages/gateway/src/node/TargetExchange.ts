/** What exchanges with a target share, whether their answer is held whole or passed as it comes. */
import type { Clock } from '@tanagerdyke/kernel';
import type { RawHeaders, TargetAnswer, TargetEntry } from '../common/Messages.js';
import type { Dialect } from '../common/services/Services.js';
import type { RequestSender, UpstreamRequest } from './Upstream.js';

/** Why an exchange ends that nobody waits for any more. */
export const CALLER_LEFT_CAUSE = 'the caller left';

/** What every exchange needs. */
export interface TargetExchange {
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly upstream: RequestSender;
  readonly target: TargetEntry;
  readonly connections: number;
  readonly request: UpstreamRequest;
  readonly attemptId: string | undefined;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

/** A complete answer. */
export interface WholeAnswer {
  readonly answer: TargetAnswer;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Whether an answer is to this request; refusals need not name it. */
export function isOwnAnswer(answer: TargetAnswer, attemptId: string | undefined): boolean {
  if (attemptId === undefined || answer.attemptId === attemptId) {
    return true;
  }
  return answer.attemptId === undefined && answer.isNotRun;
}
