/**
 * Estimates what a request costs, from requests that ended. Load pattern: prompts that look alike
 * have answers of very different lengths, mostly far below the maximum that they state, and callers
 * estimate the length well, badly or falsely. With the stated maximum, prompts count for several
 * times their generation, so that the wrong ones wait and callers are refused too early or too late.
 *
 * Values are learned by route, workspace and size of the prompt, and decay. A workspace without
 * history is estimated by those of others on the route, each of which has a bounded weight; a route
 * without history by what requests state. The tokens of an answer are not seen, only its events: the
 * tokens of an event are at most the stated maximum divided by the events of an answer.
 */
import { type Clock, DisposableOwner, type Metrics } from '@tanagerdyke/kernel';
import type { EngineProfile } from '../Messages.js';
import { DecayingMean } from './DecayingMean.js';
import { EngineSpeeds } from './EngineSpeeds.js';

const HALF_LIFE_MS = 60_000;
/** Log of the largest factor by which one sample counts. */
const MAX_STEP = Math.log(4);
const MAX_ENTRIES = 1_500;
/** Workspaces of a route that count for its common estimate, the most recent ones. */
const MAX_COMMON_WORKSPACES = 32;
/** Most samples for which one workspace counts in the common estimate of its route. */
const MAX_WORKSPACE_WEIGHT = 4;
/** Samples as stated, or as the profile states, that a route is assumed to have had. */
const STATED_WEIGHT = 4;
/** Samples of the common estimate that a workspace is assumed to have had. */
const COMMON_WEIGHT = 2;
/**
 * The estimate is at least the stated maximum divided by this, so that a prompt gains a bounded rank
 * by a maximum that it will not use, or by a hint.
 */
const MAX_REDUCTION = 16;
/** Largest factor between the estimate by the hint alone and the one by the share alone. */
const MAX_HINT_EFFECT = 4;
/** Usual distance of estimate and answer, as a logarithm, while it has not been learned. */
const PRIOR_ERROR = Math.log(2);
/** Least distance assumed, so that a few exact hints do not outweigh everything. */
const MIN_ERROR = 0.1;
/** Prompts up to 4,000 tokens are one class; each further one reaches four times as far. */
const FIRST_CLASS_TOKENS = 4_000;
const CLASS_FACTOR = 4;
/** The last class has all prompts over a million tokens, so that callers can't make up classes. */
const LAST_CLASS = 5;
/** Part by which an answer with more events than allowed for corrects the tokens of an event. */
const LIMIT_PART = 0.5;
/** Step by which the tokens of an event rise with an answer that does not limit them. */
const EVENT_TOKENS_RISE = 0.003;

/** What is known of a request before it runs. */
export interface CostRequest {
  readonly route: string;
  readonly service: string;
  /** Empty when the caller has none. */
  readonly workspace: string;
  readonly promptTokens: number;
  /** The most output tokens, as the caller states it; 0 when it does not. */
  readonly stated: number;
  /** The caller's own estimate of the output tokens. */
  readonly hint: number | undefined;
  /** Undefined for a plain service. */
  readonly profile: EngineProfile | undefined;
}

/** What a request is expected to cost. */
export interface CostEstimate {
  /** Output tokens; the stated maximum while nothing is learned. */
  readonly outputTokens: number;
  /** Time from the first event to the end; undefined while nothing is learned. */
  readonly generationMs: number | undefined;
  /** Time that a call of a plain service takes; undefined while nothing is learned. */
  readonly callMs: number | undefined;
}

/** A request that was answered completely. */
export interface CostOutcome {
  readonly request: CostRequest;
  /** The estimate when it was placed. */
  readonly estimate: CostEstimate;
  /** Events of a streamed answer, and the time from the first to the last. */
  readonly events?: number;
  readonly generationMs?: number;
  /** Time that a call took. */
  readonly callMs?: number;
}

/** What is learned of a workspace, on one route and for one size of prompts; all are logarithms. */
interface CostEntry {
  /** Output tokens as a share of the stated maximum. */
  readonly share: DecayingMean;
  /** Output tokens as a multiple of the hint. */
  readonly hintRatio: DecayingMean;
  /** Generation time as a multiple of what the profile states. */
  readonly pace: DecayingMean;
  readonly callMs: DecayingMean;
  /** Distance of the output tokens from the estimates by share and by hint. */
  readonly shareError: DecayingMean;
  readonly hintError: DecayingMean;
  /** Tokens of an event as a multiple of the stride of the profile. */
  readonly eventTokens: DecayingMean;
}

/** A value as learned so far, with the number of samples that it stands for. */
interface Learned {
  readonly mean: number;
  readonly weight: number;
}

/** What is learned of the requests that are like a given one. */
interface CostHistory {
  /** That of the workspace itself. */
  readonly own: CostEntry | undefined;
  /** That of the workspaces of the route, with the own one. */
  readonly group: readonly CostEntry[];
}

