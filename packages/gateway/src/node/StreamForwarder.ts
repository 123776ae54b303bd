/**
 * Forwards event streams to engines. A stream that breaks or falls silent is resumed at another
 * engine after the last event that the caller got, where its route allows that; otherwise the
 * caller's answer breaks off visibly.
 */
import { EventStreamSplitter } from '../common/EventStreamSplitter.js';
import { Execution, mayMove, worse } from '../common/Execution.js';
import type { EngineProfile } from '../common/Messages.js';
import { type PlacedPrompt, RefusedPrompt } from '../common/placement/EngineScheduler.js';
import { PromptReservations } from '../common/placement/PromptReservations.js';
import {
  Ending,
  exchangeWith,
  type ForwardedRequest,
  type ForwardingParts,
  isOverdue,
  mayTry,
  type RequestReport,
} from './ForwardedRequest.js';
import { exchangeStream, StreamEnd, type StreamOutcome } from './StreamExchange.js';
import { enginePriority, firstSilenceMs, laterSilenceMs } from './StreamLimits.js';
import type { WholeAnswer } from './TargetExchange.js';
import { answerUnserved } from './UnservedAnswer.js';

/** Share of the time left for which a prompt waits for room before it is refused. */
const ROOM_WAIT_SHARE = 0.25;
/** Refusals of engines that did not run the request and that may cost none of its attempts. */
const EXTRA_REFUSALS = 2;
/** When callers come back whose prompt engines refused though they seemed to have room. */
const REFUSED_RETRY_MS = 300;

/** Reservations that a run holds, or none. */
interface HeldReservations {
  readonly id: string | undefined;
  dispose(): void;
}

const NO_RESERVATIONS: HeldReservations = { id: undefined, dispose: () => undefined };

/** One stream under way. */
class StreamForwarding {
  private readonly _splitter: EventStreamSplitter;
  private _execution = Execution.NotSent;
  private _attempts = 0;
  private _refusals = 0;
  private _cause: string | undefined;
  private _failure: WholeAnswer | undefined;
  private readonly _excluded = new Set<string>();
  private readonly _tried: string[] = [];
  private _firstEventAt: number | undefined;
  private _longestPauseMs = 0;
  private _placement: PlacedPrompt | undefined;
  private _retryAfterMs = REFUSED_RETRY_MS;

  constructor(
    private readonly _parts: ForwardingParts,
    private readonly _request: ForwardedRequest,
    private readonly _profile: EngineProfile,
  ) {
    this._splitter = new EventStreamSplitter(_request.caller.lastEventId);
  }

  public async run(): Promise<RequestReport> {
    const { route, signal } = this._request;
    while (this._attempts < route.maxAttempts && !signal.aborted) {
      const placed = await this._place();
      if (placed instanceof RefusedPrompt) {
        this._noteRefusal(placed);
        break;
      }
      if (!mayTry(this._parts, this._request, this._tried.length, this._arrivals)) {
        placed.end();
        break;
      }
      this._placement = placed;
      const outcome = await this._runPlaced(placed);
      if (outcome === undefined) {
        continue;
      }
      this._execution = worse(this._execution, outcome.execution);
      this._countAttempt(outcome);
      const report = this._conclude(placed, outcome);
      if (report !== undefined) {
        return report;
      }
    }
    return this._giveUp();
  }

  /** One run; nothing when an engine had no room for its part. Work and memory end with it. */
  private async _runPlaced(placed: PlacedPrompt): Promise<StreamOutcome | undefined> {
    let reservations: HeldReservations | undefined;
    try {
      reservations = await this._reserve(placed);
      return reservations && (await this._tryPlacement(placed, reservations.id));
    } finally {
      reservations?.dispose();
      placed.end();
    }
  }

  /**
   * Some refusals cost no attempt: a begun stream is lost when it can't go on, and an engine that only
   * reads for another one is replaced while the request stays where it is.
   */
  private _countAttempt(outcome: StreamOutcome): void {
    const { execution, failure } = outcome;
    const isReaderAtFault = failure?.answer.failedAddress !== undefined;
    const isExcused = isReaderAtFault || this._request.response.isBegun;
    if (execution === Execution.RefusedUnrun && isExcused && this._refusals < EXTRA_REFUSALS) {
      this._refusals++;
    } else if (execution !== Execution.NotSent) {
      this._attempts++;
    }
  }

  /** How often the request has reached an engine. */
  private get _arrivals(): number {
    return this._attempts + this._refusals;
  }

  private _noteRefusal({ engines, refusal, retryAfterMs }: RefusedPrompt): void {
    this._cause = `${refusal} on ${engines} engines`;
    this._retryAfterMs = retryAfterMs;
  }

  private _place(): Promise<PlacedPrompt | RefusedPrompt> {
    const { clock, scheduler } = this._parts;
    const { caller, deadlineAt, receivedAt, route, service, signal } = this._request;
    const now = clock.now();
    const giveUpAt = now + (deadlineAt - now) * ROOM_WAIT_SHARE;
    const prompt = {
      service: service.name,
      profile: this._profile,
      promptTokens: caller.promptTokens,
      outputTokens: caller.outputTokens,
      latencyTargetMs: route.latencyTargetMs,
      pauseTargetMs: route.pauseTargetMs,
      dueAt: receivedAt + route.latencyTargetMs,
      deadlineAt,
      excluded: this._excluded,
    };
    return scheduler.place(prompt, giveUpAt, signal);
  }

