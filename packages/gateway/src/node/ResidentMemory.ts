/**
 * Watches the resident memory of the process, which is what its host limits. V8 lets garbage grow up
 * to the limit of its heap, and keeps released Buffers until a collection that their size alone does
 * not cause, so that a process with little in use can exceed the memory of a small host. Near that
 * limit, a collection is forced.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Clock } from '@tanagerdyke/kernel';

/** Reading the resident memory takes some 20 µs. */
const CHECK_INTERVAL_MS = 20;
/** Time between two collections, in durations of the last one, which takes 30 to 100 ms. */
const INTERVAL_FACTOR = 5;
/** The same above this share of the limit, where exceeding the limit would be worse. */
const URGENT_INTERVAL_FACTOR = 1;
const URGENT_SHARE = 0.88;
/** Share of the limit from which garbage is collected; crowds cause up to 100 MB of it in a second. */
const COLLECTION_SHARE = 0.75;
/** Garbage beyond what a collection left that is worth the next one. */
const WORTHWHILE_BYTES = 12_000_000;

export interface ResidentMemoryOptions {
  readonly clock: Clock;
  readonly limitBytes: number;
  readonly onRead: (bytes: number) => void;
  readonly onCollected: () => void;
}

/** Reads the resident memory and forces collections. */
export class ResidentMemory {
  private _checkedAt = Number.NEGATIVE_INFINITY;
  private _collectsFrom = Number.NEGATIVE_INFINITY;
  private _thresholdBytes: number;
  private _collect: (() => void) | undefined;

  constructor(private readonly _options: ResidentMemoryOptions) {
    this._thresholdBytes = _options.limitBytes * COLLECTION_SHARE;
  }

  /** May be called at any rate; reads the memory at most every 20 ms. */
  public check(): void {
    const { clock, limitBytes, onCollected, onRead } = this._options;
    const now = clock.now();
    if (now - this._checkedAt < CHECK_INTERVAL_MS) {
      return;
    }
    this._checkedAt = now;
    let bytes = process.memoryUsage.rss();
    if (bytes > this._thresholdBytes && now >= this._collectsFrom) {
      this._collect ??= exposeCollection();
      this._collect();
      const endedAt = clock.now();
      bytes = process.memoryUsage.rss();
      const factor = bytes > limitBytes * URGENT_SHARE ? URGENT_INTERVAL_FACTOR : INTERVAL_FACTOR;
      this._collectsFrom = endedAt + (endedAt - now) * factor;
      // What is left is in use, so that the same share would cause collections without an end.
      this._thresholdBytes = Math.max(limitBytes * COLLECTION_SHARE, bytes + WORTHWHILE_BYTES);
      onCollected();
    }
    onRead(bytes);
  }
}

/** Node.js offers the collector only to programs that set this flag. */
function exposeCollection(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
