/**
 * Asserts two invariants of at-most-once calls at run time: this node never dispatches one key
 * twice, and an attempt that was answered "not run" is never dispatched.
 */
import type { InvariantMonitor } from '@tanagerdyke/kernel';
import { LRUCache } from 'lru-cache';

/** Most recent keys, and most recent refused attempts, that are checked. */
const MAX_RECENT_ENTRIES = 10_000;

/** Checks each dispatch and refusal against the recent ones of this node. */
export class DispatchInvariants {
  private readonly _dispatchedKeys = new LRUCache<string, string>({ max: MAX_RECENT_ENTRIES });
  private readonly _refusedAttempts = new LRUCache<string, true>({ max: MAX_RECENT_ENTRIES });

  constructor(private readonly _invariants: InvariantMonitor) {}

  /** Must be called right before an attempt is sent. */
  public recordDispatch(key: string, attempt: string): void {
    const isFirst = !this._dispatchedKeys.has(key);
    this._invariants.check(isFirst, 'dispatch-at-most-once', { key, attempt });
    const wasRefused = this._refusedAttempts.has(attempt);
    this._invariants.check(!wasRefused, 'not-run-never-dispatched', { key, attempt });
    this._dispatchedKeys.set(key, attempt);
  }

  /** Allows another dispatch of the key: the target received no byte of the attempt. */
  public recordNothingSent(key: string): void {
    this._dispatchedKeys.delete(key);
  }

  /** Must be called right before an attempt is answered "not run". */
  public recordRefusal(key: string, attempt: string): void {
    const wasDispatched = this._dispatchedKeys.get(key) === attempt;
    this._invariants.check(!wasDispatched, 'not-run-never-dispatched', { key, attempt });
    this._refusedAttempts.set(attempt, true);
  }
}