  /** Reserves the memory of a shared prompt; nothing when an engine turned out to be full. */
  private async _reserve(placed: PlacedPrompt): Promise<HeldReservations | undefined> {
    const { clock, engines, log, random } = this._parts;
    if (placed.reservedTokens === 0) {
      return NO_RESERVATIONS;
    }
    const id = random.identifier();
    const { reservedTokens: tokens, targets } = placed;
    const reservations = new PromptReservations({ clock, log, engines }, { id, targets, tokens });
    const full = await reservations.acquire();
    log.note('reservation.asked', {
      request: this._request.id,
      id,
      tokens,
      targets: targets.length,
      full: full?.id,
    });
    if (full === undefined) {
      return reservations;
    }
    reservations.dispose();
    this._excluded.add(full.id);
    return undefined;
  }

  private _tryPlacement(
    placed: PlacedPrompt,
    reservation: string | undefined,
  ): Promise<StreamOutcome> {
    const { deadlineAt, response, route } = this._request;
    const [target, ...others] = placed.targets;
    const readers = reservation === undefined ? others : placed.targets;
    this._tried.push(placed.targets.map(({ id }) => id).join('+'));
    const exchange = exchangeWith(this._parts, this._request, target, {
      lastEventId: this._splitter.lastEventId,
      enginePriority: enginePriority(route),
      readers: readers.map(({ address }) => ({ address, reservation })),
    });
    this._splitter.restart();
    return exchangeStream({
      ...exchange,
      splitter: this._splitter,
      response,
      deadlineAt,
      firstSilenceMs: firstSilenceMs(placed.firstEventMs, route),
      silenceMs: laterSilenceMs(route),
      onFirstEvent: () => {
        placed.markGenerating();
      },
    });
  }

  private _conclude(placed: PlacedPrompt, outcome: StreamOutcome): RequestReport | undefined {
    const { health } = this._parts;
    const [target] = placed.targets;
    this._firstEventAt ??= outcome.firstEventAt;
    this._longestPauseMs = Math.max(this._longestPauseMs, outcome.longestPauseMs);
    this._cause = outcome.cause === '' ? this._cause : outcome.cause;
    if (outcome.end === StreamEnd.Complete) {
      health.noteAnswer(target.id, false);
      this._request.response.end();
      return this._report(Ending.Answered);
    }
    if (outcome.end === StreamEnd.Unwanted) {
      return this._giveUp();
    }
    this._noteFailedAttempt(placed, outcome);
    return mayMove(this._request.route, outcome.execution) ? undefined : this._giveUp();
  }

  /** Blames the engine at fault, so that neither this request nor others go there again at once. */
  private _noteFailedAttempt(placed: PlacedPrompt, outcome: StreamOutcome): void {
    const { health, log } = this._parts;
    const [head] = placed.targets;
    const named = outcome.failure?.answer.failedAddress;
    const culprit = placed.targets.find(({ address }) => address === named) ?? head;
    const isFull = outcome.failure?.answer.isNotRun === true && named === undefined;
    let suspectMs = 0;
    this._excluded.add(culprit.id);
    if (outcome.failure === undefined || named !== undefined) {
      suspectMs = health.noteBreak(culprit.id);
    } else {
      health.noteAnswer(culprit.id, !isFull);
    }
    if (outcome.failure !== undefined && !outcome.failure.answer.isNotRun) {
      this._failure = outcome.failure;
    }
    log.note('request.attempt-failed', {
      request: this._request.id,
      target: culprit.id,
      readers: placed.targets.length - 1,
      end: outcome.end,
      execution: outcome.execution,
      cause: outcome.cause,
      lastEventId: this._splitter.lastEventId,
      suspectMs,
    });
  }

  private _giveUp(): RequestReport {
    const { response, signal } = this._request;
    if (signal.aborted) {
      return this._report(Ending.CallerLeft);
    }
    if (response.isBegun) {
      response.break();
      return this._report(Ending.BrokenOff);
    }
    if (this._failure !== undefined) {
      const { answer, body, headers } = this._failure;
      response.passWhole(answer.status, headers, body, false);
      return this._report(Ending.TargetFailure);
    }
    const ending = answerUnserved(this._request, {
      execution: this._execution,
      isLate: isOverdue(this._parts, this._request),
      retryAfterMs: this._retryAfterMs,
      unrunRemedy: 'no engine has room for the prompt now; come back after the time given',
      uncertainRemedy: 'repeat the request with the id of the last event, if there was one',
    });
    return this._report(ending);
  }

  private _report(ending: Ending): RequestReport {
    const { metrics } = this._parts;
    const { receivedAt } = this._request;
    if (this._firstEventAt !== undefined) {
      metrics.observe('tanager_first_event_ms', this._firstEventAt - receivedAt);
      metrics.observe('tanager_longest_pause_ms', this._longestPauseMs);
    }
    const firstEventMs =
      this._firstEventAt === undefined ? undefined : Math.round(this._firstEventAt - receivedAt);
    return {
      ending,
      execution: this._execution,
      attempts: this._attempts,
      targets: this._tried.join(' '),
      cause: this._cause,
      firstEventMs,
      longestPauseMs: Math.round(this._longestPauseMs),
      expectedMs: Math.round(this._placement?.firstEventMs ?? 0),
      partMs: Math.round(this._placement?.partMs ?? 0),
      placementCost: Math.round((this._placement?.cost ?? 0) * 100) / 100,
    };
  }
}

/** Forwards a stream and reports how it ended. */
export function forwardStream(
  parts: ForwardingParts,
  request: ForwardedRequest,
  profile: EngineProfile,
): Promise<RequestReport> {
  return new StreamForwarding(parts, request, profile).run();
}
