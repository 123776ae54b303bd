/**
 * Dispatches non-repeatable calls at most once per idempotency key. Only the attempt whose claim is
 * the first of its key in log order dispatches, once; all others wait for its outcome until their
 * own deadline. An attempt answers "not run" only if it sent nothing and never will, and the ledger
 * has no record of another attempt that holds the key.
 */
import {
  type Clock,
  type InvariantMonitor,
  NotRun,
  type RandomSource,
  runInBackground,
  type ServiceError,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { Membership } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { match } from 'ts-pattern';
import type { AnswerStore } from './AnswerStore.js';
import type { AtMostOnceCall, AtMostOnceCallResult } from './AtMostOnceCall.js';
import { claimAbandoned, claimRefused, outcomeUnknown } from './ClaimErrors.js';
import { type ClaimLedger, ClaimVerdict } from './ClaimLedger.js';
import { DispatchInvariants } from './DispatchInvariants.js';
import { EntryKind } from './Messages.js';
import { OutcomeResolver } from './OutcomeResolver.js';

/** A call with less time than this left until its deadline is no longer claimed or dispatched. */
const DISPATCH_MARGIN_MS = 50;
/** How long before its deadline a call without an answer fails with `OutcomeUnknown`. */
const ANSWER_MARGIN_MS = 10;
/** How long to wait for the ledger when the deadline passed during a pause of the process. */
const LATE_LEDGER_WAIT_MS = 300;

export interface AtMostOnceCallerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ledger: ClaimLedger;
  readonly answers: AnswerStore;
  readonly membership: Membership;
  readonly timeLine: TimeLine;
  readonly invariants: InvariantMonitor;
}

enum CallPhase {
  Claiming,
  AwaitingOutcome,
  Dispatched,
  Refusing,
}

/** Mutable state of one call. */
interface CallState {
  phase: CallPhase;
  attempt: string;
  /** Set when a pause outlasted the deadline before a dispatch: a late claim isn't dispatched. */
  isPastDeadline: boolean;
}

/** Runs the at-most-once calls that this node receives. */
export class AtMostOnceCaller {
  private readonly _outcomes: OutcomeResolver;
  private readonly _dispatchInvariants: DispatchInvariants;

  constructor(private readonly _options: AtMostOnceCallerOptions) {
    this._outcomes = new OutcomeResolver(_options);
    this._dispatchInvariants = new DispatchInvariants(_options.invariants);
  }

  /** Resolves by the call's deadline, or shortly after a pause of the process that outlasts it. */
  public call(call: AtMostOnceCall): Promise<AtMostOnceCallResult> {
    const { clock, random } = this._options;
    const attempt = random.identifier();
    const state: CallState = { phase: CallPhase.Claiming, attempt, isPastDeadline: false };
    return new Promise((resolve) => {
      const completion = this._claimAndDispatch(call, state);
      const timer = clock.schedule(call.deadline - ANSWER_MARGIN_MS - clock.now(), () => {
        runInBackground('claim.answer', async () => {
          resolve(await this._answerAtDeadline(call, state, completion));
        });
      });
      runInBackground('claim.call', async () => {
        const answer = await completion;
        timer.dispose();
        resolve(answer);
      });
    });
  }

  /**
   * A pause of the process may outlast the deadline before the claim is decided. The ledger is then
   * queried for up to `LATE_LEDGER_WAIT_MS` to find out whether the call is known not to have run.
   * If it doesn't respond by then, the outcome is unknown.
   */
  private _answerAtDeadline(
    call: AtMostOnceCall,
    state: CallState,
    completion: Promise<AtMostOnceCallResult>,
  ): Promise<AtMostOnceCallResult> {
    const { clock } = this._options;
    const unknown: AtMostOnceCallResult = Result.err(outcomeUnknown());
    const isClaiming = state.phase === CallPhase.Claiming;
    const wasPaused = clock.now() > call.deadline;
    if (!wasPaused || (!isClaiming && state.phase !== CallPhase.Refusing)) {
      return Promise.resolve(unknown);
    }
    state.isPastDeadline = true;
    const refusal = isClaiming ? this._refuse(call, state, claimAbandoned()) : completion;
    return Promise.race([refusal, clock.sleep(LATE_LEDGER_WAIT_MS).then(() => unknown)]);
  }

