/**
 * The prompts that wait for capacity, in the order in which they get it. Load pattern: a burst in
 * which all slots are taken, so that each slot that frees up can serve any of many prompts. First
 * are those with the most value for the engine time that they take; what would be late anyway
 * counts less, and a workspace that has many prompts waiting comes after one with few. The rank of a
 * prompt grows with its wait, so that none starves.
 */
import { prefillMs } from './EngineTiming.js';
import { expectedOutputTokens, type PromptRequest } from './PlacementDecision.js';
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
    return orderFairly([...this._waiting], now);
  }

  /** Number of waiting prompts that would be served before a new one. */
  public countAhead(prompt: WaitingPrompt, now: number): number {
    return orderFairly<WaitingPrompt>([...this._waiting, prompt], now).indexOf(prompt);
  }
}

/**
 * Orders prompts by rank, where the second prompt of a workspace counts half of its rank, the third
 * one a third, and so on, so that workspaces take turns.
 */
function orderFairly<T extends WaitingPrompt>(prompts: readonly T[], now: number): readonly T[] {
  const ranked = prompts.map((prompt) => ({ prompt, rank: rankOf(prompt, now) }));
  ranked.sort((a, b) => b.rank - a.rank);
  const countByWorkspace = new Map<string, number>();
  const shared = ranked.map(({ prompt, rank }) => {
    const { workspace } = prompt.request;
    const count = (countByWorkspace.get(workspace) ?? 0) + 1;
    countByWorkspace.set(workspace, count);
    return { prompt, rank: rank / count };
  });
  return shared.sort((a, b) => b.rank - a.rank).map(({ prompt }) => prompt);
}

/** Value per millisecond of engine time, raised by the wait. */
function rankOf({ arrivedAt, request }: WaitingPrompt, now: number): number {
  const { expected, profile, promptTokens } = request;
  const outputTokens = expectedOutputTokens(request);
  const wholePrefillMs = prefillMs(profile, promptTokens);
  const wholeGenerationMs = expected?.generationMs ?? outputTokens * profile.stepMs;
  const generationMs = wholeGenerationMs / profile.slots;
  const isLate = now + wholePrefillMs > request.dueAt;
  const value = promptValue(promptTokens, outputTokens) * (isLate ? LATE_VALUE_SHARE : 1);
  const returning = request.isReturning ? RETURNING_FACTOR : 1;
  const aging = 1 + Math.max(0, now - arrivedAt) / AGING_MS;
  return (value * returning * aging) / (wholePrefillMs + generationMs);
}
