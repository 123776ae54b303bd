/**
 * Forwards calls with a buffered answer. If a target fails or doesn't answer in time, a repeatable
 * call is sent to another one, within the route's attempts and the retry budget. A call that may
 * not be repeated is sent to another target only if it certainly did not run.
 */
import {
  canRetryElsewhere,
  combineExecutions,
  Execution,
  isRepeatable,
} from '../common/Execution.js';
import type { TargetAnswer, TargetEntry } from '../common/Messages.js';
import { evacuationRetryMs } from '../common/placement/EvacuatedTargets.js';
import { RateDecider } from '../common/placement/RateLimits.js';
import type { SendObstacle } from '../common/placement/SendCheck.js';
import { placeCall } from '../common/placement/ServicePlacer.js';
import { type CallDecision, CallTurn, type PendingCall } from '../common/placement/ServiceQueue.js';
import { type BufferedOutcome, exchangeBuffered } from './BufferedExchange.js';
import { type BufferedAnswer, isSoundBeyond } from './ExchangeOptions.js';
import {
  admitAttempt,
  candidatesOf,
  evacuatedCandidatesOf,
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
import { recordCallCost } from './RequestCost.js';
import { answerUnserved } from './UnservedAnswer.js';

const FIRST_SERVER_ERROR = 500;
/**
 * Timeout of an attempt of a repeatable call, in latency targets of its route. The last attempt has
 * until the deadline, as has a call that may not be repeated.
 */
const ATTEMPT_TIMEOUT_FACTOR = 2;
/** How long a call waits for a target that accepts requests and has not been tried. */
const TARGET_WAIT_MS = 250;
const TARGET_POLL_MS = 25;
/** A caller with this much less time than the route allows was refused before. */
const MIN_SPENT_MS = 50;
/** Retry-After if no target of the service accepted the call. */
const NO_TARGET_RETRY_AFTER_MS = 300;

/** Forwards one call, with one or more attempts. */
class CallForwarding {
  private _execution = Execution.NotSent;
  private _attempts = 0;
  private _cause: string | undefined;
  private _failure: BufferedAnswer | undefined;
  private _hasTimedOut = false;
  private _withheld = 0;
  /** Whether an attempt was admitted of which nothing has been sent yet. */
  private _isAdmitted = false;
  /** Whether the attempt after the current one was admitted. */
  private _isReplacementAdmitted = false;
  /** Identifies the current attempt among the requests that count for the rate of its target. */
  private _rateKey = '';
  private _retryAfterMs = NO_TARGET_RETRY_AFTER_MS;
  private readonly _triedTargets: string[] = [];

  constructor(
    private readonly _dependencies: ForwardingDependencies,
    private readonly _request: ForwardedRequest,
  ) {}

  public async run(): Promise<RequestReport> {
    const { clock, serviceQueue } = this._dependencies;
    const call = this._toPendingCall();
    const decision = await this._awaitTurn(call);
    if (decision !== CallTurn.Sent) {
      this._cause = 'all targets have calls waiting';
      this._retryAfterMs = decision.retryAfterMs;
      return this._finishUnserved();
    }
    try {
      return await this._forward();
    } finally {
      serviceQueue.recordEnd(call, clock.now());
    }
  }

  /** Waits until the call may be sent; not at all unless all targets have calls waiting. */
  private async _awaitTurn(call: PendingCall): Promise<CallDecision> {
    const { clock, log, serviceQueue } = this._dependencies;
    const { id, service, signal } = this._request;
    const turn: { decision?: CallDecision } = {};
    const decided = new AbortController();
    const withdraw = serviceQueue.add(call, clock.now(), (made) => {
      turn.decision = made;
      decided.abort();
    });
    while (turn.decision === undefined && !signal.aborted) {
      await clock.sleep(TARGET_POLL_MS, AbortSignal.any([decided.signal, signal]));
      serviceQueue.evaluate(clock.now());
    }
    withdraw();
    const decision = turn.decision ?? { retryAfterMs: NO_TARGET_RETRY_AFTER_MS };
    if (decision !== CallTurn.Sent && !signal.aborted) {
      const { retryAfterMs } = decision;
      log.write('call.refused', { request: id, service: service.name, retryAfterMs });
    }
    return decision;
  }

  private _toPendingCall(): PendingCall {
    const { caller, deadlineAt, receivedAt, route, service, workspace } = this._request;
    return {
      service: service.name,
      workspace: workspace?.name ?? '',
      isReturning: (caller.remainingMs ?? route.timeoutMs) < route.timeoutMs - MIN_SPENT_MS,
      arrivedAt: receivedAt,
      dueAt: Math.min(deadlineAt, receivedAt + route.latencyTargetMs),
    };
  }

  private async _forward(): Promise<RequestReport> {
    const { route, signal } = this._request;
    while (this._attempts < route.maxAttempts && this._withheld < MAX_WITHHELD && !signal.aborted) {
      const target = isQuarantined(this._dependencies, this._request)
        ? undefined
        : await this._awaitTarget();
      if (target === undefined || !this._admitAttempt()) {
        break;
      }
      this._triedTargets.push(target.id);
      const sentAt = this._dependencies.clock.now();
      const outcome = await this._sendToTarget(target);
      if (outcome.answer === undefined && outcome.obstacle !== undefined) {
        this._recordWithheld(target, outcome.obstacle);
        continue;
      }
      this._isAdmitted = this._isReplacementAdmitted;
      this._isReplacementAdmitted = false;
      this._execution = combineExecutions(this._execution, outcome.execution);
      if (outcome.execution !== Execution.NotSent) {
        this._attempts++;
      }
      const report = this._handleOutcome(target, outcome, sentAt);
      if (report !== undefined) {
        return report;
      }
    }
    return this._finishUnserved();
  }

  /** Admits an attempt; one that was withheld need not be admitted again. */
  private _admitAttempt(): boolean {
    this._isAdmitted ||= this._admits(this._attempts);
    return this._isAdmitted;
  }

  private _admits(delivered: number): boolean {
    const selected = this._triedTargets.length;
    return admitAttempt(this._dependencies, this._request, selected, delivered);
  }

  private async _awaitTarget(): Promise<TargetEntry | undefined> {
    const { clock } = this._dependencies;
    const { deadlineAt, signal } = this._request;
    const waitUntil = Math.min(deadlineAt, clock.now() + TARGET_WAIT_MS);
    for (;;) {
      const target = this._findTarget();
      if (target !== undefined || clock.now() >= waitUntil || signal.aborted) {
        return target;
      }
      if (this._isRateLimited() || this._isPaused() || this._isEvacuated()) {
        return undefined;
      }
      await clock.sleep(TARGET_POLL_MS, signal);
    }
  }

  private _findTarget(): TargetEntry | undefined {
    const { availabilityZone, health, pauses, random, rateLimits, serviceLoad } =
      this._dependencies;
    const candidates = this._untriedTargets()
      .filter(({ id }) => rateLimits.permits(id) && !pauses.isPaused(id))
      .map((entry) => ({
        entry,
        inFlight: health.inFlight(entry.id),
        wait: serviceLoad.waitMs(entry.id) / Math.max(1, serviceLoad.usualMs(entry.service)),
        failureRate: health.failureRate(entry.id),
        isSuspect: health.isSuspect(entry.id) || health.countReporters(entry.id) > 0,
      }));
    const target = placeCall(candidates, availabilityZone);
    if (target !== undefined) {
      this._rateKey = random.identifier();
      rateLimits.admit([target.id], this._rateKey);
    }
    return target;
  }

  private _untriedTargets(): readonly TargetEntry[] {
    return candidatesOf(this._dependencies, this._request).filter(
      ({ id }) => !this._triedTargets.includes(id),
    );
  }

  /**
   * Whether all targets limit their requests and take none soon; sets the time to retry. The call
   * waits for cold targets only, and not for long.
   */
  private _isRateLimited(): boolean {
    const { rateLimits } = this._dependencies;
    const ids = this._untriedTargets().map(({ id }) => id);
    if (rateLimits.permitsWaiting(ids, 0, RateDecider.Shared)) {
      return false;
    }
    this._cause = `${ids.length} targets limit the rate of their requests`;
    this._retryAfterMs = rateLimits.nextTurnMs(this._request.service.name, ids);
    return true;
  }

  /** Whether all targets asked for a pause; sets the time to retry. */
  private _isPaused(): boolean {
    const ids = this._untriedTargets().map(({ id }) => id);
    const retryAfterMs = this._dependencies.pauses.retryAfterMs(ids);
    if (retryAfterMs !== undefined) {
      this._cause = `${ids.length} targets are paused`;
      this._retryAfterMs = retryAfterMs;
    }
    return retryAfterMs !== undefined;
  }

  /** Whether all targets are in evacuated zones; sets the time to retry. */
  private _isEvacuated(): boolean {
    const accepting = candidatesOf(this._dependencies, this._request);
    const evacuated = evacuatedCandidatesOf(this._dependencies, this._request);
    const retryMs = evacuationRetryMs(accepting, evacuated, this._dependencies.random);
    if (retryMs !== undefined) {
      this._cause = `${evacuated.length} targets are in evacuated zones`;
      this._retryAfterMs = retryMs;
    }
    return retryMs !== undefined;
  }

  private async _sendToTarget(target: TargetEntry): Promise<BufferedOutcome> {
    const { clock, health } = this._dependencies;
    const { caller, deadlineAt, route } = this._request;
    const attemptTimeoutAt = clock.now() + ATTEMPT_TIMEOUT_FACTOR * route.latencyTargetMs;
    const chosen = { target, countedTargets: [target.id], rateKey: this._rateKey };
    health.recordStart(target.id);
    try {
      return await exchangeBuffered({
        ...prepareExchange(this._dependencies, this._request, chosen, {
          lastEventId: caller.lastEventId,
        }),
        answerBuffers: this._dependencies.answerBuffers,
        timeoutAt: attemptTimeoutAt,
        deadlineAt,
        findReplacement: (execution) => this._findReplacement(execution),
      });
    } finally {
      health.recordEnd(target.id);
    }
  }

  /** Whether another target may get the call now, and the attempt is admitted. */
  private _findReplacement(execution: Execution): boolean {
    const { pauses, rateLimits } = this._dependencies;
    const { route } = this._request;
    const attempts = this._attempts + (execution === Execution.NotSent ? 0 : 1);
    const isPermitted =
      attempts < route.maxAttempts &&
      isRepeatable(route) &&
      this._untriedTargets().some(({ id }) => rateLimits.permits(id) && !pauses.isPaused(id));
    this._isReplacementAdmitted = isPermitted && this._admits(attempts);
    return this._isReplacementAdmitted;
  }

  /** Records an attempt of which nothing was sent, so that another target may be tried. */
  private _recordWithheld({ id }: TargetEntry, obstacle: SendObstacle): void {
    this._withheld++;
    this._triedTargets.pop();
    this._cause = `${id} may not get the request: ${obstacle}`;
    recordWithheld(this._dependencies, this._request, id, obstacle);
  }

  /** Ends the request with the outcome, or returns undefined if another target may be tried. */
  private _handleOutcome(
    target: TargetEntry,
    outcome: BufferedOutcome,
    sentAt: number,
  ): RequestReport | undefined {
    const { clock, health, metrics } = this._dependencies;
    const { route, signal } = this._request;
    if (signal.aborted) {
      return this._report(RequestOutcome.CallerDisconnected);
    }
    if (outcome.answer === undefined) {
      this._cause = outcome.cause;
      const waitedMs = clock.now() - sentAt;
      const isTargetAtFault =
        !isSoundBeyond(outcome.limit) &&
        (!outcome.isTimeout || waitedMs >= ATTEMPT_TIMEOUT_FACTOR * route.latencyTargetMs);
      const suspectMs = isTargetAtFault ? health.recordConnectionFailure(target.id, sentAt) : 0;
      if (outcome.limit !== undefined) {
        metrics.increment('tanager_answers_ended_total', { limit: outcome.limit });
      }
      this._logFailedAttempt(target, outcome, suspectMs);
      if (outcome.isCutOff && outcome.execution === Execution.MayHaveRun) {
        recordCrash(this._dependencies, this._request, target);
      }
      this._hasTimedOut = outcome.isTimeout && isOverdue(this._dependencies, this._request);
      const mayRetry = !this._hasTimedOut && canRetryElsewhere(route, outcome.execution);
      return mayRetry ? undefined : this._finishUnserved();
    }
    const { head } = outcome.answer;
    const isFailure = head.status >= FIRST_SERVER_ERROR;
    health.recordAnswer(target.id, isFailure);
    this._recordLoad(target, head, sentAt + (outcome.waitedMs ?? 0));
    if (head.isMisdirected) {
      health.recordConnectionFailure(target.id);
    }
    if (!isFailure && !head.isNotRun) {
      this._dependencies.quarantine.recordAnswer(possibleCausesOf(this._request));
      recordCallCost(this._dependencies, this._request, clock.now() - sentAt);
      return this._forwardAnswer(outcome.answer, RequestOutcome.Answered);
    }
    this._cause = `status ${head.status}`;
    this._logFailedAttempt(target, outcome, 0);
    if (!head.isNotRun) {
      this._failure = outcome.answer;
    }
    return canRetryElsewhere(route, outcome.execution) ? undefined : this._finishUnserved();
  }

  private _recordLoad(target: TargetEntry, answer: TargetAnswer, sentAt: number): void {
    const { serviceLoad } = this._dependencies;
    const { isLeaving, isMisdirected, isNotRun, pauseMs } = answer;
    if (!isNotRun && !isMisdirected) {
      serviceLoad.recordAnswer(target, sentAt);
    } else if (!isMisdirected && !isLeaving && pauseMs === undefined) {
      serviceLoad.recordFull(target);
    }
  }

  private _logFailedAttempt(
    target: TargetEntry,
    outcome: BufferedOutcome,
    suspectMs: number,
  ): void {
    this._dependencies.log.write('request.attempt-failed', {
      request: this._request.id,
      target: target.id,
      execution: outcome.execution,
      cause: this._cause,
      limit: outcome.answer === undefined ? outcome.limit : undefined,
      suspectMs,
      waitedMs: outcome.waitedMs === undefined ? undefined : Math.round(outcome.waitedMs),
      attempts: this._attempts,
      fingerprint: this._request.fingerprints[0],
    });
  }

  /** Ends the request when no attempt succeeded and none is left. */
  private _finishUnserved(): RequestReport {
    if (this._request.signal.aborted) {
      return this._report(RequestOutcome.CallerDisconnected);
    }
    if (this._failure !== undefined) {
      return this._forwardAnswer(this._failure, RequestOutcome.TargetFailure);
    }
    const outcome = answerUnserved(this._dependencies, this._request, {
      execution: this._execution,
      hasTimedOut: this._hasTimedOut,
      retryAfterMs: this._retryAfterMs,
      notRunRemedy: 'no target of the service accepts the request now; send it again',
      mayHaveRunRemedy: 'the request may have run; check its effect before sending it again',
    });
    return this._report(outcome);
  }

  private _forwardAnswer(
    { body, head, headers }: BufferedAnswer,
    outcome: RequestOutcome,
  ): RequestReport {
    const { method, response } = this._request;
    response.sendBuffered(head.status, headers, body, isBodyless(method, head.status));
    return this._report(outcome);
  }

  private _report(outcome: RequestOutcome): RequestReport {
    return {
      ending: outcome,
      execution: this._execution,
      attempts: this._attempts,
      targets: this._triedTargets.join(' '),
      cause: this._cause,
    };
  }
}

/** Forwards a call and reports its outcome. */
export function forwardCall(
  dependencies: ForwardingDependencies,
  request: ForwardedRequest,
): Promise<RequestReport> {
  return new CallForwarding(dependencies, request).run();
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

function isBodyless(method: string, status: number): boolean {
  return method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED;
}
