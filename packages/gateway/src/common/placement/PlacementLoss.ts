/**
 * The cost model of placements. A placement is rated by the value of the answers that it is
 * expected to make late: the answer to the prompt itself, those of the requests that it delays, and
 * those of later requests that have less capacity because of it. Losses are in the unit of
 * `promptValue`.
 */
import type { ActiveRequest } from './ActiveRequestTable.js';
import type { EngineLoad } from './EngineLoad.js';

/** Size and time limits of a prompt, which decide its placement together with the loads. */
export interface PromptRequirements {
  readonly promptTokens: number;
  /** The most output tokens, for which memory is needed. */
  readonly outputTokens: number;
  /** Output tokens by which the prompt is valued; those above when absent. */
  readonly expectedOutputTokens?: number;
  /** Time left until the first event is due. */
  readonly dueInMs: number;
  /** Time left until the deadline of the caller. */
  readonly deadlineInMs: number;
  /** Time from the arrival of the request to the first event that the route aims for. */
  readonly latencyTargetMs: number;
  /** Longest pause between two events that the route aims for. */
  readonly pauseTargetMs: number;
  /** Availability zone of the node that places the prompt. */
  readonly availabilityZone: string;
}

/** Maps an expected time, as a share of its limit, to the risk of missing the limit. */
interface RiskRamp {
  /** Share up to which there is no risk; from here it grows linearly. */
  readonly safeUpTo: number;
  /** Share from which the limit is certain to be missed. */
  readonly missedFrom: number;
}

/** Share of its value that a late answer loses; the price sheets of users pay a quarter for one. */
const LATE_LOSS_SHARE = 0.75;
/** Share of its value that a late answer keeps. */
export const LATE_VALUE_SHARE = 1 - LATE_LOSS_SHARE;
/**
 * Risk of a late first event. One in ten takes more than twice the expected time, so the risk
 * begins where the expected time is about half of the limit.
 */
const FIRST_EVENT_RISK: RiskRamp = { safeUpTo: 0.55, missedFrom: 1.0 };
/**
 * Risk of a pause beyond its target. Pauses are more predictable than first events: they get longer
 * only by the pass that is running and by prefill that other nodes add at the same moment.
 */
const PAUSE_RISK: RiskRamp = { safeUpTo: 0.7, missedFrom: 1.05 };
/** Prompt tokens whose answer has a value of 1. */
const PROMPT_TOKENS_PER_VALUE = 10_000;
/** Prompt tokens that an output token counts as, since it costs about as much as ten of them. */
const OUTPUT_TOKEN_WEIGHT = 10;
/**
 * Loss for placing a stream on an engine that has none with an equal or shorter pause target: long
 * prefills there would then pause the stream too long, so they need another engine. The loss is
 * below the value of any stream, so none is refused for it.
 */
const FIRST_STREAM_LOSS = 0.25;
/**
 * Share of the slots of an engine that are filled before another engine gets streams. The rest is
 * for requests that other nodes place at the same time.
 */
const PACKED_SLOT_SHARE = 0.7;
/**
 * Loss for each stream beyond the packed slots. For two of them it exceeds `FIRST_STREAM_LOSS`, so
 * that another engine gets the stream.
 */
const OVERPACKING_LOSS = 0.25;
/**
 * Gain of an engine, multiplied by the share of its slots that is taken, so that new streams gather
 * on few engines and the others empty. Slots beyond the packed share add nothing.
 */
const PACKING_GAIN = 0.1;
/** Loss for a primary in another availability zone: such traffic costs money, most at Catania. */
const REMOTE_ZONE_LOSS = 0.08;
/** Expected time from the first event to the end of an answer, as a share of the time left. */
const GENERATION_TIME_SHARE = 0.15;
/** Risk that the answer ends after the deadline of the caller. */
const DEADLINE_RISK: RiskRamp = { safeUpTo: 0.9, missedFrom: 1.0 };
/**
 * Share of its value that a prompt loses by a delay as long as the latency target, also when it is
 * in time. It is small, as it only serves to prefer the earlier of two placements in time.
 */
