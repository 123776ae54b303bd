/**
 * Chooses the engines of a prompt. Long prompts arrive in bursts beside many short streams, and
 * each prefill delays every stream on the same engine. A placement is therefore rated by the value
 * of the answers that it makes late: that of the prompt itself and those of the requests that it
 * delays. As a result, long prompts are split over engines whose streams tolerate the pause, and
 * short streams are packed on few engines, so that the others stay free of them.
 */
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { type EngineLoad } from './EngineLoad.js';
import { passMs, prefillMs } from './EngineTiming.js';
import {
  expectedValue,
  lateLossShare,
  pauseLoss,
  prefillDelayLoss,
  primaryLoss,
  type PromptRequirements,
} from './PlacementLoss.js';

/** The engines on which a prompt is prefilled and generated, with the expected effect. */
export interface PromptPlacement {
  /** The primary first, which generates; then the readers. */
  readonly targets: readonly [TargetEntry, ...TargetEntry[]];
  /** Memory to reserve on each target; 0 when the primary holds all of it without a reservation. */
  readonly reservedTokens: number;
  /** Prefill time of the part of each target. */
  readonly partPrefillMs: number;
  /** Expected time to the first event. */
  readonly firstEventMs: number;
  /**
   * Time to the first event by the configured speed, with which the real one can be compared;
   * undefined if several engines have parts of the prompt, or other prompts are ahead of it.
   */
  readonly configuredFirstEventMs?: number | undefined;
  /** Value that is expected to be lost by late answers, to this prompt and to others. */
  readonly loss: number;
  /** The loss, and what generating on the primary costs other requests. */
  readonly cost: number;
  /** Whether the placement costs other requests more than the prompt is worth. */
  readonly isNetLoss: boolean;
}

/** Most readers of a prompt; engines accept no more. */
const MAX_READERS = 16;
/** Numbers of engines, the primary included, that are evaluated for a prompt. */
const ENGINE_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17] as const;
/** Share of its value that a prompt loses per reader, whose failure would break the request. */
const READER_LOSS_SHARE = 0.002;
/**
 * Share of the memory of an engine up to which shared prompts may fill it. The rest is left for
 * streams that grow there.
 */
const SHARED_MEMORY_SHARE = 0.9;
/**
 * Reservations are rounded up to a multiple of this many tokens, with one multiple to spare. It is
 * a multiple of the memory block size of engines.
 */
const BLOCK_TOKENS = 64;
/**
 * Value that other prompts would gain from a second of engine time while all engines are busy. It
 * is the mean for prompts of medium length.
 */
const BUSY_VALUE_PER_SECOND = 4;
const MS_PER_SECOND = 1_000;
/**
 * A prompt is refused when the losses by its placement, its own included, exceed its value by this
 * factor. It is above 1 because a refusal costs the caller a wait.
 */
const NET_LOSS_FACTOR = 1.3;
/**
 * Share of the value of a prompt up to which a loss is negligible: the answer is expected in time
 * and no other request is delayed, so placements on more engines are not evaluated.
 */
const NEGLIGIBLE_LOSS_SHARE = 0.02;

/**
 * Returns a random loss for choosing an engine as the primary, so that nodes which place prompts at
 * the same time do not all choose the same one.
 */
export type RandomLoss = () => number;

/** Returns the best placement on the given engines, or `undefined` when none has capacity. */
export function placePrompt(
  profile: EngineProfile,
  prompt: PromptRequirements,
  loads: readonly EngineLoad[],
  randomLoss: RandomLoss = () => 0,
): PromptPlacement | undefined {
  const engines = loads.map((load) => ({
    load,
    primaryLoss: primaryLoss(load, prompt) + randomLoss(),
  }));
  const input = { profile, prompt, value: expectedValue(prompt), engines };
  return (
    placeBest({ ...input, isMemoryShared: false }) ?? placeBest({ ...input, isMemoryShared: true })
  );
}

function placeBest(input: PlacementInput): PromptPlacement | undefined {
  const wholePrefillMs = prefillMs(input.profile, input.prompt.promptTokens);
  // With shared memory, the primary takes the place of one reader in the list that is sent to it,
  // since that list also names its own reservation.
  const maxEngines = input.isMemoryShared ? MAX_READERS : MAX_READERS + 1;
  let best: PromptPlacement | undefined;
  for (const count of ENGINE_COUNTS) {
    if (count > input.engines.length || count > maxEngines) {
      break;
    }
    const placement = placeOnEngines(count, wholePrefillMs / count, input);
    if (placement !== undefined && (best === undefined || placement.cost < best.cost)) {
      best = placement;
    }
    if (placement !== undefined && placement.loss <= NEGLIGIBLE_LOSS_SHARE * input.value) {
      break;
    }
  }
  return best;
}