/** Estimates of output tokens by each of the two ways. */
interface OutputEstimates {
  readonly byShare: number;
  /** Undefined without a hint, or while no hint has been compared. */
  readonly byHint: number | undefined;
  readonly combined: number;
}

/** Learns what requests cost, and estimates what the next ones will. */
export class CostEstimates extends DisposableOwner {
  public readonly speeds: EngineSpeeds;
  /** The least recently used in front. */
  private readonly _entries = new Map<string, CostEntry>();
  /** By route and size: the entries of the workspaces that count, the least recent in front. */
  private readonly _groups = new Map<string, Map<string, CostEntry>>();

  constructor(private readonly _options: { readonly clock: Clock; readonly metrics: Metrics }) {
    super();
    this.speeds = this.register(new EngineSpeeds(_options.clock));
    _options.metrics.gauge('tanager_engines_slow', () => this.speeds.slowCount);
    _options.metrics.gauge('tanager_cost_entries', () => this.size);
  }

  /** Number of entries, which is bounded. */
  public get size(): number {
    return this._entries.size + this.speeds.size;
  }

  public estimate(request: CostRequest): CostEstimate {
    const { profile } = request;
    const history = this._historyOf(request);
    const outputTokens = this._estimateOutput(request, history).combined;
    const pace = this._learned(history, 'pace', STATED_WEIGHT);
    const callMs = this._learned(history, 'callMs', 0);
    return {
      outputTokens,
      generationMs:
        profile === undefined || pace.weight === 0
          ? undefined
          : outputTokens * profile.stepMs * Math.exp(pace.mean),
      callMs: callMs.weight === 0 ? undefined : Math.exp(callMs.mean),
    };
  }

  /** Factor by which an engine is slower than others of its service; 1 when it is not. */
  public slowdown(target: string): number {
    return this.speeds.slowdown(target);
  }

  /** Learns from a request that was answered completely. */
  public record(outcome: CostOutcome): void {
    const { callMs, estimate, events, request } = outcome;
    if (callMs !== undefined) {
      this._recordCall(request, estimate, Math.max(1, callMs));
    } else if (events !== undefined && events > 0 && request.stated > 0) {
      this._recordStream(outcome, events);
    }
  }

  private _recordCall(request: CostRequest, estimate: CostEstimate, callMs: number): void {
    const now = this._options.clock.now();
    const { callMs: learned } = this._entryOf(request);
    if (learned.weightAt(now) === 0) {
      learned.start(Math.log(callMs), now);
    } else {
      learned.add(Math.log(callMs), now);
    }
    if (estimate.callMs !== undefined) {
      this._observeError('call', estimate.callMs, callMs);
    }
  }

  private _recordStream({ estimate, generationMs, request }: CostOutcome, events: number): void {
    const { hint, profile, stated } = request;
    const now = this._options.clock.now();
    const stride = profile?.stride ?? 1;
    const entry = this._entryOf(request);
    const history = this._historyOf(request);
    this._recordEventTokens(entry, Math.log(stated / events / stride), stride);
    const { mean } = this._learned(history, 'eventTokens', STATED_WEIGHT);
    const tokens = Math.min(stated, events * stride * Math.exp(mean));
    this._observeError('learned', estimate.outputTokens, tokens);
    this._observeError('stated', stated, tokens);
    const before = this._estimateOutput(request, history);
    entry.shareError.add(distance(tokens, before.byShare), now);
    entry.share.add(Math.log(tokens / stated), now);
    if (hint !== undefined && hint > 0) {
      if (before.byHint !== undefined) {
        entry.hintError.add(distance(tokens, before.byHint), now);
      }
      entry.hintRatio.add(Math.log(tokens / hint), now);
    }
    if (profile !== undefined && generationMs !== undefined && events > 1) {
      // The first event ends the prefill, so the time is that of the others.
      const laterTokens = (tokens * (events - 1)) / events;
      const pace = Math.max(1, generationMs) / (laterTokens * profile.stepMs);
      entry.pace.add(Math.log(pace), now);
    }
  }

  /**
   * Lowers the tokens of an event to the most that an answer allows for, and raises them slowly
   * otherwise. An event has at least one token, whatever the caller states. Each answer counts, so
   * that a workspace with odd ones is outweighed by the others.
   */
  private _recordEventTokens(entry: CostEntry, most: number, stride: number): void {
    const { eventTokens } = entry;
    const sample = Math.min(most, eventTokens.mean + EVENT_TOKENS_RISE, 0);
    const limited = Math.max(-Math.log(stride), sample);
    const leastPart = limited < eventTokens.mean ? LIMIT_PART : 0;
    eventTokens.add(limited, this._options.clock.now(), leastPart);
  }

