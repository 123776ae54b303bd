/** The errors of at-most-once calls; `notRun` states what is known about whether the call ran. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';

const RETRY_AFTER_MS = 2_000;

export function keyReused(): ServiceError {
  return new ServiceError(ErrorKind.KeyReused, 'the Idempotency-Key was used for another call', {
    remedy: 'use a new key for each new call',
    notRun: NotRun.True,
  });
}

export function answerNotHeld(): ServiceError {
  return new ServiceError(ErrorKind.AnswerNotHeld, 'the call ran; its answer is no longer held', {
    remedy: 'look up the result at the target',
    notRun: NotRun.False,
  });
}

export function claimRefused(): ServiceError {
  return new ServiceError(ErrorKind.PlatformUnavailable, 'the claim log does not accept records', {
    remedy: 'send the call again with the same key after the given delay',
    notRun: NotRun.True,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

export function claimAbandoned(): ServiceError {
  return new ServiceError(ErrorKind.DeadlineExceeded, 'the claim was not decided in time', {
    remedy: 'send the call again with the same key and a longer deadline',
    notRun: NotRun.True,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

export function outcomeUnknown(): ServiceError {
  return new ServiceError(ErrorKind.OutcomeUnknown, 'the call may have run', {
    remedy: 'send it again with the same key to get the outcome, or look it up at the target',
    notRun: NotRun.Unknown,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
