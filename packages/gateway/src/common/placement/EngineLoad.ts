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
  /** Time until all parts are read. */
  readonly backlogMs: number;
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
  const reads = scheduleReads(
    works.filter(({ isGenerating }) => !isGenerating),
    now,
  );
  const lastEnd = reads.at(-1)?.endsAt ?? now;
  return {
    entry,
    heads: heads.length,
    helps: works.length - heads.length,
    generating,
    reads,
    backlogMs: Math.max(0, lastEnd - now),
    passMs: passMs(profile, generating.length, contextTokens),
    memoryTokens: holding.reduce((sum, work) => sum + work.memoryTokens, 0),
  };
}

/** Reads follow each other; what should be done but isn't reported yet counts as done now. */
function scheduleReads(works: readonly EngineWork[], now: number): PendingRead[] {
  const ordered = [...works].sort((a, b) => a.startedAt - b.startedAt);
  let cursor = Number.NEGATIVE_INFINITY;
  return ordered.map((work) => {
    cursor = Math.max(cursor, work.startedAt) + work.partMs;
    return { work, endsAt: Math.max(cursor, now) };
  });
}
