/**
 * The prompts that wait for capacity, in the order in which they get it. Load pattern: a burst in
 * which all slots are taken, so that each slot that frees up can serve any of many prompts. First
 * are those with the most value for the engine time that they take; what would be late anyway
 * counts less, and a workspace that has many prompts waiting comes after one with few. The rank of a
 * prompt grows with its wait, so that none starves.
 */
import { prefillMs } from './EngineTiming.js';
import type { PromptRequest } from './PlacementDecision.js';
import { LATE_VALUE_SHARE, promptValue } from './PlacementLoss.js';

/** The rank of a prompt doubles with each wait of this length. */
const AGING_MS = 500;
/** Factor on the rank of a prompt whose caller was refused before. */
const RETURNING_FACTOR = 2;

/** A prompt in the queue. */
export interface WaitingPrompt {
  readonly request: PromptRequest;
  readonly arrivedAt: number;
}

/** Holds waiting prompts of one cell. */
export class PromptQueue<T extends WaitingPrompt> {
  private readonly _waiting = new Set<T>();

  public get size(): number {
    return this._waiting.size;
  }

  public add(prompt: T): void {
    this._waiting.add(prompt);
  }

  public remove(prompt: T): void {
    this._waiting.delete(prompt);
  }

  /** All waiting prompts, the first to be served in front. */
  public inOrder(now: number): readonly T[] {
    const aheadByWorkspace = new Map<string, number>();
    const ranked = [...this._waiting].map((prompt) => {
      const { workspace } = prompt.request;
      const ahead = aheadByWorkspace.get(workspace) ?? 0;
      aheadByWorkspace.set(workspace, ahead + 1);
      return { prompt, rank: rankOf(prompt, now) / (1 + ahead) };
    });
    return ranked.sort((a, b) => b.rank - a.rank).map(({ prompt }) => prompt);
  }

  /** Number of waiting prompts that would be served before a new one. */
  public countAhead(prompt: WaitingPrompt, now: number): number {
    const sameWorkspace = [...this._waiting].filter(
      ({ request }) => request.workspace === prompt.request.workspace,
    ).length;
    const rank = rankOf(prompt, now) / (1 + sameWorkspace);
    return [...this._waiting].filter((each) => rankOf(each, now) >= rank).length;
  }
}

/** Value per millisecond of engine time, raised by the wait. */
function rankOf({ arrivedAt, request }: WaitingPrompt, now: number): number {
  const { outputTokens, profile, promptTokens } = request;
  const wholePrefillMs = prefillMs(profile, promptTokens);
  const generationMs = (outputTokens * profile.stepMs) / profile.slots;
  const isLate = now + wholePrefillMs > request.dueAt;
  const value = promptValue(promptTokens, outputTokens) * (isLate ? LATE_VALUE_SHARE : 1);
  const returning = request.isReturning ? RETURNING_FACTOR : 1;
  const aging = 1 + Math.max(0, now - arrivedAt) / AGING_MS;
  return (value * returning * aging) / (wholePrefillMs + generationMs);
}
