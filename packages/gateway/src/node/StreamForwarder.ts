/**
 * Forwards event streams to engines. If a stream breaks or sends no event in time and its route is
 * resumable, it is resumed on another engine after the last event that the caller received. A silent
 * engine is given up only once another one is placed and the attempt admitted, since it may still
 * send. If a broken stream can't be resumed and the answer has begun, the caller's connection is
 * closed, so that the answer doesn't look complete.
 */
import { EventStreamSplitter } from '../common/EventStreamSplitter.js';
import { canRetryElsewhere, combineExecutions, Execution } from '../common/Execution.js';
import type { EngineProfile } from '../common/Messages.js';
import type { CostEstimate, CostRequest } from '../common/placement/CostEstimates.js';
import { RefusedPrompt } from '../common/placement/PlacementDecision.js';
import type { SendObstacle } from '../common/placement/SendCheck.js';
import type { PlacedPrompt } from '../common/placement/PromptScheduler.js';
import { PromptReservations } from '../common/placement/PromptReservations.js';
import { isReplacementFaster } from '../common/StreamPace.js';
import { type BufferedAnswer, isSoundBeyond } from './ExchangeOptions.js';
import {
  admitAttempt,
  type ForwardedRequest,
  type ForwardingDependencies,
  isOverdue,
  isQuarantined,
  MAX_WITHHELD,
  possibleCausesOf,
  prepareExchange,
  recordCrash,
  recordWithheld,
  RequestOutcome,
  type RequestReport,
} from './ForwardedRequest.js';
import { LostAnswerCheck } from './LostAnswerCheck.js';
import { costRequestOf, promptOf, waitsUntil } from './PromptOfRequest.js';
import {
  exchangeStream,
  StreamEnd,
  type StreamOutcome,
  type StreamSilence,
} from './StreamExchange.js';
import { enginePriority, firstEventTimeoutMs, nextEventTimeoutMs } from './StreamLimits.js';
import { answerUnserved } from './UnservedAnswer.js';

/** Limit of refusals without execution that don't count as attempts of a request. */
const MAX_EXCUSED_REFUSALS = 2;
/** An engine that ends this long after the first event may have crashed under that prompt. */
const CRASH_WINDOW_MS = 500;
/** Retry-After if the engines refused the prompt although the scheduler had found capacity. */
const DEFAULT_RETRY_AFTER_MS = 300;

/** Forwards one stream, with one or more attempts. */
class StreamForwarding {
  private readonly _splitter: EventStreamSplitter;
  private _execution = Execution.NotSent;
  private _attempts = 0;
  private _excusedRefusals = 0;
  private _withheld = 0;
  /** Whether an attempt was admitted of which nothing has been sent yet. */
  private _isAdmitted = false;
  /** Whether the attempt after the current one was admitted. */
  private _isReplacementAdmitted = false;
  private _cause: string | undefined;
  private _failure: BufferedAnswer | undefined;
  private readonly _excludedEngines = new Set<string>();
  private readonly _triedPlacements: string[] = [];
  private _firstEventAt: number | undefined;
  private _longestPauseMs = 0;
  /** When the current attempt was sent. */
  private _sentAt = 0;
  private _placement: PlacedPrompt | undefined;
  /** Placement of the next attempt, while the engine of the current one is silent. */
  private _replacement: PlacedPrompt | undefined;
  private _retryAfterMs = DEFAULT_RETRY_AFTER_MS;
  private readonly _costRequest: CostRequest;
  private readonly _estimate: CostEstimate;

  constructor(
    private readonly _dependencies: ForwardingDependencies,
    private readonly _request: ForwardedRequest,
    private readonly _profile: EngineProfile,
  ) {
    this._splitter = new EventStreamSplitter(_request.caller.lastEventId);
    this._costRequest = costRequestOf(_request);
    this._estimate = _dependencies.costs.estimate(this._costRequest);
  }

  public async run(): Promise<RequestReport> {
    try {
      return await this._runAttempts();
    } finally {
      this._replacement?.end();
    }
  }

  private async _runAttempts(): Promise<RequestReport> {
    const { route, signal } = this._request;
    while (this._attempts < route.maxAttempts && this._withheld < MAX_WITHHELD && !signal.aborted) {
      if (isOverdue(this._dependencies, this._request)) {
        break;
      }
      if (isQuarantined(this._dependencies, this._request)) {
        break;
      }
      const placed = this._replacement ?? (await this._place(signal));
      this._replacement = undefined;
      if (placed instanceof RefusedPrompt) {
        this._recordRefusal(placed);
        break;
      }
      if (!this._admitAttempt()) {
        placed.end();
        break;
      }
      this._placement = placed;
      const outcome = await this._runAttempt(placed);
      if (outcome === undefined) {
        continue;
      }
      if (outcome.obstacle !== undefined) {
        this._recordWithheld(placed, outcome.obstacle);
        continue;
      }
      this._isAdmitted = this._isReplacementAdmitted;
      this._isReplacementAdmitted = false;
      this._execution = combineExecutions(this._execution, outcome.execution);
      this._countAttempt(outcome);
      const report = this._handleOutcome(placed, outcome);
      if (report !== undefined) {
        return report;
      }
    }
    return this._finishUnserved();
  }

