/**
 * Words the refusal of a prompt: why, and when its caller is to return. Refused callers get turns one
 * after the other, at the pace at which engines take prompts, so that they do not return together.
 */
import type { Clock } from '@tanagerdyke/kernel';
import { prefillMs } from './EngineTiming.js';
import type { EngineSelection } from './EngineSelection.js';
import { PlacementRefusal, type PromptRequest, RefusedPrompt } from './PlacementDecision.js';
import type { RateLimits } from './RateLimits.js';
import { RetrySchedule } from './RetrySchedule.js';

/** Retry time of a prompt that would be a net loss; the load that makes it so lasts for seconds. */
const NET_LOSS_RETRY_MS = 3_000;
/** Retry time while no engine accepts requests. */
const NO_ENGINE_RETRY_MS = 1_500;

/** A refusal before a turn to retry is handed out. */
interface DescribedRefusal {
  readonly reason: PlacementRefusal;
  readonly engineCount: number;
  /** Time until capacity is expected, and for which the prompt will take it. */
  readonly earliestMs: number;
  readonly turnMs: number;
  /** Time to retry when it does not depend on turns. */
  readonly retryAfterMs: number | undefined;
}

/** Dependencies of the refusals. */
export interface PromptRefusalsOptions {
  readonly clock: Clock;
  readonly selection: EngineSelection;
  readonly rateLimits: RateLimits;
}

/** Refuses prompts, and hands out the turns of their callers. */
export class PromptRefusals {
  private readonly _retries = new RetrySchedule();

  constructor(private readonly _options: PromptRefusalsOptions) {}

  /** Refuses a prompt behind `ahead` waiting ones, and gives its caller the next turn. */
  public refuse(request: PromptRequest, refusal: PlacementRefusal, ahead: number): RefusedPrompt {
    const described = this._describe(request, refusal, ahead);
    const { earliestMs, engineCount, reason, turnMs } = described;
    const now = this._options.clock.now();
    const retryAfterMs = described.retryAfterMs ?? this._retries.next(now, earliestMs, turnMs);
    return new RefusedPrompt(
      reason,
      engineCount,
      retryAfterMs,
      reason === PlacementRefusal.NoEngine ? 0 : ahead,
    );
  }

  /** Returns what `refuse` would say now, with the time until the next turn; hands out none. */
  public preview(
    request: PromptRequest,
    refusal: PlacementRefusal,
    ahead: number,
  ): { readonly reason: PlacementRefusal; readonly retryAfterMs: number } {
    const { earliestMs, reason, retryAfterMs, turnMs } = this._describe(request, refusal, ahead);
    const now = this._options.clock.now();
    return { reason, retryAfterMs: retryAfterMs ?? this._retries.peek(now, earliestMs, turnMs) };
  }

  private _describe(
    request: PromptRequest,
    refusal: PlacementRefusal,
    ahead: number,
  ): DescribedRefusal {
    const { rateLimits, selection } = this._options;
    const engineCount = selection.enginesOf(request).length;
    if (engineCount === 0 && refusal === PlacementRefusal.NoCapacity) {
      const reason = PlacementRefusal.NoEngine;
      const retryAfterMs = selection.evacuationRetryMs(request) ?? NO_ENGINE_RETRY_MS;
      return { reason, engineCount, earliestMs: 0, turnMs: 0, retryAfterMs };
    }
    const earliestMs =
      refusal === PlacementRefusal.NetLoss
        ? NET_LOSS_RETRY_MS
        : selection.expectedWaitMs(request, ahead + 1);
    const turnMs = Math.max(
      prefillMs(request.profile, request.promptTokens) / Math.max(1, engineCount),
      rateLimits.intervalMs(selection.usableIds(request)),
    );
    const isRateLimited =
      refusal === PlacementRefusal.NoCapacity && selection.rateWaitMs(request, ahead) > 0;
    const reason = isRateLimited ? PlacementRefusal.RateLimited : refusal;
    return { reason, engineCount, earliestMs, turnMs, retryAfterMs: undefined };
  }
}