const DELAY_LOSS_SHARE = 0.03;

/** The value of an answer in time. */
export function promptValue(promptTokens: number, outputTokens: number): number {
  return (promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens) / PROMPT_TOKENS_PER_VALUE;
}

/** The value that an answer in time to the prompt is expected to have. */
export function expectedValue({
  expectedOutputTokens,
  outputTokens,
  promptTokens,
}: PromptRequirements): number {
  return promptValue(promptTokens, expectedOutputTokens ?? outputTokens);
}

/** The share of its value that a prompt loses if its first event comes after `firstEventMs`. */
export function lateLossShare(firstEventMs: number, prompt: PromptRequirements): number {
  const limitMs = Math.max(1, prompt.dueInMs);
  const deadlineMs = Math.max(1, prompt.deadlineInMs * (1 - GENERATION_TIME_SHARE));
  const delayShare = Math.min(2, firstEventMs / prompt.latencyTargetMs);
  return (
    LATE_LOSS_SHARE * riskOf(firstEventMs / limitMs, FIRST_EVENT_RISK) +
    (1 - LATE_LOSS_SHARE) * riskOf(firstEventMs / deadlineMs, DEADLINE_RISK) +
    DELAY_LOSS_SHARE * delayShare
  );
}

/** Loss of the primary requests of an engine if a part is prefilled during one of their passes. */
export function pauseLoss(load: EngineLoad, partPrefillMs: number): number {
  return load.primaryRequests.reduce(
    (sum, request) => sum + pauseLossOf(request, load, partPrefillMs),
    0,
  );
}

function pauseLossOf(request: ActiveRequest, load: EngineLoad, partPrefillMs: number): number {
  const beforeMs = load.passMs + (request.isGenerating ? load.backlogMs : 0);
  const before = riskOf(beforeMs / request.pauseTargetMs, PAUSE_RISK);
  const after = riskOf((beforeMs + partPrefillMs) / request.pauseTargetMs, PAUSE_RISK);
  return request.value * LATE_LOSS_SHARE * (after - before);
}

/**
 * Loss of the primary requests of an engine whose prefill is delayed by a part for another primary,
 * as such parts go first.
 */
export function prefillDelayLoss(load: EngineLoad, partPrefillMs: number): number {
  let loss = 0;
  for (const { endsAt, request } of load.primaryPrefills) {
    const limitMs = Math.max(1, request.dueAt - request.startedAt);
    const expectedMs = endsAt - request.startedAt + load.passMs;
    const before = riskOf(expectedMs / limitMs, FIRST_EVENT_RISK);
    const after = riskOf((expectedMs + partPrefillMs) / limitMs, FIRST_EVENT_RISK);
    loss += request.value * LATE_LOSS_SHARE * (after - before);
  }
  return loss;
}

/**
 * Loss for choosing an engine as the primary of a prompt, beyond that of the prefill; negative for
 * an engine that is preferred.
 */
export function primaryLoss(load: EngineLoad, prompt: PromptRequirements): number {
  const hasEquallyStrictStream = load.primaryRequests.some(
    ({ pauseTargetMs }) => pauseTargetMs <= prompt.pauseTargetMs,
  );
  const packed = PACKED_SLOT_SHARE * load.entry.slots;
  const overpacking = Math.max(0, load.primaryRequests.length + 1 - packed) * OVERPACKING_LOSS;
  const remote = load.entry.availabilityZone === prompt.availabilityZone ? 0 : REMOTE_ZONE_LOSS;
  const packedShare = Math.min(load.primaryRequests.length, packed) / load.entry.slots;
  const packing = hasEquallyStrictStream ? -PACKING_GAIN * packedShare : FIRST_STREAM_LOSS;
  return packing + overpacking + remote;
}

/** The risk of missing a limit, from 0 to 1, for an expected time as a share of that limit. */
function riskOf(share: number, { missedFrom, safeUpTo }: RiskRamp): number {
  return Math.min(1, Math.max(0, (share - safeUpTo) / (missedFrom - safeUpTo)));
}