  /** Admits an attempt; one that was withheld, or lacked memory, need not be admitted again. */
  private _admitAttempt(): boolean {
    this._isAdmitted ||= this._admits(this._deliveredAttempts);
    return this._isAdmitted;
  }

  private _admits(delivered: number): boolean {
    const selected = this._triedPlacements.length;
    return admitAttempt(this._dependencies, this._request, selected, delivered);
  }

  /**
   * Runs one attempt, then releases its reservations and removes it from the active requests.
   * Returns undefined if an engine had no memory for its part of the prompt.
   */
  private async _runAttempt(placed: PlacedPrompt): Promise<StreamOutcome | undefined> {
    try {
      if (placed.reservedTokens === 0) {
        return await this._sendToEngines(placed);
      }
      const reservations = await this._reserve(placed);
      return reservations && (await this._sendReserved(placed, reservations));
    } finally {
      placed.end();
    }
  }

  /** Records an attempt of which nothing was sent, so that another placement is made. */
  private _recordWithheld({ targets: [primary] }: PlacedPrompt, obstacle: SendObstacle): void {
    this._withheld++;
    this._triedPlacements.pop();
    this._cause = `${primary.id} may not get the prompt: ${obstacle}`;
    recordWithheld(this._dependencies, this._request, primary.id, obstacle);
  }

  /**
   * Counts an attempt that reached an engine. Refusals without execution are excused up to a limit
   * in two cases: if the answer has begun, since it is lost when it can't be resumed, and if the
   * fault lies with a reader, which is replaced while the primary engine stays usable.
   */
  private _countAttempt(outcome: StreamOutcome): void {
    const { execution, failure } = outcome;
    const isReaderAtFault = failure?.head.failedAddress !== undefined;
    const isExcused = isReaderAtFault || this._request.response.isBegun;
    if (
      execution === Execution.NotRun &&
      isExcused &&
      this._excusedRefusals < MAX_EXCUSED_REFUSALS
    ) {
      this._excusedRefusals++;
    } else if (execution !== Execution.NotSent) {
      this._attempts++;
    }
  }

  /** Number of attempts that reached an engine. */
  private get _deliveredAttempts(): number {
    return this._attempts + this._excusedRefusals;
  }

  private _recordRefusal({ ahead, engineCount, refusal, retryAfterMs }: RefusedPrompt): void {
    const queue = ahead === 0 ? '' : ` behind ${ahead} waiting prompts`;
    this._cause = `${refusal} on ${engineCount} engines${queue}`;
    this._retryAfterMs = retryAfterMs;
  }

  /** Places and admits the next attempt while the engine of the current one is silent. */
  private async _findReplacement(
    current: PlacedPrompt,
    { durationMs, execution }: StreamSilence,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { route } = this._request;
    const counted = execution === Execution.NotSent ? 0 : 1;
    const isPermitted =
      this._attempts + counted < route.maxAttempts &&
      canRetryElsewhere(route, execution) &&
      !isQuarantined(this._dependencies, this._request);
    if (!isPermitted) {
      return false;
    }
    const placed = await this._place(signal, current.targets[0].id);
    if (placed instanceof RefusedPrompt) {
      return false;
    }
    const isWanted = !signal.aborted && isReplacementFaster(durationMs(), placed.firstEventMs);
    if (!isWanted || !this._admits(this._deliveredAttempts + counted)) {
      placed.end();
      return false;
    }
    this._replacement = placed;
    this._isReplacementAdmitted = true;
    return true;
  }

  private _place(
    signal: AbortSignal,
    ...alsoExcluded: readonly string[]
  ): Promise<PlacedPrompt | RefusedPrompt> {
    const { clock, reservationFailures, scheduler } = this._dependencies;
    const avoided = this._needsReservations ? reservationFailures.avoided : [];
    const excluded = new Set([...this._excludedEngines, ...alsoExcluded, ...avoided]);
    const prompt = promptOf(this._request, this._profile, this._estimate, excluded);
    return scheduler.place(prompt, waitsUntil(this._request, clock.now()), signal);
  }

