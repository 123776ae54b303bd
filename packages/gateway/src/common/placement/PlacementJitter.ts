/**
 * Randomises placements, so that nodes which place prompts on the same load updates do not all
 * choose the engine that these show as the best. At 178 prompts a second, nine arrive before every
 * node has the update about the first one; when the best engine is three slots better than all
 * others, each of the nine would be placed on it.
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import type { RandomLoss } from './PromptPlacer.js';

/** Upper limit of the random loss per live node, since each may place a prompt at the same time. */
const JITTER_PER_NODE = 0.004;
/** Upper limit of the random loss for any number of live nodes. */
const MAX_JITTER = 0.2;
/**
 * Placements that the best engine may get before the updates about them are received. Under load
 * most engines have two slots free.
 */
const MAX_UNSEEN_ON_BEST = 1.5;
/** Largest share of the placements that may skip an engine. */
const MAX_SKIP_SHARE = 0.8;
/**
 * Loss for an engine that is skipped, to leave it to other nodes. It exceeds any difference that
 * the number of slots taken makes, and is below the loss of a late answer, so that no prompt is
 * placed late or refused because of it.
 */
const SKIP_LOSS = 0.6;
const MS_PER_SECOND = 1_000;

/** What other nodes may be placing at the time of a placement. */
export interface PlacementJitterInput {
  readonly random: RandomSource;
  /** Nodes that place prompts at the same time. */
  readonly liveNodes: number;
  /** Prompts that all nodes placed in the last second. */
  readonly placedPerSecond: number;
  /** Time until all nodes have received the update about a placement. */
  readonly updateDelayMs: number;
}

/** Returns the source of the random losses of the engines in one placement. */
export function placementJitter(input: PlacementJitterInput): RandomLoss {
  const { liveNodes, updateDelayMs, placedPerSecond, random } = input;
  const jitter = Math.min(MAX_JITTER, JITTER_PER_NODE * liveNodes);
  const unseenPlacements = (placedPerSecond * updateDelayMs) / MS_PER_SECOND;
  const skipShare = Math.min(
    MAX_SKIP_SHARE,
    Math.max(0, 1 - MAX_UNSEEN_ON_BEST / unseenPlacements),
  );
  return () => random.next() * jitter + (random.next() < skipShare ? SKIP_LOSS : 0);
}
