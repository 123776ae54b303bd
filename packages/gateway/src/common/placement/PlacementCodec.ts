/**
 * The wire format of placement requests and answers between an entry node and a coordinator. Each
 * message fits one datagram. Messages are validated by hand, since a coordinator receives many.
 */
import type { EngineProfile, TargetEntry } from '../Messages.js';
import {
  type ExpectedAnswer,
  type PlacementRefusal,
  type PromptRequest,
  RefusedPrompt,
  UnusableChoice,
} from './PlacementDecision.js';
import type { PromptPlacement } from './PromptPlacer.js';

export const PLACE_METHOD = 'place';
export const PLACED_METHOD = 'placed';
export const CANCEL_METHOD = 'place.cancel';

/** Most engine ids that a list of a request may have, to fit one datagram. */
export const MAX_LISTED_ENGINES = 20;

/** A prompt to be placed; times are relative to the time of sending. */
export interface WirePlacementRequest {
  /** Name and peer address of the entry node. */
  readonly node: string;
  readonly from: string;
  readonly id: string;
  readonly service: string;
  /** Zone of the cell; `null` for a cell that spans zones. */
  readonly cell: string | null;
  readonly zone: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** What the answer is expected to take; absent if nothing is learned, and in earlier releases. */
  readonly expectedTokens?: number;
  readonly generationMs?: number;
  readonly latencyTargetMs: number;
  readonly pauseTargetMs: number;
  readonly dueInMs: number;
  readonly deadlineInMs: number;
  /** Time for which the prompt may wait for capacity. */
  readonly waitMs: number;
  readonly workspace: string;
  readonly isReturning: boolean;
  readonly excluded: readonly string[];
  readonly suspects: readonly string[];
}

/** Withdraws a request. */
export interface WireCancellation {
  readonly node: string;
  readonly id: string;
}

/** What a coordinator answers; repeated for each copy of the request. */
export type WirePlacementAnswer = WireWaiting | WirePlaced | WireRefused;

/** The prompt is in the queue. */
export interface WireWaiting {
  readonly id: string;
  readonly state: 'waiting';
}

/** The prompt is placed; all other fields are those of `PromptPlacement`. */
export interface WirePlaced {
  readonly id: string;
  readonly state: 'placed';
  readonly targets: readonly string[];
  readonly reservedTokens: number;
  readonly partPrefillMs: number;
  readonly firstEventMs: number;
  readonly loss: number;
  readonly cost: number;
}

export interface WireRefused {
  readonly id: string;
  readonly state: 'refused';
  readonly refusal: PlacementRefusal;
  readonly engines: number;
  readonly retryAfterMs: number;
  readonly ahead: number;
}

const REQUEST_TEXTS = ['node', 'from', 'id', 'service', 'zone', 'workspace'] as const;
const REQUEST_NUMBERS = [
  'promptTokens',
  'outputTokens',
  'latencyTargetMs',
  'pauseTargetMs',
  'dueInMs',
  'deadlineInMs',
  'waitMs',
] as const;
const OPTIONAL_REQUEST_NUMBERS = ['expectedTokens', 'generationMs'] as const;
const PLACED_NUMBERS = ['reservedTokens', 'partPrefillMs', 'firstEventMs', 'loss', 'cost'] as const;

const REFUSED_NUMBERS = ['engines', 'retryAfterMs', 'ahead'] as const;

export function encodeRequest(
  request: PromptRequest,
  from: string,
  waitUntil: number,
  now: number,
): WirePlacementRequest {
  return {
    node: request.node,
    from,
    id: request.id,
    service: request.cell.service,
    cell: request.cell.availabilityZone ?? null,
    zone: request.availabilityZone,
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    ...encodeExpected(request.expected),
    latencyTargetMs: request.latencyTargetMs,
    pauseTargetMs: request.pauseTargetMs,
    dueInMs: Math.round(request.dueAt - now),
    deadlineInMs: Math.round(request.deadlineAt - now),
    waitMs: Math.round(waitUntil - now),
    workspace: request.workspace,
    isReturning: request.isReturning,
    excluded: [...request.excluded].slice(0, MAX_LISTED_ENGINES),
    suspects: [...request.suspects].slice(0, MAX_LISTED_ENGINES),
  };
}

function encodeExpected(
  expected: ExpectedAnswer | undefined,
): Pick<WirePlacementRequest, 'expectedTokens' | 'generationMs'> {
  const { generationMs, outputTokens } = expected ?? {};
  return {
    ...(outputTokens !== undefined && { expectedTokens: Math.round(outputTokens) }),
    ...(generationMs !== undefined && { generationMs: Math.round(generationMs) }),
  };
}