  /** Whether no engine alone has the memory for the prompt. */
  private get _needsReservations(): boolean {
    const { outputTokens, promptTokens } = this._request.caller;
    return promptTokens + outputTokens > this._profile.memoryTokens;
  }

  /** Reserves memory for a shared prompt; excludes engines that fail to and returns undefined. */
  private async _reserve(placed: PlacedPrompt): Promise<PromptReservations | undefined> {
    const { log, random } = this._dependencies;
    const id = random.identifier();
    const { reservedTokens: tokens, targets } = placed;
    const reservations = new PromptReservations(this._dependencies, { id, targets, tokens });
    const failed = await reservations.acquire(this._request.deadlineAt);
    log.write('reservation.asked', {
      request: this._request.id,
      id,
      tokens,
      targets: targets.length,
      full: failed.length === 0 ? undefined : failed.map((each) => each.id).join(' '),
    });
    if (failed.length === 0) {
      return reservations;
    }
    reservations.dispose();
    for (const { id: engine } of failed) {
      this._excludedEngines.add(engine);
    }
    return undefined;
  }

  /** Sends a prompt whose memory is reserved; the reservations end with the attempt. */
  private async _sendReserved(
    placed: PlacedPrompt,
    reservations: PromptReservations,
  ): Promise<StreamOutcome> {
    const check = new LostAnswerCheck({
      clock: this._dependencies.clock,
      firstEventMs: placed.firstEventMs,
      nextEventMs: nextEventTimeoutMs(this._request.route),
      eventCount: () => this._splitter.eventCount,
      hasEnded: () => reservations.hasEnded(),
    });
    try {
      return await this._sendToEngines(placed, reservations.id, check.lostSignal);
    } finally {
      check.dispose();
      reservations.dispose();
    }
  }

  private _sendToEngines(
    placed: PlacedPrompt,
    reservation?: string,
    lostSignal?: AbortSignal,
  ): Promise<StreamOutcome> {
    const { deadlineAt, response, route } = this._request;
    const [target, ...others] = placed.targets;
    // The primary engine holds a reservation too, so it is listed with the others.
    const readers = reservation === undefined ? others : placed.targets;
    this._triedPlacements.push(placed.targets.map(({ id }) => id).join('+'));
    this._sentAt = this._dependencies.clock.now();
    const countedTargets = placed.targets.map(({ id }) => id);
    const chosen = { target, countedTargets, rateKey: placed.rateKey };
    const exchange = prepareExchange(this._dependencies, this._request, chosen, {
      lastEventId: this._splitter.lastEventId,
      enginePriority: enginePriority(route),
      readers: readers.map(({ address }) => ({ address, reservation })),
    });
    this._splitter.discardPartialEvent();
    return exchangeStream({
      ...exchange,
      splitter: this._splitter,
      response,
      deadlineAt,
      firstEventTimeoutMs: firstEventTimeoutMs(placed.firstEventMs, route),
      nextEventTimeoutMs: nextEventTimeoutMs(route),
      onFirstEvent: () => {
        placed.markGenerating();
      },
      lostSignal,
      findReplacement: (silence, signal) => this._findReplacement(placed, silence, signal),
    });
  }

  private _handleOutcome(placed: PlacedPrompt, outcome: StreamOutcome): RequestReport | undefined {
    const { health } = this._dependencies;
    const [target] = placed.targets;
    this._firstEventAt ??= outcome.firstEventAt;
    this._longestPauseMs = Math.max(this._longestPauseMs, outcome.longestPauseMs);
    this._cause = outcome.cause === '' ? this._cause : outcome.cause;
    if (outcome.end === StreamEnd.Complete) {
      health.recordAnswer(target.id, false);
      if (outcome.firstEventAt !== undefined) {
        this._dependencies.quarantine.recordAnswer(possibleCausesOf(this._request));
      }
      this._recordCost(outcome);
      this._request.response.end();
      return this._report(RequestOutcome.Answered);
    }
    if (outcome.end === StreamEnd.Cancelled) {
      return this._finishUnserved();
    }
    this._recordFailedAttempt(placed, outcome);
    return canRetryElsewhere(this._request.route, outcome.execution)
      ? undefined
      : this._finishUnserved();
  }

  /** Records what the answer took, if all of it came from one attempt. */
  private _recordCost({ firstEventAt }: StreamOutcome): void {
    const { clock, costs } = this._dependencies;
    const isWhole = this._attempts === 1 && this._request.caller.lastEventId === undefined;
    if (isWhole && firstEventAt !== undefined) {
      costs.record({
        request: this._costRequest,
        estimate: this._estimate,
        events: this._splitter.eventCount,
        generationMs: clock.now() - firstEventAt,
      });
    }
  }

