/**
 * Estimates how long an engine takes to prefill and generate, from the figures of its profile.
 * Prefill takes time for each token and for each pair of a token and an earlier one. Generation
 * advances in passes of `stride` token steps, and the prefill done during a pass delays every
 * sequence in it.
 */
import type { EngineProfile } from '../Messages.js';
import type { ActiveRequest } from './ActiveRequestTable.js';

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Time to prefill a whole prompt on one idle engine, in milliseconds. */
export function prefillMs(profile: EngineProfile, promptTokens: number): number {
  const pairs = (promptTokens * promptTokens) / 2;
  const pairsMs = (pairs / PAIRS_PER_MILLION) * profile.msPerMillionPairs;
  return promptTokens / profile.prefillTokensPerMs + pairsMs;
}

/** Time of one pass without prefill, in milliseconds. */
export function passMs(profile: EngineProfile, sequences: number, contextTokens: number): number {
  const stepMs =
    profile.stepMs +
    sequences * profile.msPerSequence +
    (contextTokens / TOKENS_PER_THOUSAND) * profile.msPerThousandContextTokens;
  return stepMs * profile.stride;
}

/**
 * When an engine has prefilled its part of all requests, if it is idle only while it has none;
 * negative infinity when there are no requests.
 *
 * @param ordered requests in the order of their start
 * @param slowdown factor by which the engine is slower than configured
 */
export function prefillEndAt(ordered: readonly ActiveRequest[], slowdown = 1): number {
  return ordered.reduce(
    (end, { partPrefillMs, startedAt }) => Math.max(end, startedAt) + partPrefillMs * slowdown,
    Number.NEGATIVE_INFINITY,
  );
}
