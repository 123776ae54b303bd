/**
 * Load news on the wire: positional and rounded, since every change goes to every node of a group.
 * Each node reads hundreds a second, so they are checked by hand: 17 µs a piece, 50 µs with a schema.
 */
import type { EngineWork } from './LoadBoard.js';

const GENERATING_FLAG = 1;
const SHARED_FLAG = 2;
const WORK_FIELDS = 10;

/**
 * Id, targets, part, age, time until due, flags, pause target, value, memory, context; times in
 * milliseconds from the moment of sending, memory and context in tokens.
 */
export type WireWork = readonly [
  id: string,
  targets: readonly string[],
  partMs: number,
  ageMs: number,
  dueInMs: number,
  flags: number,
  pauseTargetMs: number,
  value: number,
  memoryTokens: number,
  contextTokens: number,
];

/** What one node tells of its work. */
export interface WireLoad {
  readonly node: string;
  readonly works?: readonly WireWork[];
  /** Ids of work that began to generate. */
  readonly began?: readonly string[];
  readonly ended?: readonly string[];
  /** Ids of all work of the node. */
  readonly all?: readonly string[];
}

/** Load news as they came; nothing when they aren't ones. */
export function readLoad(params: unknown): WireLoad | undefined {
  if (!isRecord(params)) {
    return undefined;
  }
  const { all = [], began = [], ended = [], node, works = [] } = params;
  const isSound =
    typeof node === 'string' &&
    [all, began, ended].every(isTexts) &&
    Array.isArray(works) &&
    works.every(isWork);
  return isSound ? (params as unknown as WireLoad) : undefined;
}

/** Work for the wire. */
export function encodeWork(work: EngineWork, now: number): WireWork {
  return [
    work.id,
    work.targets,
    Math.round(work.partMs),
    Math.round(now - work.startedAt),
    Math.round(work.dueAt - now),
    (work.isGenerating ? GENERATING_FLAG : 0) | (work.isShared ? SHARED_FLAG : 0),
    work.pauseTargetMs,
    Math.round(work.value * 10) / 10,
    Math.round(work.memoryTokens),
    Math.round(work.contextTokens),
  ];
}

/** Work from the wire, with its times on the clock of this node. */
export function decodeWork(wire: WireWork, now: number): EngineWork {
  const [id, targets, partMs, ageMs, dueInMs, flags, pauseTargetMs, value, memory, context] = wire;
  return {
    id,
    targets,
    partMs,
    startedAt: now - ageMs,
    dueAt: now + dueInMs,
    isGenerating: (flags & GENERATING_FLAG) !== 0,
    isShared: (flags & SHARED_FLAG) !== 0,
    pauseTargetMs,
    value,
    memoryTokens: memory,
    contextTokens: context,
  };
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isTexts(value: unknown): boolean {
  return Array.isArray(value) && value.every((each) => typeof each === 'string');
}

function isWork(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== WORK_FIELDS) {
    return false;
  }
  const [id, targets, ...numbers] = value as unknown[];
  return typeof id === 'string' && isTexts(targets) && numbers.every(Number.isFinite);
}