function decodeExpected({
  expectedTokens,
  generationMs,
  outputTokens,
}: WirePlacementRequest): ExpectedAnswer | undefined {
  return expectedTokens === undefined
    ? undefined
    : { outputTokens: Math.min(outputTokens, expectedTokens), generationMs };
}

/** Restores a request, with its times on the clock of this node. */
export function decodeRequest(
  wire: WirePlacementRequest,
  profile: EngineProfile,
  now: number,
): PromptRequest {
  const { cell, dueInMs, deadlineInMs, excluded, service, suspects, zone, ...rest } = wire;
  return {
    id: rest.id,
    node: rest.node,
    availabilityZone: zone,
    cell: { service, availabilityZone: cell ?? undefined },
    profile,
    promptTokens: rest.promptTokens,
    outputTokens: rest.outputTokens,
    expected: decodeExpected(wire),
    latencyTargetMs: rest.latencyTargetMs,
    pauseTargetMs: rest.pauseTargetMs,
    dueAt: now + dueInMs,
    deadlineAt: now + deadlineInMs,
    workspace: rest.workspace,
    isReturning: rest.isReturning,
    excluded: new Set(excluded),
    suspects: new Set(suspects),
  };
}

export function encodeDecision(
  id: string,
  decision: PromptPlacement | RefusedPrompt,
): WirePlaced | WireRefused {
  if (decision instanceof RefusedPrompt) {
    const { ahead, engineCount, refusal, retryAfterMs } = decision;
    return { id, state: 'refused', refusal, engines: engineCount, retryAfterMs, ahead };
  }
  return {
    id,
    state: 'placed',
    targets: decision.targets.map((target) => target.id),
    reservedTokens: decision.reservedTokens,
    partPrefillMs: decision.partPrefillMs,
    firstEventMs: decision.firstEventMs,
    loss: decision.loss,
    cost: decision.cost,
  };
}

/** Restores a decision, if `findEngine` returns all engines that it names. */
export function decodeDecision(
  wire: WirePlaced | WireRefused,
  findEngine: (id: string) => TargetEntry | undefined,
): PromptPlacement | RefusedPrompt | UnusableChoice {
  if (wire.state === 'refused') {
    return new RefusedPrompt(wire.refusal, wire.engines, wire.retryAfterMs, wire.ahead);
  }
  const engines = wire.targets.map((id) => findEngine(id));
  const [primary, ...readers] = engines.filter((engine) => engine !== undefined);
  if (primary === undefined || readers.length + 1 < engines.length) {
    return new UnusableChoice(wire.targets.filter((_id, index) => engines[index] === undefined));
  }
  const { cost, firstEventMs, loss, partPrefillMs, reservedTokens } = wire;
  const targets = [primary, ...readers] as const;
  return { targets, reservedTokens, partPrefillMs, firstEventMs, loss, cost, isNetLoss: false };
}

/** Validates a received request; returns `undefined` when it is malformed. */
export function parsePlacementRequest(params: unknown): WirePlacementRequest | undefined {
  if (!isRecord(params)) {
    return undefined;
  }
  const isValid =
    REQUEST_TEXTS.every((name) => typeof params[name] === 'string') &&
    REQUEST_NUMBERS.every((name) => Number.isFinite(params[name])) &&
    OPTIONAL_REQUEST_NUMBERS.every(
      (name) => params[name] === undefined || isFromZero(params[name]),
    ) &&
    (params.cell === null || typeof params.cell === 'string') &&
    typeof params.isReturning === 'boolean' &&
    isStringArray(params.excluded) &&
    isStringArray(params.suspects);
  return isValid ? (params as unknown as WirePlacementRequest) : undefined;
}

/** Validates a received cancellation; returns `undefined` when it is malformed. */
export function parseCancellation(params: unknown): WireCancellation | undefined {
  const isValid =
    isRecord(params) && typeof params.node === 'string' && typeof params.id === 'string';
  return isValid ? (params as unknown as WireCancellation) : undefined;
}

/** Validates a received answer; returns `undefined` when it is malformed. */
export function parsePlacementAnswer(params: unknown): WirePlacementAnswer | undefined {
  if (!isRecord(params) || typeof params.id !== 'string') {
    return undefined;
  }
  const isValid =
    params.state === 'waiting' ||
    (params.state === 'placed' &&
      isStringArray(params.targets) &&
      PLACED_NUMBERS.every((name) => Number.isFinite(params[name]))) ||
    (params.state === 'refused' &&
      typeof params.refusal === 'string' &&
      REFUSED_NUMBERS.every((name) => Number.isFinite(params[name])));
  return isValid ? (params as unknown as WirePlacementAnswer) : undefined;
}

function isFromZero(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isStringArray(value: unknown): boolean {
  return Array.isArray(value) && value.every((each) => typeof each === 'string');
}
