/** Classifies requests by prompt length and maps the classes to engine priorities. */
import { EnginePriority, LengthClass } from '@tanagerdyke/contracts';

/** Longest prompt of the short class. */
export const SHORT_PROMPT_TOKENS = 8_000;
/** Longest prompt of the medium class. */
export const MEDIUM_PROMPT_TOKENS = 100_000;

/** Engine priority of each class. */
export const PRIORITY_OF_CLASS: Record<LengthClass, EnginePriority> = {
  [LengthClass.Short]: EnginePriority.Interactive,
  [LengthClass.Medium]: EnginePriority.Normal,
  [LengthClass.Long]: EnginePriority.Batch,
  [LengthClass.Gang]: EnginePriority.Batch,
};

/**
 * The length class of a request. A request whose KV cache of `memoryTokens` exceeds the largest
 * engine needs a gang.
 */
export function classifyLength(
  promptTokens: number,
  memoryTokens: number,
  largestEngineTokens: number,
): LengthClass {
  if (memoryTokens > largestEngineTokens) {
    return LengthClass.Gang;
  }
  if (promptTokens <= SHORT_PROMPT_TOKENS) {
    return LengthClass.Short;
  }
  return promptTokens <= MEDIUM_PROMPT_TOKENS ? LengthClass.Medium : LengthClass.Long;
}
