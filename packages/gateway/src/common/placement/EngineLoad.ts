/**
 * The load of one engine at a moment, worked out from the work of all nodes: what it still has to
 * read, who generates there, and what memory is left.
 */
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { scheduleDelayMs } from './ScheduleDelay.js';
import { passMs, prefillEndAt } from './EngineTiming.js';
import type { EngineWork } from './LoadBoard.js';

/** A prompt part that an engine has not read yet. */
export interface PendingPrefill {
  readonly request: EngineWork;
  /** When the engine is expected to have read it. */
  readonly endsAt: number;
}

/** The load of one engine. */
export interface EngineLoad {
  readonly entry: TargetEntry;
  /** Requests that generate here, or will. */
  readonly primaryRequests: readonly EngineWork[];
  /** Prompt parts of requests that generate elsewhere. */
  readonly assistingPrefills: number;
  /** Requests that generate here. */
  readonly generating: number;
  /** Parts of prompts that will generate here. */
  readonly primaryPrefills: readonly PendingPrefill[];
  /** Time until all parts are read, in the order in which the engine reads them. */
  readonly backlogMs: number;
  /** Time until the parts of prompts that generate elsewhere are read; they go first. */
  readonly assistingBacklogMs: number;
  /** How long the engine has been behind this schedule; it is expected to stay so as long again. */
  readonly scheduleDelayMs: number;
  /** Time of a pass without prefill. */
  readonly passMs: number;
  readonly memoryTokens: number;
}

/** Loads of engines by their id, in the order of `entries`. */
export function computeLoads(
  profile: EngineProfile,
  entries: readonly TargetEntry[],
  works: readonly EngineWork[],
  now: number,
): EngineLoad[] {
  const byTarget = new Map<string, EngineWork[]>();
  for (const work of works) {
    for (const target of work.targets) {
      const group = byTarget.get(target);
      if (group === undefined) {
        byTarget.set(target, [work]);
      } else {
        group.push(work);
      }
    }
  }
  return entries.map((entry) => computeLoad(profile, entry, byTarget.get(entry.id) ?? [], now));
}

function computeLoad(
  profile: EngineProfile,
  entry: TargetEntry,
  works: readonly EngineWork[],
  now: number,
): EngineLoad {
  const heads: EngineWork[] = [];
  const pending: EngineWork[] = [];
  let generating = 0;
  let contextTokens = 0;
  let memoryTokens = 0;
  for (const work of works) {
    const isHead = work.targets[0] === entry.id;
    const holdsMemory = isHead || work.isMemoryShared;
    if (isHead) {
      heads.push(work);
      generating += work.isGenerating ? 1 : 0;
    }
    if (holdsMemory) {
      memoryTokens += work.memoryTokens;
      contextTokens += work.isGenerating ? work.contextTokens : 0;
    }
    if (!work.isGenerating) {
      pending.push(work);
    }
  }
  const loadPassMs = passMs(profile, generating, contextTokens);
  const alone = heads.filter(({ targets }) => targets.length === 1);
  return {
    ...schedulePrefills(entry.id, pending, now),
    entry,
    primaryRequests: heads,
    assistingPrefills: works.length - heads.length,
    generating,
    scheduleDelayMs: scheduleDelayMs(alone, loadPassMs, now),
    passMs: loadPassMs,
    memoryTokens,
  };
}

type PrefillSchedule = Pick<EngineLoad, 'primaryPrefills' | 'backlogMs' | 'assistingBacklogMs'>;

/**
 * An engine reads parts for other engines before those of its own prompts, whenever they arrive. What
 * should be done but isn't reported yet counts as done now.
 */
function schedulePrefills(
  target: string,
  works: readonly EngineWork[],
  now: number,
): PrefillSchedule {
  const ordered = [...works].sort((a, b) => a.startedAt - b.startedAt);
  const helps = ordered.filter(({ targets }) => targets[0] !== target);
  const heads = ordered.filter(({ targets }) => targets[0] === target);
  const backlogMs = Math.max(0, prefillEndAt(ordered) - now);
  const helpBacklogMs = Math.max(0, prefillEndAt(helps) - now);
  // What is left of the own prompts is left of the last ones.
  let headEnd = now + backlogMs;
  let leftMs = backlogMs - helpBacklogMs;
  const ownReads = heads.reverse().map((work) => {
    const endsAt = headEnd;
    const remainingMs = Math.min(work.partPrefillMs, leftMs);
    headEnd -= remainingMs;
    leftMs -= remainingMs;
    return { request: work, endsAt };
  });
  return { primaryPrefills: ownReads.reverse(), backlogMs, assistingBacklogMs: helpBacklogMs };
}
