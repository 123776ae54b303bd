/**
 * The owner's estimate of the content of an engine's prefix cache. Cache events arrive late and
 * with gaps, so the estimate only shortens prefill estimates and is never used for memory
 * accounting. A gap in the events clears it.
 */
import { type CacheEvent, CacheEventKind } from '@tanagerdyke/contracts';
import { LRUCache } from 'lru-cache';
import type { PromptPrefix } from './Messages.js';

const MAX_CACHED_PREFIXES = 20_000;

/** The prefixes that one engine probably has cached. */
export class PrefixIndex {
  private readonly _prefixes = new LRUCache<string, true>({
    // `max` would allocate storage for all entries in advance; `maxSize` does not.
    maxSize: MAX_CACHED_PREFIXES,
    sizeCalculation: () => 1,
  });
  private _nextSequence = 0;

  /** Sequence number of the next event to apply. */
  public get nextSequence(): number {
    return this._nextSequence;
  }

  /** Applies events in order of their sequence numbers and skips those already applied. */
  public apply(events: readonly CacheEvent[]): void {
    const unseen = events.filter(({ sequence }) => sequence >= this._nextSequence);
    for (const { sequence, kind, prefix } of unseen) {
      if (sequence > this._nextSequence) {
        this._prefixes.clear();
      }
      this._nextSequence = sequence + 1;
      if (kind === CacheEventKind.Stored) {
        this._prefixes.set(prefix, true);
      } else {
        this._prefixes.delete(prefix);
      }
    }
  }

  /** Adds the prefixes that a granted request will store. */
  public addExpected(prefixes: readonly PromptPrefix[]): void {
    for (const { prefix } of prefixes) {
      this._prefixes.set(prefix, true);
    }
  }

  /** Length of the longest cached run of prefixes from the start of the prompt. */
  public match(prefixes: readonly PromptPrefix[]): number {
    let tokens = 0;
    for (const { prefix, tokens: segmentTokens } of prefixes) {
      if (!this._prefixes.has(prefix)) {
        break;
      }
      tokens += segmentTokens;
    }
    return tokens;
  }

  /** Discards all prefixes and the event position, because the engine restarted. */
  public clear(): void {
    this._prefixes.clear();
    this._nextSequence = 0;
  }
}
