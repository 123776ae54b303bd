/**
 * Replays the entries of one claim stream in log order, with the same result at every reader: the
 * first claim of a key holds it until its own attempt releases it, and only the holder's outcome is
 * accepted. A claim is never taken over, because it may have been dispatched. A release that
 * precedes its claim in the log voids the attempt, so that a claim delayed on its way to the log
 * can't hold the key.
 */
import { type Entry, EntryKind, type KeyState, KeyStatus } from './Messages.js';

/** The states of the keys of one shard. */
export class ClaimIndex {
  private readonly _keys = new Map<string, KeyState>();
  /** Keys by released attempts: a claim that follows its own release has no effect. */
  private readonly _keysByVoidedAttempt = new Map<string, string>();

  public get size(): number {
    return this._keys.size;
  }

  public find(key: string): KeyState | undefined {
    return this._keys.get(key);
  }

  /** Applies one entry and returns the resulting state of its key. */
  public apply(entry: Entry): KeyState | undefined {
    const current = this._keys.get(entry.key);
    const next = this._transitions[entry.kind](entry, current);
    if (next !== undefined) {
      this._keys.set(entry.key, next);
    }
    return next;
  }

  /** Removes the keys for which `isExpired` holds. */
  public expire(isExpired: (key: string) => boolean): void {
    for (const key of this._keys.keys()) {
      if (isExpired(key)) {
        this._keys.delete(key);
      }
    }
    for (const [attempt, key] of this._keysByVoidedAttempt) {
      if (isExpired(key)) {
        this._keysByVoidedAttempt.delete(attempt);
      }
    }
  }

  private readonly _transitions: Record<EntryKind, Transition> = {
    [EntryKind.Claim]: (entry, current) => {
      const isFree = current === undefined || current.status === KeyStatus.Released;
      const isVoid = this._keysByVoidedAttempt.has(entry.attempt);
      if (!isFree || isVoid || entry.kind !== EntryKind.Claim) {
        return current;
      }
      const { attempt, bodyDigest, node, incarnation } = entry;
      return { status: KeyStatus.Claimed, attempt, bodyDigest, node, incarnation };
    },
    [EntryKind.Outcome]: (entry, current) => {
      const isAccepted = isFromHolder(entry, current) || resolvesUnknownOutcome(entry, current);
      if (!isAccepted || entry.kind !== EntryKind.Outcome) {
        return current;
      }
      const status = entry.answer === undefined ? KeyStatus.Unknown : KeyStatus.Done;
      return { ...current, status, answer: entry.answer };
    },
    [EntryKind.Release]: (entry, current) => {
      this._keysByVoidedAttempt.set(entry.attempt, entry.key);
      if (!isFromHolder(entry, current)) {
        return current;
      }
      return { ...current, status: KeyStatus.Released };
    },
  };
}

type Transition = (entry: Entry, current: KeyState | undefined) => KeyState | undefined;

/** Whether the entry is from the attempt that ended without an answer, which may still be found. */
function resolvesUnknownOutcome(entry: Entry, current: KeyState | undefined): current is KeyState {
  return current?.status === KeyStatus.Unknown && current.attempt === entry.attempt;
}

/** Whether the entry is from the attempt that holds the claim and has no outcome yet. */
function isFromHolder(entry: Entry, current: KeyState | undefined): current is KeyState {
  return current?.status === KeyStatus.Claimed && current.attempt === entry.attempt;
}
