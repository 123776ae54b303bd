/**
 * How long an engine takes, from the figures of its profile. Prefill costs time for each token and
 * for each pair of a token and an earlier one. Generation advances in passes of `stride` token
 * steps, and the prefill that a pass carries delays every sequence of that pass.
 */
import type { EngineProfile } from '../Messages.js';
import type { EngineWork } from './LoadBoard.js';

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Time to read a whole prompt on one idle engine, in milliseconds. */
export function prefillMs(profile: EngineProfile, promptTokens: number): number {
  const pairs = (promptTokens * promptTokens) / 2;
  const pairsMs = (pairs / PAIRS_PER_MILLION) * profile.pairsMillionMs;
  return promptTokens / profile.prefillTokensPerMs + pairsMs;
}

/** Time of one pass that carries no prefill, in milliseconds. */
export function passMs(profile: EngineProfile, sequences: number, contextTokens: number): number {
  const stepMs =
    profile.stepMs +
    sequences * profile.sequenceMs +
    (contextTokens / TOKENS_PER_THOUSAND) * profile.contextThousandMs;
  return stepMs * profile.stride;
}

/**
 * When an engine that never idles while it has work has read all of it; minus infinity without any.
 *
 * @param ordered by their start
 */
export function prefillEndAt(ordered: readonly EngineWork[]): number {
  return ordered.reduce(
    (end, { partPrefillMs, startedAt }) => Math.max(end, startedAt) + partPrefillMs,
    Number.NEGATIVE_INFINITY,
  );
}
