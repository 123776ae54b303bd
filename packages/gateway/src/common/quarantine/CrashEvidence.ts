/**
 * Decides when crashes of targets are attributed to what their requests have in common: a part of
 * prompts, or the content of one request that comes again. Load pattern: a target that crashes breaks
 * all that it runs, most of which is sound, and sound prompts share parts with those that crash
 * engines. Sound requests are answered between crashes, and what crashes targets never is. A broken
 * connection alone is no crash: a target that answers a request sent after it was still there.
 */
import { LRUCache } from 'lru-cache';
import { isFingerprint } from './RequestFingerprint.js';

/** Crashes closer to each other may have one cause outside the requests, such as a power loss. */
const MOMENT_MS = 150;
/** Crashes further apart are not related. */
const WINDOW_MS = 60_000;
/** A target that crashed needs longer than this until it answers again. */
const MIN_RESTART_MS = 1_000;
/** More targets than another request crashed with it are needed if both crashed the same ones. */
const MARGIN_IF_AMBIGUOUS = 2;
const MAX_CAUSES = 1_000;
const MAX_EXPLAINED_TARGETS = 1_000;
const MAX_CRASHES_PER_CAUSE = 50;
/** A cause with which requests were answered a while ago is in crashes by chance more often. */
export const MIN_TARGETS_IF_ANSWERED = 12;

/** What crashes can be attributed to. */
export enum CauseKind {
  /** A part that several prompts have. */
  Part = 'part',
  /** The content of one request. */
  Request = 'request',
}

/** What it takes to attribute crashes to a cause under which nothing was answered lately. */
interface Threshold {
  readonly targets: number;
  /** Ids of requests; one that comes again has a new one. */
  readonly requests: number;
  readonly moments: number;
}

const THRESHOLDS: Readonly<Record<CauseKind, Threshold>> = {
  [CauseKind.Part]: { targets: 4, requests: 3, moments: 3 },
  [CauseKind.Request]: { targets: 3, requests: 1, moments: 2 },
};

export function kindOfCause(cause: string): CauseKind {
  return isFingerprint(cause) ? CauseKind.Request : CauseKind.Part;
}

/** A target that crashed under a request. */
export interface TargetCrash {
  /** Identifies one instance of the target. */
  readonly target: string;
  readonly request: string;
  /** What the crash may be attributed to: shared parts of the prompt, and fingerprints. */
  readonly causes: readonly string[];
}

interface CrashRecord {
  readonly target: string;
  readonly request: string;
  readonly at: number;
}

/** The crashes under each cause since it was last in an answer. Times in ms, of one clock. */
export class CrashEvidence {
  private readonly _crashes = new LRUCache<string, readonly CrashRecord[]>({ max: MAX_CAUSES });

  /** Targets whose crashes are attributed to a cause, and so don't count against other ones. */
  private _lastCrashAt = Number.NEGATIVE_INFINITY;
  private readonly _explained = new LRUCache<string, true>({ max: MAX_EXPLAINED_TARGETS });

  /** Adds a crash; a report of it that arrives again counts once. */
  public add({ request, target }: TargetCrash, cause: string, at: number): void {
    this._lastCrashAt = at;
    const recent = this._recentOf(cause, at).slice(-MAX_CRASHES_PER_CAUSE);
    const isKnown = recent.some((each) => each.target === target && each.request === request);
    if (!isKnown && !this._explained.has(target)) {
      this._crashes.set(cause, [...recent, { target, request, at }]);
    }
  }

  /**
   * Attributes the crashes of a cause to it, and drops them from all other requests. A part of a
   * prompt that crashed targets keeps them: other prompts may have it, too.
   */
  public explain(cause: string): void {
    const crashes = this._crashes.get(cause) ?? [];
    const targets = targetsOf(crashes);
    const requests = new Set(crashes.map(({ request }) => request));
    for (const target of targets) {
      this._explained.set(target, true);
    }
    const isPart = kindOfCause(cause) === CauseKind.Part;
    this._drop(({ request, target }) => targets.has(target) && (isPart || !requests.has(request)));
  }

