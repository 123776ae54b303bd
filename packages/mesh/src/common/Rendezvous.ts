/**
 * Rendezvous hashing (Thaler and Ravishankar 1998): all nodes with the same members select the same
 * member for a key, and removing a member moves only the keys that it had.
 */
import { createHash } from 'node:crypto';
import { LRUCache } from 'lru-cache';

const CACHED_SCORES = 50_000;
const scores = new LRUCache<string, number>({ max: CACHED_SCORES });

/** Orders `names` by their score for `key`, highest first. */
export function rankByRendezvous(key: string, names: readonly string[]): readonly string[] {
  const scored = names.map((name) => ({ name, score: scoreOf(key, name) }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(({ name }) => name);
}

function scoreOf(key: string, name: string): number {
  const cacheKey = `${key}\n${name}`;
  let score = scores.get(cacheKey);
  if (score === undefined) {
    score = createHash('sha256').update(cacheKey).digest().readUInt32BE(0);
    scores.set(cacheKey, score);
  }
  return score;
}
