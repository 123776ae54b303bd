/**
 * The final answer to a request that no target answered. It promises that the request did not run
 * only where that is certain, since callers repeat non-idempotent work on that word alone.
 */
import { type Execution, isUnrun } from '../common/Execution.js';
import { OwnStatus } from './CallerResponse.js';
import { Ending, type ForwardedRequest } from './ForwardedRequest.js';

/** What decides the answer, and what to tell the caller. */
export interface UnservedRequest {
  readonly execution: Execution;
  /** Whether the deadline passed. */
  readonly isLate: boolean;
  /** When to come back if the request did not run. */
  readonly retryAfterMs: number;
  /** What the caller can do if the request did not run. */
  readonly unrunRemedy: string;
  /** What the caller can do if the request may have run. */
  readonly uncertainRemedy: string;
}

/** Answers the caller and returns how the request ended. */
export function answerUnserved(
  { response }: ForwardedRequest,
  { execution, isLate, retryAfterMs, uncertainRemedy, unrunRemedy }: UnservedRequest,
): Ending {
  if (isUnrun(execution)) {
    response.answer({
      status: OwnStatus.Refused,
      kind: 'overloaded',
      remedy: unrunRemedy,
      retryAfterMs,
    });
    return Ending.Refused;
  }
  response.answer({
    status: isLate ? OwnStatus.TimedOut : OwnStatus.Failed,
    kind: isLate ? 'deadline-exceeded' : 'target-failed',
    remedy: uncertainRemedy,
  });
  return isLate ? Ending.TimedOut : Ending.Failed;
}
