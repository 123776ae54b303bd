/**
 * Load news on the wire: positional and rounded, since every change goes to every node of a group.
 * Each node reads hundreds a second, so they are checked by hand: 17 µs a piece, 50 µs with a schema.
 */
import type { EngineWork } from './LoadBoard.js';

const GENERATING_FLAG = 1;
const SHARED_FLAG = 2;
const REQUEST_FIELDS = 10;

/**
 * Id, targets, part, age, time until due, flags, pause target, value, memory, context; times in
 * milliseconds from the moment of sending, memory and context in tokens.
 */
export type WireRequest = readonly [
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
export interface WireLoadUpdate {
  readonly node: string;
  readonly works?: readonly WireRequest[];
  /** Ids of work that began to generate. */
  readonly began?: readonly string[];
  readonly ended?: readonly string[];
  /** Ids of all work of the node. */
  readonly all?: readonly string[];
}

/** Load news as they came; nothing when they aren't ones. */
export function parseLoadUpdate(params: unknown): WireLoadUpdate | undefined {
  if (!isRecord(params)) {
    return undefined;
  }
  const { all = [], began = [], ended = [], node, works = [] } = params;
  const isSound =
    typeof node === 'string' &&
    [all, began, ended].every(isStringArray) &&
    Array.isArray(works) &&
    works.every(isWireRequest);
  return isSound ? (params as unknown as WireLoadUpdate) : undefined;
}

/** Work for the wire. */
export function encodeRequest(work: EngineWork, now: number): WireRequest {
  return [
    work.id,
    work.targets,
    Math.round(work.partPrefillMs),
    Math.round(now - work.startedAt),
    Math.round(work.dueAt - now),
    (work.isGenerating ? GENERATING_FLAG : 0) | (work.isMemoryShared ? SHARED_FLAG : 0),
    work.pauseTargetMs,
    Math.round(work.value * 10) / 10,
    Math.round(work.memoryTokens),
    Math.round(work.contextTokens),
  ];
}

/** Work from the wire, with its times on the clock of this node. */
export function decodeRequest(wire: WireRequest, now: number): EngineWork {
  const [id, targets, partMs, ageMs, dueInMs, flags, pauseTargetMs, value, memory, context] = wire;
  return {
    id,
    targets,
    partPrefillMs: partMs,
    startedAt: now - ageMs,
    dueAt: now + dueInMs,
    isGenerating: (flags & GENERATING_FLAG) !== 0,
    isMemoryShared: (flags & SHARED_FLAG) !== 0,
    pauseTargetMs,
    value,
    memoryTokens: memory,
    contextTokens: context,
  };
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isStringArray(value: unknown): boolean {
  return Array.isArray(value) && value.every((each) => typeof each === 'string');
}

function isWireRequest(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== REQUEST_FIELDS) {
    return false;
  }
  const [id, targets, ...numbers] = value as unknown[];
  return typeof id === 'string' && isStringArray(targets) && numbers.every(Number.isFinite);
}