interface PlacementInput {
  readonly profile: EngineProfile;
  readonly prompt: PromptRequirements;
  /** Value of an answer in time. */
  readonly value: number;
  readonly engines: readonly EvaluatedEngine[];
  /** Whether all engines of the placement hold a part of the memory. */
  readonly isMemoryShared: boolean;
}

/** An engine with the loss that does not depend on the size of the part. */
interface EvaluatedEngine {
  readonly load: EngineLoad;
  /** Loss for choosing it as the primary, beyond that of the prefill. */
  readonly primaryLoss: number;
}

/** An engine as a candidate for one part of the prompt. */
interface PartCandidate {
  readonly load: EngineLoad;
  readonly asReader: PartCost;
  readonly asPrimary: PartCost;
}

/** The expected effect of placing a part on an engine. */
interface PartCost {
  /** Time until the part is prefilled. */
  readonly finishMs: number;
  /** Loss of other requests, which the part delays. */
  readonly otherRequestsLoss: number;
  /** Loss for choosing the engine as the primary; 0 for a reader. */
  readonly primaryLoss: number;
  /** All losses by this part alone: its own delay, that of other requests, and the primary loss. */
  readonly totalLoss: number;
}

function placeOnEngines(
  count: number,
  partPrefillMs: number,
  input: PlacementInput,
): PromptPlacement | undefined {
  const { engines, isMemoryShared, profile, prompt, value } = input;
  const neededTokens = prompt.promptTokens + prompt.outputTokens;
  const reservedTokens = isMemoryShared
    ? Math.ceil(neededTokens / count / BLOCK_TOKENS + 1) * BLOCK_TOKENS
    : 0;
  const candidates = engines
    .filter(({ load }) => hasMemoryFor(load, reservedTokens, profile))
    .map((engine) => toCandidate(engine, partPrefillMs, input));
  if (count > 1) {
    candidates.sort((a, b) => a.asReader.totalLoss - b.asReader.totalLoss);
  }
  const primary = choosePrimary(candidates, count, isMemoryShared ? 0 : neededTokens, profile);
  if (primary === undefined) {
    return undefined;
  }
  const readers = count === 1 ? [] : chooseReaders(candidates, primary, count - 1);
  if (readers.length < count - 1) {
    return undefined;
  }
  const parts = [primary.asPrimary, ...readers.map(({ asReader }) => asReader)];
  const firstEventMs =
    Math.max(...parts.map(({ finishMs }) => finishMs)) +
    passMs(profile, primary.load.generating + 1, prompt.promptTokens) * primary.load.slowdown;
  const loss =
    parts.reduce((sum, { otherRequestsLoss }) => sum + otherRequestsLoss, 0) +
    value * lateLossShare(firstEventMs, prompt) +
    value * READER_LOSS_SHARE * (count - 1);
  const wholePrefillMs = partPrefillMs * count;
  return {
    targets: [primary.load.entry, ...readers.map(({ load }) => load.entry)],
    reservedTokens,
    partPrefillMs,
    firstEventMs,
    configuredFirstEventMs: count === 1 ? configuredMs(primary.load, firstEventMs) : undefined,
    loss,
    cost: loss + primary.asPrimary.primaryLoss,
    // A prompt that one engine can prefill within the latency target is never worth a refusal.
    isNetLoss:
      wholePrefillMs > prompt.latencyTargetMs &&
      loss + opportunityLoss(wholePrefillMs, engines) > NET_LOSS_FACTOR * value,
  };
}

/** Time to the first event at the configured speed; undefined if other prompts are ahead. */
function configuredMs(load: EngineLoad, firstEventMs: number): number | undefined {
  // A prompt waits for half a pass in the mean.
  const passWaitMs = load.generating > 0 ? load.passMs / 2 : 0;
  return load.backlogMs > 0 || load.scheduleDelayMs > 0
    ? undefined
    : (firstEventMs + passWaitMs) / load.slowdown;
}

/** Value that other prompts would gain from the engine time. */
function opportunityLoss(wholePrefillMs: number, engines: readonly EvaluatedEngine[]): number {
  return (wholePrefillMs / MS_PER_SECOND) * BUSY_VALUE_PER_SECOND * busyShare(engines);
}

