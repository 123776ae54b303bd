/**
 * Decides when crashes of engines are attributed to a part that their prompts have in common. Load
 * pattern: an engine that crashes breaks all its streams, most of which are sound, and sound prompts
 * share parts with those that crash engines. Prompts with a sound part are answered between crashes;
 * prompts with a part that crashes engines never are.
 */
import { LRUCache } from 'lru-cache';

/** Crashes closer to each other may have one cause outside the prompts, such as a power loss. */
const MOMENT_MS = 150;
const MIN_MOMENTS = 3;
const MIN_ENGINES = 4;
/** A part under which prompts were answered a while ago is in crashes by chance more often. */
export const MIN_ENGINES_IF_ANSWERED = 12;
const MIN_REQUESTS = 3;
/** Crashes further apart are not related. */
const WINDOW_MS = 60_000;
const MAX_PARTS = 1_000;
const MAX_EXPLAINED_ENGINES = 1_000;
const MAX_CRASHES_PER_PART = 50;

/** An engine that crashed as it began to write the answer to a prompt. */
export interface PromptCrash {
  /** Identifies one instance of the engine. */
  readonly engine: string;
  readonly request: string;
  /** Ids of the parts of the prompt that other prompts may have, too. */
  readonly parts: readonly string[];
}

interface CrashRecord {
  readonly engine: string;
  readonly request: string;
  readonly at: number;
}

/** The crashes under prompts with each part since one was last answered. Times in ms, of one clock. */
export class CrashEvidence {
  private readonly _crashes = new LRUCache<string, readonly CrashRecord[]>({ max: MAX_PARTS });

  /** Engines whose crashes are attributed to a part, and so don't count against other ones. */
  private readonly _explained = new LRUCache<string, true>({ max: MAX_EXPLAINED_ENGINES });

  public add({ engine, request }: PromptCrash, part: string, at: number): void {
    if (this._explained.has(engine)) {
      return;
    }
    const recent = this._recentOf(part, at).slice(-MAX_CRASHES_PER_PART);
    this._crashes.set(part, [...recent, { engine, request, at }]);
  }

  /** Attributes the crashes of a part to it, and drops them from all other parts. */
  public explain(part: string): void {
    this.explainEngines((this._crashes.get(part) ?? []).map(({ engine }) => engine));
  }

  /** Drops the crashes of engines that ended under a part which is known to cause that. */
  public explainEngines(engines: readonly string[]): void {
    for (const engine of engines) {
      this._explained.set(engine, true);
    }
    for (const [part, crashes] of this._crashes.entries()) {
      const unexplained = crashes.filter(({ engine }) => !engines.includes(engine));
      if (unexplained.length < crashes.length) {
        this._crashes.set(part, unexplained);
      }
    }
  }

  /**
   * Drops the crashes of a part before the time at which a prompt with it was answered. Returns
   * whether there were any.
   */
  public clear(part: string, answeredAt: number): boolean {
    const crashes = this._crashes.get(part) ?? [];
    const later = crashes.filter(({ at }) => at > answeredAt);
    if (later.length < crashes.length) {
      this._crashes.set(part, later);
    }
    return later.length < crashes.length;
  }

  /** Number of engines that crashed under prompts with the part. */
  public countEngines(part: string, now: number): number {
    return new Set(this._recentOf(part, now).map(({ engine }) => engine)).size;
  }

  /**
   * Whether the crashes can hardly have another cause than the part.
   *
   * @param wasAnswered whether a prompt with the part was answered in the last minute
   */
  public isConclusive(part: string, now: number, wasAnswered: boolean): boolean {
    const crashes = this._recentOf(part, now);
    return (
      this.countEngines(part, now) >= (wasAnswered ? MIN_ENGINES_IF_ANSWERED : MIN_ENGINES) &&
      new Set(crashes.map(({ request }) => request)).size >= MIN_REQUESTS &&
      countMoments(crashes) >= MIN_MOMENTS
    );
  }

  private _recentOf(part: string, now: number): readonly CrashRecord[] {
    return (this._crashes.get(part) ?? []).filter(({ at }) => now - at < WINDOW_MS);
  }
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