  private _estimateOutput(request: CostRequest, history: CostHistory): OutputEstimates {
    const { hint, stated } = request;
    const bound = (tokens: number): number =>
      Math.min(stated, Math.max(stated / MAX_REDUCTION, tokens));
    const share = this._learned(history, 'share', STATED_WEIGHT);
    const byShare = bound(stated * Math.exp(share.mean));
    const ratio = this._learned(history, 'hintRatio', STATED_WEIGHT);
    if (hint === undefined || hint <= 0 || ratio.weight === 0 || stated <= 0) {
      return { byShare, byHint: undefined, combined: byShare };
    }
    const hinted = hint * Math.exp(ratio.mean);
    const byHint = bound(
      Math.min(byShare * MAX_HINT_EFFECT, Math.max(byShare / MAX_HINT_EFFECT, hinted)),
    );
    const known = ratio.weight / (ratio.weight + STATED_WEIGHT);
    const hintTrust = known * this._precision(history, 'hintError');
    const hintPart = hintTrust / (hintTrust + this._precision(history, 'shareError'));
    const combined = byShare ** (1 - hintPart) * byHint ** hintPart;
    return { byShare, byHint, combined: bound(combined) };
  }

  /** How much an estimate counts: the inverse of its squared error. */
  private _precision(history: CostHistory, name: 'hintError' | 'shareError'): number {
    const { mean, weight } = this._learned(history, name, 0);
    const error = (mean * weight + PRIOR_ERROR * STATED_WEIGHT) / (weight + STATED_WEIGHT);
    return 1 / Math.max(MIN_ERROR, error) ** 2;
  }

  /**
   * What the workspace showed, completed by what others on the route showed.
   *
   * @param statedWeight samples of 0, as stated, that the route is assumed to have had
   */
  private _learned(
    { group, own }: CostHistory,
    name: keyof CostEntry,
    statedWeight: number,
  ): Learned {
    const now = this._options.clock.now();
    let groupSum = 0;
    let groupWeight = 0;
    for (const entry of group) {
      const weight = Math.min(MAX_WORKSPACE_WEIGHT, entry[name].weightAt(now));
      groupSum += entry[name].mean * weight;
      groupWeight += weight;
    }
    const ownWeight = own?.[name].weightAt(now) ?? 0;
    if (groupWeight + ownWeight === 0) {
      return { mean: 0, weight: 0 };
    }
    const common = groupSum / Math.max(Number.EPSILON, groupWeight + statedWeight);
    const sum = (own?.[name].mean ?? 0) * ownWeight + common * COMMON_WEIGHT;
    return { mean: sum / (ownWeight + COMMON_WEIGHT), weight: groupWeight + ownWeight };
  }

  private _historyOf(request: CostRequest): CostHistory {
    const key = groupKey(request);
    return {
      own: this._entries.get(entryKey(key, request.workspace)),
      group: [...(this._groups.get(key)?.values() ?? [])],
    };
  }

  /** The entry of the workspace of a request, which counts as the most recently used. */
  private _entryOf(request: CostRequest): CostEntry {
    const { workspace } = request;
    const key = groupKey(request);
    const id = entryKey(key, workspace);
    const entry = this._entries.get(id) ?? createEntry();
    this._entries.delete(id);
    this._entries.set(id, entry);
    const [leastRecent = ''] = this._entries.keys();
    if (this._entries.size > MAX_ENTRIES) {
      this._entries.delete(leastRecent);
      this._removeFromGroup(leastRecent);
    }
    const group = this._groups.get(key) ?? new Map<string, CostEntry>();
    this._groups.set(key, group);
    group.delete(workspace);
    group.set(workspace, entry);
    const [oldest = ''] = group.keys();
    if (group.size > MAX_COMMON_WORKSPACES) {
      group.delete(oldest);
    }
    return entry;
  }

  private _removeFromGroup(key: string): void {
    const [group = '', workspace = ''] = JSON.parse(key) as readonly string[];
    const entries = this._groups.get(group);
    entries?.delete(workspace);
    if (entries?.size === 0) {
      this._groups.delete(group);
    }
  }

  private _observeError(estimate: string, estimated: number, actual: number): void {
    const ratio = Math.exp(distance(estimated, actual));
    this._options.metrics.observe('tanager_cost_error_ratio', ratio, { estimate });
  }
}

function createEntry(): CostEntry {
  const learned = (): DecayingMean => new DecayingMean(HALF_LIFE_MS, MAX_STEP);
  return {
    share: learned(),
    hintRatio: learned(),
    pace: learned(),
    callMs: learned(),
    shareError: learned(),
    hintError: learned(),
    eventTokens: learned(),
  };
}

/** Requests of one route and service whose prompts are of about the same size. */
function groupKey({ promptTokens, route, service }: CostRequest): string {
  const times = Math.log(Math.max(1, promptTokens / FIRST_CLASS_TOKENS)) / Math.log(CLASS_FACTOR);
  return JSON.stringify([route, service, Math.min(LAST_CLASS, Math.ceil(times))]);
}

function entryKey(group: string, workspace: string): string {
  return JSON.stringify([group, workspace]);
}

/** The distance of two positive numbers as the logarithm of their ratio. */
function distance(a: number, b: number): number {
  return Math.abs(Math.log(a / b));
}
