/**
 * Chance in placements. Nodes that decide on the same news would all choose the engine that is best by
 * it. The load that it answers: at 178 prompts a second nine arrive before news of the first one has
 * gone round, and with the best engine three slots better than all others, each of them chose it.
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import type { RandomLoss } from './PromptPlacer.js';

/** Chance for each node that may decide at the same moment … */
const JITTER_PER_NODE = 0.004;
/** … up to this. */
const MAX_JITTER = 0.2;
/** Unseen placements that the best engine may get; most engines have two slots free under load. */
const MAX_UNSEEN_ON_BEST = 1.5;
/** Engines are never hidden from more than this share of the placements. */
const MAX_SKIP_SHARE = 0.8;
/**
 * Loss of an engine that is left to others; over what slots make of a difference, and under the loss of
 * a late answer, so that nothing is placed late or refused for it.
 */
const SKIP_LOSS = 0.6;
const MS_PER_SECOND = 1_000;

/** What the spread of one placement depends on. */
export interface PlacementJitterInput {
  readonly random: RandomSource;
  /** Nodes that place prompts at the same time. */
  readonly liveNodes: number;
  /** Prompts that all nodes placed in the last second. */
  readonly placedPerSecond: number;
  /** Time until all nodes know of a placement. */
  readonly updateDelayMs: number;
}

/** Losses by chance for the engines of one placement. */
export function placementJitter(input: PlacementJitterInput): RandomLoss {
  const { liveNodes, updateDelayMs, placedPerSecond, random } = input;
  const spread = Math.min(MAX_JITTER, JITTER_PER_NODE * liveNodes);
  const unseen = (placedPerSecond * updateDelayMs) / MS_PER_SECOND;
  const hiddenShare = Math.min(MAX_SKIP_SHARE, Math.max(0, 1 - MAX_UNSEEN_ON_BEST / unseen));
  return () => random.next() * spread + (random.next() < hiddenShare ? SKIP_LOSS : 0);
}