/** Share of the engines that are busy; one without prefill counts by its share of used slots. */
function busyShare(engines: readonly EvaluatedEngine[]): number {
  const busy = engines.reduce((sum, { load: { backlogMs, generating, entry } }) => {
    return sum + (backlogMs > 0 ? 1 : generating / entry.slots);
  }, 0);
  return busy / engines.length;
}

/** Whether an engine can reserve memory for a part of a shared prompt. */
function hasMemoryFor(load: EngineLoad, tokens: number, profile: EngineProfile): boolean {
  return tokens === 0 || load.memoryTokens + tokens <= profile.memoryTokens * SHARED_MEMORY_SHARE;
}

/** Returns the candidate with the least loss as primary among those with a free slot and memory. */
function choosePrimary(
  candidates: readonly PartCandidate[],
  count: number,
  neededTokens: number,
  profile: EngineProfile,
): PartCandidate | undefined {
  let best: PartCandidate | undefined;
  // Considers only the best readers: on others, the part of the primary itself would be late.
  for (const candidate of count === 1 ? candidates : candidates.slice(0, count + 2)) {
    const { load } = candidate;
    const hasCapacity =
      load.primaryRequests.length < load.entry.slots &&
      load.memoryTokens + neededTokens <= profile.memoryTokens;
    if (hasCapacity && (best === undefined || isBetterPrimary(candidate, best))) {
      best = candidate;
    }
  }
  return best;
}

/** Of equal primaries, the one with the least loss as a reader is better. */
function isBetterPrimary(candidate: PartCandidate, best: PartCandidate): boolean {
  const difference = candidate.asPrimary.totalLoss - best.asPrimary.totalLoss;
  return (
    difference < 0 || (difference === 0 && candidate.asReader.totalLoss < best.asReader.totalLoss)
  );
}

/** Returns the `count` readers with the least loss. */
function chooseReaders(
  candidates: readonly PartCandidate[],
  primary: PartCandidate,
  count: number,
): readonly PartCandidate[] {
  return candidates
    .filter((each) => each !== primary && each.load.assistingPrefills < each.load.entry.slots)
    .slice(0, count);
}

function toCandidate(
  engine: EvaluatedEngine,
  partPrefillMs: number,
  { profile, prompt, value }: PlacementInput,
): PartCandidate {
  const { load } = engine;
  const slowedPartMs = partPrefillMs * load.slowdown;
  const pausesLoss = pauseLoss(load, slowedPartMs);
  const finishMs = prefillFinishMs(
    profile,
    load,
    load.backlogMs + load.scheduleDelayMs + slowedPartMs,
  );
  const ownLoss = value * lateLossShare(finishMs + load.passMs, prompt);
  const asPrimary = toCost(finishMs, pausesLoss, ownLoss, engine.primaryLoss);
  if (load.primaryPrefills.length === 0) {
    // The part of a reader goes before those of primary requests, of which there are none.
    return { load, asReader: toCost(finishMs, pausesLoss, ownLoss, 0), asPrimary };
  }
  const readerFinishMs = prefillFinishMs(
    profile,
    load,
    load.assistingBacklogMs + load.scheduleDelayMs + slowedPartMs,
  );
  const readerOwnLoss = value * lateLossShare(readerFinishMs + load.passMs, prompt);
  const othersLoss = pausesLoss + prefillDelayLoss(load, slowedPartMs);
  return { load, asReader: toCost(readerFinishMs, othersLoss, readerOwnLoss, 0), asPrimary };
}

function toCost(
  finishMs: number,
  otherRequestsLoss: number,
  ownLoss: number,
  partPrimaryLoss: number,
): PartCost {
  const totalLoss = otherRequestsLoss + ownLoss + partPrimaryLoss;
  return { finishMs, otherRequestsLoss, primaryLoss: partPrimaryLoss, totalLoss };
}

/** Time that an engine takes for `pendingMs` of prefill while it also runs its token steps. */
function prefillFinishMs(profile: EngineProfile, load: EngineLoad, pendingMs: number): number {
  const chunkMs = profile.chunkTokens / profile.prefillTokensPerMs;
  if (load.generating === 0) {
    return pendingMs * (1 + profile.stepMs / chunkMs);
  }
  const passes = 1 + Math.floor(pendingMs / (chunkMs * load.slowdown * profile.stride));
  return pendingMs + passes * load.passMs;
}
