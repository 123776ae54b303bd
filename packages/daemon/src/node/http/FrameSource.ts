/**
 * Reads the frames of one completion and records metrics and time line events about them. When the
 * node shuts down before the completion has ended, the source ends it with a typed error.
 */
import type { EngineFrame, LengthClass } from '@tanagerdyke/contracts';
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { CompletionRequest } from '@tanagerdyke/serving';
import { Result } from 'true-myth';
import type { ServedNode } from './ServedNode.js';

type FrameResult = Result<EngineFrame, ServiceError>;

/** Time after the deadline of a request within which its final answer must be sent. */
const DEADLINE_TOLERANCE_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

/** The source of the frames of one completion. */
export class FrameSource {
  private readonly _frames: AsyncIterator<FrameResult>;
  private readonly _abort = new AbortController();
  private readonly _startedAt: number;
  /** Clock time of the last frame or error; 0 before the first. */
  private _lastFrameAt = 0;

  constructor(
    private readonly _node: ServedNode,
    public readonly request: CompletionRequest,
    private readonly _lengthClass: LengthClass,
    callerSignal: AbortSignal,
    private readonly _shutdownSignal: AbortSignal,
  ) {
    callerSignal.addEventListener('abort', () => {
      this.cancel();
    });
    this._startedAt = _node.clock.now();
    this._frames = _node.completions.complete(request, this._abort.signal)[Symbol.asyncIterator]();
    _node.metrics.increment('tanager_requests_total', { class: _lengthClass });
    _node.timeLine.record('completion.admitted', {
      request: request.id,
      workspace: request.workspace.name,
      route: request.route.name,
      class: _lengthClass,
      promptTokens: request.promptTokens,
    });
  }

  /** The next frame, or the error that ends the completion. */
  public async next(): Promise<FrameResult> {
    const result = await this._nextOrShutdown();
    const frame: FrameResult =
      result.done === true ? Result.err(missingLastFrameError()) : result.value;
    this._recordMetrics(frame);
    return frame;
  }

  public cancel(): void {
    this._abort.abort();
  }

  /**
   * Cancels the completion and releases its resources if it has not ended on its own. At shutdown
   * it doesn't wait for the release, which could hold up the final answer.
   */
  public async close(): Promise<void> {
    this.cancel();
    const returned = this._frames.return?.();
    if (!this._shutdownSignal.aborted) {
      await returned;
    }
  }

  private _nextOrShutdown(): Promise<IteratorResult<FrameResult, unknown>> {
    return new Promise((resolve, reject) => {
      const onShutdown = (): void => {
        resolve({ done: false, value: Result.err(this._shutdownError()) });
      };
      if (this._shutdownSignal.aborted) {
        onShutdown();
        return;
      }
      this._shutdownSignal.addEventListener('abort', onShutdown, { once: true });
      const stopListening = (): void => {
        this._shutdownSignal.removeEventListener('abort', onShutdown);
      };
      this._frames.next().then(resolve, reject).finally(stopListening);
    });
  }

  private _shutdownError(): ServiceError {
    return new ServiceError(
      ErrorKind.Draining,
      'this node shut down before the answer was complete',
      {
        remedy: 'ask for addresses again and send the request to another',
        notRun: this._lastFrameAt === 0 ? NotRun.Unknown : NotRun.False,
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }

  private _recordMetrics(frame: FrameResult): void {
    const { clock, metrics } = this._node;
    const now = clock.now();
    const labels = { class: this._lengthClass };
    if (frame.isErr) {
      this._recordFailure(frame.error);
    } else if (this._lastFrameAt === 0) {
      metrics.observe('tanager_time_to_first_token_ms', now - this._startedAt, labels);
    } else {
      const tokens = Math.max(1, frame.value.tokens.length);
      metrics.observe('tanager_inter_token_ms', (now - this._lastFrameAt) / tokens, labels);
    }
    this._lastFrameAt = now;
    if (frame.isErr || frame.value.isLast) {
      this._recordEnd(frame, now);
    }
  }

  /** Counts no failure before the first token: that is a refusal, which the route counts. */
  private _recordFailure({ kind }: ServiceError): void {
    const { metrics, timeLine } = this._node;
    timeLine.record('completion.failed', { request: this.request.id, kind });
    if (this._lastFrameAt !== 0) {
      metrics.increment('tanager_failures_total', { kind, class: this._lengthClass });
    }
  }

  private _recordEnd(frame: FrameResult, now: number): void {
    const { invariants, timeLine } = this._node;
    timeLine.record('completion.ended', { request: this.request.id, isOk: frame.isOk });
    invariants.check(now <= this.request.deadline + DEADLINE_TOLERANCE_MS, 'ends-before-deadline', {
      request: this.request.id,
      lateMs: now - this.request.deadline,
    });
  }
}

function missingLastFrameError(): ServiceError {
  return new ServiceError(ErrorKind.Internal, 'the stream ended without a last frame', {
    remedy: 'send the request again',
  });
}