  /** Drops the crashes of targets that ended under a cause which is known to crash them. */
  public explainTargets(targets: readonly string[]): void {
    for (const target of targets) {
      this._explained.set(target, true);
    }
    this._drop(({ target }) => targets.includes(target));
  }

  /**
   * Drops the supposed crashes of a target that answered a request which was sent soon after them.
   * Returns whether there were any.
   */
  public refute(target: string, sentAt: number): boolean {
    if (sentAt - this._lastCrashAt >= MIN_RESTART_MS) {
      return false;
    }
    return this._drop(
      (crash) => crash.target === target && crash.at < sentAt && sentAt - crash.at < MIN_RESTART_MS,
    );
  }

  /**
   * Drops the crashes of a cause before the time at which a request with it was answered. Returns
   * whether there were any.
   */
  public clear(cause: string, answeredAt: number): boolean {
    const crashes = this._crashes.get(cause) ?? [];
    const later = crashes.filter(({ at }) => at > answeredAt);
    if (later.length < crashes.length) {
      this._crashes.set(cause, later);
    }
    return later.length < crashes.length;
  }

  /** Number of targets that crashed under requests with the cause. */
  public countTargets(cause: string, now: number): number {
    return targetsOf(this._recentOf(cause, now)).size;
  }

  /**
   * Whether the crashes can hardly have another cause.
   *
   * @param wasAnswered whether a request with the cause was answered in the last minute
   */
  public isConclusive(cause: string, now: number, wasAnswered: boolean): boolean {
    const threshold = THRESHOLDS[kindOfCause(cause)];
    const crashes = this._recentOf(cause, now);
    const minTargets = wasAnswered ? MIN_TARGETS_IF_ANSWERED : threshold.targets;
    return (
      targetsOf(crashes).size >= minTargets &&
      new Set(crashes.map(({ request }) => request)).size >= threshold.requests &&
      countMoments(crashes) >= threshold.moments
    );
  }

  /** Whether another request was on all targets that crashed, and may as well be the cause. */
  public isAmbiguous(cause: string, now: number): boolean {
    const crashes = this._recentOf(cause, now);
    const targets = targetsOf(crashes);
    const requests = new Set(crashes.map(({ request }) => request));
    const others = [...this._crashes.keys()].filter(isFingerprint);
    return others.some((other) => {
      const otherCrashes = this._recentOf(other, now);
      if (otherCrashes.some(({ request }) => requests.has(request))) {
        return false;
      }
      const otherTargets = targetsOf(otherCrashes);
      const isCovered = [...targets].every((target) => otherTargets.has(target));
      const maxTargets = THRESHOLDS[CauseKind.Request].targets + MARGIN_IF_AMBIGUOUS;
      return isCovered && (otherTargets.size > targets.size || targets.size < maxTargets);
    });
  }

  private _drop(isDropped: (crash: CrashRecord) => boolean): boolean {
    let hasDropped = false;
    for (const [cause, crashes] of this._crashes.entries()) {
      const kept = crashes.filter((crash) => !isDropped(crash));
      if (kept.length < crashes.length) {
        this._crashes.set(cause, kept);
        hasDropped = true;
      }
    }
    return hasDropped;
  }

  private _recentOf(cause: string, now: number): readonly CrashRecord[] {
    return (this._crashes.get(cause) ?? []).filter(({ at }) => now - at < WINDOW_MS);
  }
}

function targetsOf(crashes: readonly CrashRecord[]): ReadonlySet<string> {
  return new Set(crashes.map(({ target }) => target));
}

/** Number of crashes of which each follows the one before after `MOMENT_MS` at least. */
function countMoments(crashes: readonly CrashRecord[]): number {
  let count = 0;
  let lastAt = Number.NEGATIVE_INFINITY;
  for (const { at } of crashes) {
    if (at - lastAt >= MOMENT_MS) {
      count++;
      lastAt = at;
    }
  }
  return count;
}
