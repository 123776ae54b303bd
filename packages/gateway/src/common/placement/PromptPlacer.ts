/**
 * Chooses the engines of a prompt. The load that it answers: long prompts arrive in bursts beside
 * many short streams, and each read delays every stream of the same engine. So a placement is judged
 * by what it costs in answers that would be late, its own and those of the requests that it
 * displaces: a long prompt is split over engines whose streams bear the pause, and short streams are
 * packed so that other engines stay free of them.
 */
import type { EngineProfile, TargetEntry } from '../Messages.js';
import { type EngineLoad } from './EngineLoad.js';
import { passMs, prefillMs } from './EngineTiming.js';
import {
  primaryLoss,
  lateLossShare,
  prefillDelayLoss,
  pauseLoss,
  type PromptRequirements,
  promptValue,
} from './PlacementLoss.js';

/** Where a prompt is read and generated. */
export interface PromptPlacement {
  /** The first one generates. */
  readonly targets: readonly [TargetEntry, ...TargetEntry[]];
  /** Memory to reserve on each target; 0 when the first one holds all without a reservation. */
  readonly reservedTokens: number;
  /** Prefill time of the part of each. */
  readonly partMs: number;
  /** Expected time to the first event. */
  readonly firstEventMs: number;
  /** Expected loss of value by lateness, own and displaced. */
  readonly loss: number;
  /** The loss, and what generating on the first target costs others. */
  readonly cost: number;
  /** Whether the placement takes more from others than the prompt is worth. */
  readonly isNetLoss: boolean;
}

/** Engines beside the first that one prompt may be read by; the engines take no more. */
const MAX_READERS = 16;
const ENGINE_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17] as const;
/** Each further reader is one more engine whose failure breaks the request. */
const READER_LOSS_SHARE = 0.002;
/** Room that a shared prompt leaves on each engine for the streams that grow there. */
const SHARED_MEMORY_SHARE = 0.9;
/** Reservations are rounded up to this many tokens, a multiple of the blocks of engines. */
const BLOCK_TOKENS = 64;
/**
 * Value that a second of an engine's time earns with other prompts while all engines are busy; the
 * mean of prompts around the middle of the lengths.
 */
const BUSY_VALUE_PER_SECOND = 4;
const MS_PER_SECOND = 1_000;
/** Times its own value that a prompt may cost others; a refusal costs its caller a wait. */
const NET_LOSS_FACTOR = 1.3;
/** A placement that is surely in time and displaces nothing is not improved on. */
const NEGLIGIBLE_LOSS_SHARE = 0.02;

/** Loss by chance that keeps nodes which decide at the same moment from choosing the same engine. */
export type RandomLoss = () => number;

/** The best placement on the engines given, or `undefined` when none has room. */
export function placePrompt(
  profile: EngineProfile,
  question: PromptRequirements,
  loads: readonly EngineLoad[],
  tieBreak: RandomLoss = () => 0,
): PromptPlacement | undefined {
  const engines = loads.map((load) => ({
    load,
    primaryLoss: primaryLoss(load, question) + tieBreak(),
  }));
  const input = { profile, prompt: question, engines };
  return (
    placeBest({ ...input, isMemoryShared: false }) ?? placeBest({ ...input, isMemoryShared: true })
  );
}

function placeBest(input: PlacementInput): PromptPlacement | undefined {
  const wholeMs = prefillMs(input.profile, input.prompt.promptTokens);
  // The first engine names its own reservation too, which takes the place of a reader.
  const most = input.isMemoryShared ? MAX_READERS : MAX_READERS + 1;
  const value = promptValue(input.prompt.promptTokens, input.prompt.outputTokens);
  let best: PromptPlacement | undefined;
  for (const count of ENGINE_COUNTS) {
    if (count > input.engines.length || count > most) {
      break;
    }
    const placement = placeOnEngines(count, wholeMs / count, input);
    if (placement !== undefined && (best === undefined || placement.cost < best.cost)) {
      best = placement;
    }
    if (placement !== undefined && placement.loss <= NEGLIGIBLE_LOSS_SHARE * value) {
      break;
    }
  }
  return best;
}

interface PlacementInput {
  readonly profile: EngineProfile;
  readonly prompt: PromptRequirements;
  readonly engines: readonly EvaluatedEngine[];
  /** Whether the memory is shared by all engines of the placement. */
  readonly isMemoryShared: boolean;
}

/** An engine with what is the same for parts of every size. */
interface EvaluatedEngine {
  readonly load: EngineLoad;
  /** What generating there costs beyond the read. */
  readonly primaryLoss: number;
}

/** An engine as a candidate for one part of the prompt. */
interface PartCandidate {
  readonly load: EngineLoad;
  readonly asReader: PartCost;
  readonly asPrimary: PartCost;
}

/** What a part costs on one engine. */
interface PartCost {
  /** When the part is read. */
  readonly finishMs: number;
  readonly displacedLoss: number;
  /** Loss by this part alone: displaced, late, and for generating there. */
  readonly total: number;
  /** The part of the total that generating costs. */
  readonly primaryLoss: number;
}