  /**
   * Excludes the engine at fault from this request. If it broke off, sent no event in time or was
   * reported by another engine, it also becomes suspect: other requests avoid it for a while.
   */
  private _recordFailedAttempt(placed: PlacedPrompt, outcome: StreamOutcome): void {
    const { clock, health, log, metrics } = this._dependencies;
    const [primary] = placed.targets;
    if (outcome.limit !== undefined) {
      metrics.increment('tanager_answers_ended_total', { limit: outcome.limit });
    }
    const failedAddress = outcome.failure?.head.failedAddress;
    const faultyEngine = placed.targets.find(({ address }) => address === failedAddress) ?? primary;
    const isFull = outcome.failure?.head.isNotRun === true && failedAddress === undefined;
    let suspectMs = 0;
    this._excludedEngines.add(faultyEngine.id);
    if (outcome.failure !== undefined && failedAddress === undefined) {
      health.recordAnswer(faultyEngine.id, !isFull);
    } else if (!isSoundBeyond(outcome.limit)) {
      suspectMs = health.recordConnectionFailure(faultyEngine.id, this._sentAt);
    }
    const eventAgeMs = ageOf(outcome.firstEventAt, clock.now());
    if (
      outcome.isCutOff &&
      outcome.execution === Execution.MayHaveRun &&
      (eventAgeMs ?? 0) < CRASH_WINDOW_MS
    ) {
      recordCrash(this._dependencies, this._request, primary);
    }
    if (outcome.failure !== undefined && !outcome.failure.head.isNotRun) {
      this._failure = outcome.failure;
    }
    log.write('request.attempt-failed', {
      request: this._request.id,
      target: faultyEngine.id,
      readers: placed.targets.length - 1,
      end: outcome.end,
      execution: outcome.execution,
      cause: outcome.cause,
      limit: outcome.limit,
      lastEventId: this._splitter.lastEventId,
      firstEventAgeMs: eventAgeMs,
      parts: this._request.caller.sharedParts.join(' '),
      fingerprint: this._request.fingerprints[0],
      suspectMs,
    });
  }

  /** Ends the request when no attempt succeeded and none is left. */
  private _finishUnserved(): RequestReport {
    const { response, signal } = this._request;
    if (signal.aborted) {
      return this._report(RequestOutcome.CallerDisconnected);
    }
    if (response.isBegun) {
      response.abort();
      return this._report(RequestOutcome.Aborted);
    }
    if (this._failure !== undefined) {
      const { body, head, headers } = this._failure;
      response.sendBuffered(head.status, headers, body, false);
      return this._report(RequestOutcome.TargetFailure);
    }
    const outcome = answerUnserved(this._dependencies, this._request, {
      execution: this._execution,
      hasTimedOut: isOverdue(this._dependencies, this._request),
      retryAfterMs: this._retryAfterMs,
      notRunRemedy:
        'no engine has capacity for the prompt now; retry after the time in Retry-After',
      mayHaveRunRemedy: 'send the request again, with the id of the last event if one was received',
    });
    return this._report(outcome);
  }

  private _report(outcome: RequestOutcome): RequestReport {
    const { metrics } = this._dependencies;
    const { receivedAt } = this._request;
    if (this._firstEventAt !== undefined) {
      metrics.observe('tanager_first_event_ms', this._firstEventAt - receivedAt);
      metrics.observe('tanager_longest_pause_ms', this._longestPauseMs);
    }
    const firstEventMs =
      this._firstEventAt === undefined ? undefined : Math.round(this._firstEventAt - receivedAt);
    return {
      ending: outcome,
      execution: this._execution,
      attempts: this._attempts,
      targets: this._triedPlacements.join(' '),
      cause: this._cause,
      firstEventMs,
      longestPauseMs: Math.round(this._longestPauseMs),
      expectedMs: Math.round(this._placement?.firstEventMs ?? 0),
      expectedTokens: Math.round(this._estimate.outputTokens),
      partMs: Math.round(this._placement?.partPrefillMs ?? 0),
      placedBy: this._placement?.decidedBy,
      placementCost: Math.round((this._placement?.cost ?? 0) * 100) / 100,
    };
  }
}

/** Forwards a stream and reports its outcome. */
export function forwardStream(
  dependencies: ForwardingDependencies,
  request: ForwardedRequest,
  profile: EngineProfile,
): Promise<RequestReport> {
  return new StreamForwarding(dependencies, request, profile).run();
}

/** Time since an event, rounded for the log. */
function ageOf(at: number | undefined, now: number): number | undefined {
  return at === undefined ? undefined : Math.round(now - at);
}