  /** Claims the key until an attempt has an outcome or too little time is left for a dispatch. */
  private async _claimAndDispatch(
    call: AtMostOnceCall,
    state: CallState,
  ): Promise<AtMostOnceCallResult> {
    const { clock, random } = this._options;
    while (clock.now() < call.deadline - DISPATCH_MARGIN_MS) {
      state.phase = CallPhase.Claiming;
      const verdict = await this._claim(call, state.attempt);
      const answer = await match(verdict)
        .with(ClaimVerdict.Won, () => this._dispatch(call, state))
        .with(ClaimVerdict.Lost, () => this._awaitOutcome(call, state))
        .with(ClaimVerdict.Refused, () => this._refuse(call, state, claimRefused()))
        .with(ClaimVerdict.Abandoned, () => this._refuse(call, state, claimAbandoned()))
        .exhaustive();
      if (answer !== undefined) {
        return answer;
      }
      state.attempt = random.identifier();
    }
    return this._refuse(call, state, claimAbandoned());
  }

  private _awaitOutcome(
    call: AtMostOnceCall,
    state: CallState,
  ): Promise<AtMostOnceCallResult | undefined> {
    state.phase = CallPhase.AwaitingOutcome;
    return this._outcomes.waitForOutcome(call);
  }

  private _claim(call: AtMostOnceCall, attempt: string): Promise<ClaimVerdict> {
    const { ledger, membership } = this._options;
    const { name, incarnation } = membership.self;
    return ledger.claim(
      {
        kind: EntryKind.Claim,
        key: call.key,
        attempt,
        node: name,
        incarnation,
        bodyDigest: call.bodyDigest,
      },
      call.deadline - DISPATCH_MARGIN_MS,
    );
  }

  /**
   * Refuses an attempt that will never be dispatched. Another call with the same key may have run,
   * so the answer is "not run" only when the ledger has no record of another attempt; if it has
   * one, the answer is that attempt's current outcome.
   */
  private async _refuse(
    call: AtMostOnceCall,
    state: CallState,
    error: ServiceError,
  ): Promise<AtMostOnceCallResult> {
    const { clock, ledger } = this._options;
    const { attempt } = state;
    state.phase = CallPhase.Refusing;
    const { state: keyState, isComplete } = await ledger.find(call.key, clock.now());
    if (keyState !== undefined && keyState.attempt !== attempt) {
      return this._outcomes.currentOutcome(call, keyState);
    }
    if (keyState === undefined && !isComplete) {
      return Result.err(error.withNotRun(NotRun.Unknown));
    }
    this._dispatchInvariants.recordRefusal(call.key, attempt);
    return Result.err(error);
  }

  private async _dispatch(call: AtMostOnceCall, state: CallState): Promise<AtMostOnceCallResult> {
    const { clock, ledger, timeLine } = this._options;
    const { attempt } = state;
    // The process may have been paused past the deadline right after the claim was won.
    if (state.isPastDeadline || clock.now() > call.deadline - DISPATCH_MARGIN_MS) {
      runInBackground('claim.release', () => ledger.release(call.key, attempt));
      return this._refuse(call, state, claimAbandoned());
    }
    state.phase = CallPhase.Dispatched;
    this._dispatchInvariants.recordDispatch(call.key, attempt);
    timeLine.record('claim.dispatched', { key: call.key, attempt });
    const abort = new AbortController();
    const timer = clock.schedule(call.deadline - clock.now(), () => {
      abort.abort();
    });
    const { key, path, body } = call;
    const answer = await call.service.call({ id: attempt, key, path, body }, abort.signal);
    timer.dispose();
    return this._recordOutcome(call, attempt, answer);
  }

  private async _recordOutcome(
    call: AtMostOnceCall,
    attempt: string,
    answer: AtMostOnceCallResult,
  ): Promise<AtMostOnceCallResult> {
    if (answer.isOk) {
      this._outcomes.recordAnswer(call.key, attempt, answer.value);
      return answer;
    }
    if (answer.error.notRun === NotRun.True) {
      this._dispatchInvariants.recordNothingSent(call.key);
      runInBackground('claim.release', () => this._options.ledger.release(call.key, attempt));
      return answer;
    }
    const lookedUp = await this._outcomes.lookUpAtTarget(call);
    this._outcomes.recordAnswer(call.key, attempt, lookedUp.unwrapOr(undefined));
    return lookedUp;
  }
}
