/**
 * Forwards plain calls. A repeatable call goes to another target when one fails or is silent, within
 * the route's attempts and the retry budget; a call that may not be repeated moves on only when it
 * certainly did not run.
 */
import { Execution, isRepeatable, mayMove, worse } from '../common/Execution.js';
import type { TargetEntry } from '../common/Messages.js';
import { placeCall } from '../common/placement/ServicePlacer.js';
import {
  Ending,
  exchangeWith,
  type ForwardedRequest,
  type ForwardingParts,
  isOverdue,
  mayTry,
  type RequestReport,
} from './ForwardedRequest.js';
import type { WholeAnswer } from './TargetExchange.js';
import { answerUnserved } from './UnservedAnswer.js';
import { exchangeWhole, type WholeOutcome } from './WholeExchange.js';

const FIRST_SERVER_ERROR = 500;
/** A repeatable call waits this many latency targets for one target, then tries another. */
const PATIENCE_TARGETS = 2;
/** Without a sound target a call waits for one this long. */
const TARGET_WAIT_MS = 250;
const TARGET_POLL_MS = 25;
/** When callers of a service without targets should come back. */
const NO_TARGET_RETRY_MS = 300;

/** One call under way. */
class CallRun {
  private _execution = Execution.NotSent;
  private _attempts = 0;
  private _cause: string | undefined;
  private _failure: WholeAnswer | undefined;
  private _isLate = false;
  private readonly _tried: string[] = [];

  constructor(
    private readonly _parts: ForwardingParts,
    private readonly _request: ForwardedRequest,
  ) {}

  public async run(): Promise<RequestReport> {
    const { route, signal } = this._request;
    while (this._attempts < route.maxAttempts && !signal.aborted) {
      const target = await this._chooseTarget();
      if (
        target === undefined ||
        !mayTry(this._parts, this._request, this._tried.length, this._attempts)
      ) {
        break;
      }
      this._tried.push(target.id);
      const sentAt = this._parts.clock.now();
      const outcome = await this._tryTarget(target);
      this._execution = worse(this._execution, outcome.execution);
      if (outcome.execution !== Execution.NotSent) {
        this._attempts++;
      }
      const report = this._conclude(target, outcome, sentAt);
      if (report !== undefined) {
        return report;
      }
    }
    return this._giveUp();
  }

  private async _chooseTarget(): Promise<TargetEntry | undefined> {
    const { clock } = this._parts;
    const { deadlineAt, signal } = this._request;
    const giveUpAt = Math.min(deadlineAt, clock.now() + TARGET_WAIT_MS);
    for (;;) {
      const target = this._findTarget();
      if (target !== undefined || clock.now() >= giveUpAt || signal.aborted) {
        return target;
      }
      await clock.sleep(TARGET_POLL_MS, signal);
    }
  }

  private _findTarget(): TargetEntry | undefined {
    const { availabilityZone, health, targets } = this._parts;
    const candidates = targets
      .ofService(this._request.service.name)
      .filter(({ id }) => !this._tried.includes(id))
      .map((entry) => ({
        entry,
        inFlight: health.inFlight(entry.id),
        failureRate: health.failureRate(entry.id),
        isSuspect: health.isSuspect(entry.id),
      }));
    return placeCall(candidates, availabilityZone);
  }

  private async _tryTarget(target: TargetEntry): Promise<WholeOutcome> {
    const { clock, health } = this._parts;
    const { caller, deadlineAt, route } = this._request;
    const isLastTry = this._attempts + 1 >= route.maxAttempts || !isRepeatable(route);
    const patienceAt = clock.now() + PATIENCE_TARGETS * route.latencyTargetMs;
    health.noteStart(target.id);
    try {
      return await exchangeWhole({
        ...exchangeWith(this._parts, this._request, target, { lastEventId: caller.lastEventId }),
        giveUpAt: isLastTry ? deadlineAt : Math.min(deadlineAt, patienceAt),
      });
    } finally {
      health.noteEnd(target.id);
    }
  }

  /** Passes the outcome on, or returns nothing when another target may be tried. */
  private _conclude(
    target: TargetEntry,
    outcome: WholeOutcome,
    sentAt: number,
  ): RequestReport | undefined {
    const { clock, health } = this._parts;
    const { route, signal } = this._request;
    if (signal.aborted) {
      return this._report(Ending.CallerLeft);
    }
    if (outcome.whole === undefined) {
      this._cause = outcome.cause;
      const waitedMs = clock.now() - sentAt;
      const isBlamed = !outcome.isLate || waitedMs >= PATIENCE_TARGETS * route.latencyTargetMs;
      const suspectMs = isBlamed ? health.noteBreak(target.id) : 0;
      this._noteMove(target, outcome, suspectMs);
      this._isLate = outcome.isLate && isOverdue(this._parts, this._request);
      const mayTryOn = !this._isLate && mayMove(route, outcome.execution);
      return mayTryOn ? undefined : this._giveUp();
    }
    const { answer } = outcome.whole;
    const isFailure = answer.status >= FIRST_SERVER_ERROR;
    health.noteAnswer(target.id, isFailure);
    if (answer.isMisdirected) {
      health.noteBreak(target.id);
    }
    if (!isFailure && !answer.isNotRun) {
      return this._pass(outcome.whole, Ending.Answered);
    }
    this._cause = `status ${answer.status}`;
    this._noteMove(target, outcome, 0);
    if (!answer.isNotRun) {
      this._failure = outcome.whole;
    }
    return mayMove(route, outcome.execution) ? undefined : this._giveUp();
  }

  private _noteMove(target: TargetEntry, outcome: WholeOutcome, suspectMs: number): void {
    this._parts.log.note('request.attempt-failed', {
      request: this._request.id,
      target: target.id,
      execution: outcome.execution,
      cause: this._cause,
      suspectMs,
      attempts: this._attempts,
    });
  }

  /** The final answer when no target is left to try. */
  private _giveUp(): RequestReport {
    if (this._request.signal.aborted) {
      return this._report(Ending.CallerLeft);
    }
    if (this._failure !== undefined) {
      return this._pass(this._failure, Ending.TargetFailure);
    }
    const ending = answerUnserved(this._request, {
      execution: this._execution,
      isLate: this._isLate,
      retryAfterMs: NO_TARGET_RETRY_MS,
      unrunRemedy: 'no target of the service takes the request now; repeat it',
      uncertainRemedy: 'the request may have run; look at its effect before repeating it',
    });
    return this._report(ending);
  }

  private _pass({ answer, body, headers }: WholeAnswer, ending: Ending): RequestReport {
    const { method, response } = this._request;
    response.passWhole(answer.status, headers, body, isBodyless(method, answer.status));
    return this._report(ending);
  }

  private _report(ending: Ending): RequestReport {
    return {
      ending,
      execution: this._execution,
      attempts: this._attempts,
      targets: this._tried.join(' '),
      cause: this._cause,
    };
  }
}

/** Forwards a call and reports how it ended. */
export function forwardCall(
  parts: ForwardingParts,
  request: ForwardedRequest,
): Promise<RequestReport> {
  return new CallRun(parts, request).run();
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

function isBodyless(method: string, status: number): boolean {
  return method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED;
}
