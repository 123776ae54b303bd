/**
 * What a placement costs, in answers that would be late: the prompt's own, those of the requests that it
 * displaces, and what generating on an engine takes from later ones.
 */
import type { EngineLoad } from './EngineLoad.js';
import type { EngineWork } from './LoadBoard.js';

/** What a placement depends on beside the loads. */
export interface PromptQuestion {
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
const LATE_LOSS = 0.75;
/**
 * An expected time is safe up to the first share of its limit, and lost from the second on. Nine in ten
 * first events came within twice the time expected of them.
 */
const TIME_RAMP = { safe: 0.55, lost: 1.0 };
/** Pauses are surer: only the pass at hand and reads that other nodes add at the same moment. */
const PAUSE_RAMP = { safe: 0.7, lost: 1.05 };
/** Tokens of value 1; an output token counts as ten prompt tokens, as it costs about that much. */
const TOKENS_PER_VALUE = 10_000;
const OUTPUT_WEIGHT = 10;
/**
 * Loss for making an engine unfit for long reads by the first stream with short pauses; under the
 * value of any stream, so that none is refused for it.
 */
const OPEN_LOSS = 0.25;
/** Share of the slots up to which streams are packed; the rest is for what other nodes place meanwhile. */
const PACKED_SHARE = 0.7;
/** Loss of each stream beyond that; with two of them another engine is opened. */
const CROWD_LOSS = 0.25;
/** Gain of an engine with full slots over an empty one, so that the others empty. */
const FILL_GAIN = 0.1;
/** Bytes between availability zones cost money, most at Catania. */
const REMOTE_LOSS = 0.08;
/** Expected time from the first event to the end of an answer, as a share of the time left. */
const ANSWER_SHARE = 0.15;
const DEADLINE_RAMP = { safe: 0.9, lost: 1.0 };
/** Prefers the earlier of two placements in time. */
const DELAY_LOSS_SHARE = 0.03;

/** The value of an answer in time. */
export function valueOf(promptTokens: number, outputTokens: number): number {
  return (promptTokens + OUTPUT_WEIGHT * outputTokens) / TOKENS_PER_VALUE;
}

/** The share of its value that a request loses by its first event coming after a time. */
export function lateLoss(firstEventMs: number, question: PromptQuestion): number {
  const limitMs = Math.max(1, question.dueInMs);
  const deadlineMs = Math.max(1, question.deadlineInMs * (1 - ANSWER_SHARE));
  const delayShare = Math.min(2, firstEventMs / question.latencyTargetMs);
  return (
    LATE_LOSS * ramp(firstEventMs / limitMs, TIME_RAMP) +
    (1 - LATE_LOSS) * ramp(firstEventMs / deadlineMs, DEADLINE_RAMP) +
    DELAY_LOSS_SHARE * delayShare
  );
}

/** What the streams of an engine lose by a further read in one of their passes. */
export function pauseLoss(load: EngineLoad, partMs: number): number {
  return load.heads.reduce((sum, work) => sum + pauseLossOf(work, load, partMs), 0);
}

function pauseLossOf(work: EngineWork, load: EngineLoad, partMs: number): number {
  const beforeMs = load.passMs + (work.isGenerating ? load.backlogMs : 0);
  const before = ramp(beforeMs / work.pauseTargetMs, PAUSE_RAMP);
  const after = ramp((beforeMs + partMs) / work.pauseTargetMs, PAUSE_RAMP);
  return work.value * LATE_LOSS * (after - before);
}

/** What prompts read here for this engine's own streams lose, as parts for others go first. */
export function overtakeLoss(load: EngineLoad, partMs: number): number {
  let loss = 0;
  for (const { endsAt, work } of load.ownReads) {
    const limitMs = Math.max(1, work.dueAt - work.startedAt);
    const expectedMs = endsAt - work.startedAt + load.passMs;
    const before = ramp(expectedMs / limitMs, TIME_RAMP);
    const after = ramp((expectedMs + partMs) / limitMs, TIME_RAMP);
    loss += work.value * LATE_LOSS * (after - before);
  }
  return loss;
}

/** What generating on an engine costs beyond the read. */
export function headLoss(load: EngineLoad, question: PromptQuestion): number {
  const isOpen = load.heads.some(({ pauseTargetMs }) => pauseTargetMs <= question.pauseTargetMs);
  const packed = PACKED_SHARE * load.entry.slots;
  const crowd = Math.max(0, load.heads.length + 1 - packed) * CROWD_LOSS;
  const remote = load.entry.availabilityZone === question.availabilityZone ? 0 : REMOTE_LOSS;
  const filled = Math.min(load.heads.length, packed) / load.entry.slots;
  const fill = isOpen ? -FILL_GAIN * filled : OPEN_LOSS;
  return fill + crowd + remote;
}

function ramp(value: number, { lost, safe }: { lost: number; safe: number }): number {
  return Math.min(1, Math.max(0, (value - safe) / (lost - safe)));
}