function placeOnEngines(
  count: number,
  partMs: number,
  input: PlacementInput,
): PromptPlacement | undefined {
  const { engines, isMemoryShared, profile, prompt } = input;
  const neededTokens = prompt.promptTokens + prompt.outputTokens;
  const reservedTokens = isMemoryShared
    ? Math.ceil(neededTokens / count / BLOCK_TOKENS + 1) * BLOCK_TOKENS
    : 0;
  const candidates = engines
    .filter(({ load }) => hasMemoryFor(load, reservedTokens, profile))
    .map((engine) => toCandidate(engine, partMs, input));
  candidates.sort((a, b) => a.asReader.total - b.asReader.total);
  const head = choosePrimary(candidates, count, isMemoryShared ? 0 : neededTokens, profile);
  if (head === undefined) {
    return undefined;
  }
  const readers = candidates
    .filter((each) => each !== head && each.load.assistingPrefills < each.load.entry.slots)
    .slice(0, count - 1);
  if (readers.length < count - 1) {
    return undefined;
  }
  const parts = [head.asPrimary, ...readers.map(({ asReader }) => asReader)];
  const firstEventMs =
    Math.max(...parts.map(({ finishMs }) => finishMs)) +
    passMs(profile, head.load.generating + 1, prompt.promptTokens);
  const value = promptValue(prompt.promptTokens, prompt.outputTokens);
  const loss =
    parts.reduce((sum, { displacedLoss }) => sum + displacedLoss, 0) +
    value * lateLossShare(firstEventMs, prompt) +
    value * READER_LOSS_SHARE * (count - 1);
  const wholeMs = partMs * count;
  const opportunity = (wholeMs / MS_PER_SECOND) * BUSY_VALUE_PER_SECOND * busyShare(engines);
  return {
    targets: [head.load.entry, ...readers.map(({ load }) => load.entry)],
    reservedTokens,
    partMs,
    firstEventMs,
    loss,
    cost: loss + head.asPrimary.primaryLoss,
    // A prompt that one engine reads in time is never worth a refusal.
    isNetLoss: wholeMs > prompt.latencyTargetMs && loss + opportunity > NET_LOSS_FACTOR * value,
  };
}

/** Share of the engines that read, or generate for many. */
function busyShare(engines: readonly EvaluatedEngine[]): number {
  const busy = engines.reduce((sum, { load: { backlogMs, generating, entry } }) => {
    return sum + (backlogMs > 0 ? 1 : generating / entry.slots);
  }, 0);
  return busy / engines.length;
}

function hasMemoryFor(load: EngineLoad, tokens: number, profile: EngineProfile): boolean {
  return tokens === 0 || load.memoryTokens + tokens <= profile.memoryTokens * SHARED_MEMORY_SHARE;
}

/** The candidate with room that loses least by generating too. */
function choosePrimary(
  candidates: readonly PartCandidate[],
  count: number,
  neededTokens: number,
  profile: EngineProfile,
): PartCandidate | undefined {
  let best: PartCandidate | undefined;
  // Only those among the best readers, or the part of the head would come late.
  for (const candidate of count === 1 ? candidates : candidates.slice(0, count + 2)) {
    const { load } = candidate;
    const isOpen =
      load.primaryRequests.length < load.entry.slots &&
      load.memoryTokens + neededTokens <= profile.memoryTokens;
    if (isOpen && (best === undefined || candidate.asPrimary.total < best.asPrimary.total)) {
      best = candidate;
    }
  }
  return best;
}

function toCandidate(
  { primaryLoss: generatingLoss, load }: EvaluatedEngine,
  partMs: number,
  { profile, prompt }: PlacementInput,
): PartCandidate {
  const value = promptValue(prompt.promptTokens, prompt.outputTokens);
  const costOf = (backlogMs: number, displacedLoss: number, ownHeadLoss: number): PartCost => {
    const finishMs = prefillFinishMs(profile, load, backlogMs + load.scheduleDelayMs + partMs);
    const ownLoss = value * lateLossShare(finishMs + load.passMs, prompt);
    const total = displacedLoss + ownLoss + ownHeadLoss;
    return { finishMs, displacedLoss, primaryLoss: ownHeadLoss, total };
  };
  const paused = pauseLoss(load, partMs);
  return {
    load,
    asReader: costOf(load.assistingBacklogMs, paused + prefillDelayLoss(load, partMs), 0),
    asPrimary: costOf(load.backlogMs, paused, generatingLoss),
  };
}

/** Time in which an engine reads for `readMs` beside what it generates. */
function prefillFinishMs(profile: EngineProfile, load: EngineLoad, readMs: number): number {
  const chunkMs = profile.chunkTokens / profile.prefillTokensPerMs;
  if (load.generating === 0) {
    return readMs * (1 + profile.stepMs / chunkMs);
  }
  const passes = 1 + Math.floor(readMs / (chunkMs * profile.stride));
  return readMs + passes * load.passMs;
}
