/**
 * Randomises the placements of a node that decides alone. Load pattern: all nodes of a fleet restart
 * under load, or lose their coordinators. Each then has records of its own requests only, and if all
 * chose the engine that these show as the best, it would get the prompts of every node. So each placement
 * considers a random part of the engines.
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import type { RandomLoss } from './PromptPlacer.js';

/** Share of the engines that a placement skips, to leave them to other nodes. */
const SKIP_SHARE = 0.8;
/**
 * Loss for an engine that is skipped. It exceeds any difference that the number of slots taken
 * makes, and is below the loss of a late answer, so that no prompt is placed late or refused because
 * of it.
 */
const SKIP_LOSS = 0.6;
/** Upper limit of the random loss of the other engines. */
const MAX_JITTER = 0.2;

/** Returns the source of the random losses of the engines in one placement. */
export function placementJitter(random: RandomSource): RandomLoss {
  return () => random.next() * MAX_JITTER + (random.next() < SKIP_SHARE ? SKIP_LOSS : 0);
}
