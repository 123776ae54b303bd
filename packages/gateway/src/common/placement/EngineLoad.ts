/**
 * The load of one engine at a moment, worked out from the work of all nodes: what it still has to
 * read, who generates there, and what memory is left.
 */
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { passMs } from './EngineModel.js';
import type { EngineWork } from './LoadBoard.js';

/** A prompt part that an engine has not read yet. */
export interface PendingRead {
  readonly work: EngineWork;
  /** When the engine is expected to have read it. */
  readonly endsAt: number;
}

/** The load of one engine. */
export interface EngineLoad {
  readonly entry: TargetEntry;
  /** Requests that generate here, or will. */
  readonly heads: number;
  /** Prompt parts of requests that generate elsewhere. */
  readonly helps: number;
  readonly generating: readonly EngineWork[];
  readonly reads: readonly PendingRead[];
  /** Time until all parts are read, in the order in which the engine reads them. */
  readonly backlogMs: number;
  /** Time until the parts of prompts that generate elsewhere are read; they go first. */
  readonly helpBacklogMs: number;
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
      const group = byTarget.get(target) ?? [];
      group.push(work);
      byTarget.set(target, group);
    }
  }
  return entries.map((entry) => loadOf(profile, entry, byTarget.get(entry.id) ?? [], now));
}

function loadOf(
  profile: EngineProfile,
  entry: TargetEntry,
  works: readonly EngineWork[],
  now: number,
): EngineLoad {
  const heads = works.filter(({ targets }) => targets[0] === entry.id);
  const generating = heads.filter(({ isGenerating }) => isGenerating);
  const holding = works.filter(({ isShared, targets }) => isShared || targets[0] === entry.id);
  const contextTokens = holding
    .filter(({ isGenerating }) => isGenerating)
    .reduce((sum, work) => sum + work.contextTokens, 0);
  const pending = works.filter(({ isGenerating }) => !isGenerating);
  const { backlogMs, helpBacklogMs, reads } = scheduleReads(entry.id, pending, now);
  return {
    entry,
    heads: heads.length,
    helps: works.length - heads.length,
    generating,
    reads,
    backlogMs,
    helpBacklogMs,
    passMs: passMs(profile, generating.length, contextTokens),
    memoryTokens: holding.reduce((sum, work) => sum + work.memoryTokens, 0),
  };
}

type Schedule = Pick<EngineLoad, 'reads' | 'backlogMs' | 'helpBacklogMs'>;

/**
 * An engine reads parts for other engines before those of its own prompts, whenever they arrive. What
 * should be done but isn't reported yet counts as done now.
 */
function scheduleReads(target: string, works: readonly EngineWork[], now: number): Schedule {
  const ordered = [...works].sort((a, b) => a.startedAt - b.startedAt);
  const helps = ordered.filter(({ targets }) => targets[0] !== target);
  const heads = ordered.filter(({ targets }) => targets[0] === target);
  const backlogMs = Math.max(0, endOf(ordered) - now);
  const helpBacklogMs = Math.max(0, endOf(helps) - now);
  let helpEnd = Number.NEGATIVE_INFINITY;
  const helpReads = helps.map((work) => {
    helpEnd = Math.max(helpEnd, work.startedAt) + work.partMs;
    return { work, endsAt: Math.max(helpEnd, now) };
  });
  // What is left of the own prompts is left of the last ones.
  let headEnd = now + backlogMs;
  let leftMs = backlogMs - helpBacklogMs;
  const headReads = [...heads].reverse().map((work) => {
    const endsAt = headEnd;
    const remainingMs = Math.min(work.partMs, leftMs);
    headEnd -= remainingMs;
    leftMs -= remainingMs;
    return { work, endsAt };
  });
  return { reads: [...helpReads, ...headReads.reverse()], backlogMs, helpBacklogMs };
}

/** When an engine that never idles while it has work is done with all of it. */
function endOf(ordered: readonly EngineWork[]): number {
  return ordered.reduce(
    (end, { partMs, startedAt }) => Math.max(end, startedAt) + partMs,
    Number.NEGATIVE_INFINITY,
  );
}
