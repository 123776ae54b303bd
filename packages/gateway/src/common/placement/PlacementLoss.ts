/**
 * What a placement costs, in answers that would be late: the prompt's own, those of the requests that it
 * displaces, and what generating on an engine takes from later ones.
 */
import type { EngineLoad } from './EngineLoad.js';
import type { EngineWork } from './LoadBoard.js';

/** What a placement depends on beside the loads. */
export interface PromptRequirements {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time left until the first event is due. */
  readonly dueInMs: number;
  /** Time left until the caller gives up. */
  readonly deadlineInMs: number;
  readonly latencyTargetMs: number;
  readonly pauseTargetMs: number;
  readonly availabilityZone: string;
}

/** Share of its value that a late answer loses; the users' sheets pay a quarter for one. */
const LATE_LOSS_SHARE = 0.75;
/**
 * An expected time is safe up to the first share of its limit, and lost from the second on. Nine in ten
 * first events came within twice the time expected of them.
 */
const FIRST_EVENT_RAMP = { safe: 0.55, lost: 1.0 };
/** Pauses are surer: only the pass at hand and reads that other nodes add at the same moment. */
const PAUSE_RAMP = { safe: 0.7, lost: 1.05 };
/** Tokens of value 1; an output token counts as ten prompt tokens, as it costs about that much. */
const PROMPT_TOKENS_PER_VALUE = 10_000;
const OUTPUT_TOKEN_WEIGHT = 10;
/**
 * Loss for making an engine unfit for long reads by the first stream with short pauses; under the
 * value of any stream, so that none is refused for it.
 */
const FIRST_STREAM_LOSS = 0.25;
/** Share of the slots up to which streams are packed; the rest is for what other nodes place meanwhile. */
const PACKED_SLOT_SHARE = 0.7;
/** Loss of each stream beyond that; with two of them another engine is opened. */
const OVERPACKING_LOSS = 0.25;
/** Gain of an engine with full slots over an empty one, so that the others empty. */
const PACKING_GAIN = 0.1;
/** Bytes between availability zones cost money, most at Catania. */
const REMOTE_ZONE_LOSS = 0.08;
/** Expected time from the first event to the end of an answer, as a share of the time left. */
const GENERATION_TIME_SHARE = 0.15;
const DEADLINE_RAMP = { safe: 0.9, lost: 1.0 };
/** Prefers the earlier of two placements in time. */
const DELAY_LOSS_SHARE = 0.03;

/** The value of an answer in time. */
export function promptValue(promptTokens: number, outputTokens: number): number {
  return (promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens) / PROMPT_TOKENS_PER_VALUE;
}

/** The share of its value that a request loses by its first event coming after a time. */
export function lateLossShare(firstEventMs: number, question: PromptRequirements): number {
  const limitMs = Math.max(1, question.dueInMs);
  const deadlineMs = Math.max(1, question.deadlineInMs * (1 - GENERATION_TIME_SHARE));
  const delayShare = Math.min(2, firstEventMs / question.latencyTargetMs);
  return (
    LATE_LOSS_SHARE * ramp(firstEventMs / limitMs, FIRST_EVENT_RAMP) +
    (1 - LATE_LOSS_SHARE) * ramp(firstEventMs / deadlineMs, DEADLINE_RAMP) +
    DELAY_LOSS_SHARE * delayShare
  );
}

/** What the streams of an engine lose by a further read in one of their passes. */
export function pauseLoss(load: EngineLoad, partMs: number): number {
  return load.primaryRequests.reduce((sum, work) => sum + pauseLossOf(work, load, partMs), 0);
}

function pauseLossOf(work: EngineWork, load: EngineLoad, partMs: number): number {
  const beforeMs = load.passMs + (work.isGenerating ? load.backlogMs : 0);
  const before = ramp(beforeMs / work.pauseTargetMs, PAUSE_RAMP);
  const after = ramp((beforeMs + partMs) / work.pauseTargetMs, PAUSE_RAMP);
  return work.value * LATE_LOSS_SHARE * (after - before);
}

/** What prompts read here for this engine's own streams lose, as parts for others go first. */
export function prefillDelayLoss(load: EngineLoad, partMs: number): number {
  let loss = 0;
  for (const { endsAt, request } of load.primaryPrefills) {
    const limitMs = Math.max(1, request.dueAt - request.startedAt);
    const expectedMs = endsAt - request.startedAt + load.passMs;
    const before = ramp(expectedMs / limitMs, FIRST_EVENT_RAMP);
    const after = ramp((expectedMs + partMs) / limitMs, FIRST_EVENT_RAMP);
    loss += request.value * LATE_LOSS_SHARE * (after - before);
  }
  return loss;
}

/** What generating on an engine costs beyond the read. */
export function primaryLoss(load: EngineLoad, question: PromptRequirements): number {
  const isOpen = load.primaryRequests.some(
    ({ pauseTargetMs }) => pauseTargetMs <= question.pauseTargetMs,
  );
  const packed = PACKED_SLOT_SHARE * load.entry.slots;
  const crowd = Math.max(0, load.primaryRequests.length + 1 - packed) * OVERPACKING_LOSS;
  const remote = load.entry.availabilityZone === question.availabilityZone ? 0 : REMOTE_ZONE_LOSS;
  const filled = Math.min(load.primaryRequests.length, packed) / load.entry.slots;
  const fill = isOpen ? -PACKING_GAIN * filled : FIRST_STREAM_LOSS;
  return fill + crowd + remote;
}

function ramp(value: number, { lost, safe }: { lost: number; safe: number }): number {
  return Math.min(1, Math.max(0, (value - safe) / (lost - safe)));
}
