/**
 * Serves completions at an entry node: places each request, streams the tokens, and resumes at the
 * current position on another engine when one fails. Every admitted request ends before its
 * deadline, either with a frame marked as the last one or with an error.
 */
import {
  type Clock,
  ErrorKind,
  type Metrics,
  NotRun,
  type RandomSource,
  runInBackground,
  ServiceError,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { EngineFrame } from '@tanagerdyke/contracts';
import type { Membership } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { PRIORITY_OF_CLASS } from './LengthClasses.js';
import { EXPIRY_GRACE_MS, type Placement, type Placer } from './Placer.js';
import { RetryBudget } from './RetryBudget.js';
import type {
  CompletionFrames,
  CompletionRequest,
  CompletionServer,
  Reservations,
} from './services/Services.js';
import type { TargetDirectory } from './TargetDirectory.js';

/** Maximum number of engines tried for one request, the first one included. */
const MAX_ATTEMPTS = 4;
/** Upper bound of the random backoff after the first failed attempt; doubles with each attempt. */
const BASE_BACKOFF_MS = 20;

/** Dependencies of `CompletionService`. */
export interface CompletionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: TargetDirectory;
  readonly reservations: Reservations;
  readonly placer: Placer;
  readonly membership: Membership;
  readonly timeLine: TimeLine;
  readonly metrics: Metrics;
}

/** Places, streams and retries the completions of one entry node. */
export class CompletionService implements CompletionServer {
  private readonly _retryBudget = new RetryBudget();

  constructor(private readonly _options: CompletionOptions) {}

  public async *complete(request: CompletionRequest, signal: AbortSignal): CompletionFrames {
    const { clock, metrics, placer, timeLine } = this._options;
    this._retryBudget.deposit();
    let position = 0;
    let lastFailure: ServiceError | undefined;
    const failedTargets = new Set<string>();
    for (
      let attemptIndex = 0;
      attemptIndex < MAX_ATTEMPTS && clock.now() < request.deadline;
      attemptIndex++
    ) {
      if (attemptIndex > 0 && !this._retryBudget.tryWithdraw()) {
        break;
      }
      const placement = await placer.place(request, failedTargets, signal);
      if (placement.isErr) {
        yield Result.err(lastFailure ?? placement.error);
        return;
      }
      for await (const frame of this._streamAttempt(request, placement.value, position, signal)) {
        if (frame.isErr) {
          lastFailure = combineNotRun(frame.error, lastFailure, position);
          break;
        }
        position = frame.value.position + frame.value.tokens.length;
        yield frame;
        if (frame.value.isLast) {
          return;
        }
      }
      failedTargets.add(placement.value.leader.target.name);
      metrics.increment('tanager_retries_total', { kind: lastFailure?.kind ?? '' });
      timeLine.record('completion.retry', { request: request.id, tries: attemptIndex, position });
      await clock.sleep(this._options.random.next() * BASE_BACKOFF_MS * 2 ** attemptIndex, signal);
    }
    yield Result.err(lastFailure ?? deadlineExceeded());
  }

  private async *_streamAttempt(
    request: CompletionRequest,
    placement: Placement,
    fromPosition: number,
    signal: AbortSignal,
  ): CompletionFrames {
    const { clock, directory, membership, placer, timeLine } = this._options;
    const { attemptId, leader, followers } = placement;
    const abort = new AbortController();
    const abortStream = (): void => {
      abort.abort();
    };
    signal.addEventListener('abort', abortStream, { once: true });
    const timer = clock.schedule(request.deadline - clock.now(), abortStream);
    try {
      const engine = directory.engine(leader.target);
      if (engine.isErr) {
        yield Result.err(engine.error);
        return;
      }
      const target = leader.target.name;
      timeLine.record('completion.dispatched', { request: request.id, attempt: attemptId, target });
      const frames = engine.value.generate(
        {
          id: attemptId,
          node: membership.self.name,
          incarnation: membership.self.startedAt,
          version: placement.version,
          prompt: request.prompt,
          maxTokens: request.maxTokens,
          fromPosition,
          priority: PRIORITY_OF_CLASS[placement.lengthClass],
          gang: followers.map((each) => each.target.address),
          expiresInMs: request.deadline - clock.now() + EXPIRY_GRACE_MS,
        },
        abort.signal,
      );
      yield* this._forwardFrames(frames, placement, fromPosition);
    } finally {
      timer.dispose();
      signal.removeEventListener('abort', abortStream);
      abort.abort();
      runInBackground('placement.release', () => placer.release(placement));
    }
  }

  /** Forwards frames after checking that they belong to the attempt and leave no gap. */
  private async *_forwardFrames(
    frames: CompletionFrames,
    placement: Placement,
    fromPosition: number,
  ): CompletionFrames {
    let nextPosition = fromPosition;
    for await (const frame of frames) {
      if (frame.isErr) {
        yield frame;
        return;
      }
      const isExpected =
        frame.value.id === placement.attemptId && frame.value.position === nextPosition;
      if (!isExpected) {
        yield Result.err(unexpectedFrame(placement, frame.value));
        return;
      }
      if (nextPosition === fromPosition) {
        this._notifyPrefillEnded(placement);
      }
      nextPosition += frame.value.tokens.length;
      yield frame;
      if (frame.value.isLast) {
        return;
      }
    }
    yield Result.err(truncatedStream());
  }

  private _notifyPrefillEnded({ attemptId, leader, followers }: Placement): void {
    for (const hostedTarget of [leader, ...followers]) {
      runInBackground('placement.started', () =>
        this._options.reservations.markStarted(hostedTarget, attemptId),
      );
    }
  }
}

/**
 * Sets `notRun` of a failed attempt to what holds for the whole request. An attempt that was
 * refused without running does not rule out that an earlier one ran, and after a delivered token
 * the request has run for certain.
 */
function combineNotRun(
  error: ServiceError,
  earlier: ServiceError | undefined,
  position: number,
): ServiceError {
  if (position > 0) {
    return error.withNotRun(NotRun.False);
  }
  const mayHaveRun = earlier !== undefined && earlier.notRun !== NotRun.True;
  return mayHaveRun && error.notRun === NotRun.True ? error.withNotRun(earlier.notRun) : error;
}

function deadlineExceeded(): ServiceError {
  return new ServiceError(
    ErrorKind.DeadlineExceeded,
    'the deadline passed before a target completed the request',
    {
      remedy: 'send the request again with a later deadline',
    },
  );
}

function truncatedStream(): ServiceError {
  return new ServiceError(
    ErrorKind.TargetFailed,
    'the engine closed the stream before the last frame',
    {
      remedy: 'send the request again',
      notRun: NotRun.False,
    },
  );
}

function unexpectedFrame(placement: Placement, frame: EngineFrame): ServiceError {
  return new ServiceError(
    ErrorKind.TargetFailed,
    `unexpected frame ${frame.id} at ${frame.position} in attempt ${placement.attemptId}`,
    { remedy: 'send the request again', notRun: NotRun.False },
  );
}
