/**
 * Waits for the outcome of a key that another attempt holds, until the deadline of the waiting
 * call. An outcome that the holder can no longer record is looked up at the target if it offers
 * look-ups, else it stays unknown.
 */
import { type Clock, ErrorKind, runInBackground } from '@tanagerdyke/kernel';
import type { ServiceAnswer } from '@tanagerdyke/contracts';
import { isLive, type Membership } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { match } from 'ts-pattern';
import type { AnswerStore } from './AnswerStore.js';
import type { AtMostOnceCall, AtMostOnceCallResult } from './AtMostOnceCall.js';
import { answerNotHeld, keyReused, outcomeUnknown } from './ClaimErrors.js';
import type { ClaimLedger } from './ClaimLedger.js';
import { type KeyState, KeyStatus, type StoredAnswer } from './Messages.js';

/** Larger answers are not stored in outcome records but stay at the node that received them. */
const MAX_STORED_ANSWER_BYTES = 16_384;
/** How long before its deadline a waiting call is answered. */
const ANSWER_MARGIN_MS = 30;
/** Longest wait for an outcome before checking again that its holder is still alive. */
const HOLDER_CHECK_INTERVAL_MS = 1_000;
/** Delay before a key without a holder is claimed again. */
const RECLAIM_PAUSE_MS = 50;

export interface OutcomeResolverOptions {
  readonly clock: Clock;
  readonly ledger: ClaimLedger;
  readonly answers: AnswerStore;
  readonly membership: Membership;
}

/** Finds and records the outcomes of calls for this node. */
export class OutcomeResolver {
  constructor(private readonly _options: OutcomeResolverOptions) {}

  /** Waits for the outcome of the attempt that holds the key; `undefined` if none holds it. */
  public async waitForOutcome(call: AtMostOnceCall): Promise<AtMostOnceCallResult | undefined> {
    const { clock, ledger } = this._options;
    const endAt = call.deadline - ANSWER_MARGIN_MS;
    while (clock.now() < endAt) {
      const until = Math.min(endAt, clock.now() + HOLDER_CHECK_INTERVAL_MS);
      const { state, isComplete } = await ledger.find(call.key, until);
      if (state !== undefined) {
        const outcome = await this._outcomeFromState(call, state);
        if (outcome !== undefined) {
          return outcome;
        }
      }
      await clock.sleep(Math.min(RECLAIM_PAUSE_MS, Math.max(0, endAt - clock.now())));
      if (state === undefined && isComplete) {
        return undefined;
      }
    }
    return Result.err(outcomeUnknown());
  }

  /** The outcome that a state gives now, without waiting for one that may still be recorded. */
  public async currentOutcome(
    call: AtMostOnceCall,
    state: KeyState,
  ): Promise<AtMostOnceCallResult> {
    const outcome = await this._outcomeFromState(call, state);
    return outcome ?? Result.err(outcomeUnknown());
  }

  /**
   * Looks up the outcome of a key at the target. Only a found answer is conclusive, because a
   * target that has no record of the key yet may still receive the call.
   */
  public async lookUpAtTarget(call: AtMostOnceCall): Promise<AtMostOnceCallResult> {
    if (!call.offersLookUp) {
      return Result.err(outcomeUnknown());
    }
    const found = await this._withinDeadline(call, call.service.lookUp(call.key));
    return found.isOk && found.value !== undefined
      ? Result.ok(found.value)
      : Result.err(outcomeUnknown());
  }

  /** Records the answer of the attempt that holds the key; the body of a large one stays here. */
  public recordAnswer(key: string, attempt: string, answer: ServiceAnswer | undefined): void {
    const stored = answer === undefined ? undefined : this._toStored(key, answer);
    runInBackground('claim.outcome', () =>
      this._options.ledger.recordOutcome(key, attempt, stored),
    );
  }

  /** The outcome that a state gives; `undefined` while one may still be recorded. */
  private _outcomeFromState(
    call: AtMostOnceCall,
    state: KeyState,
  ): Promise<AtMostOnceCallResult | undefined> {
    if (state.bodyDigest !== call.bodyDigest) {
      return Promise.resolve(Result.err(keyReused()));
    }
    return match(state.status)
      .with(KeyStatus.Done, () => this._loadStoredAnswer(call, state.answer))
      .with(KeyStatus.Unknown, () => this._resolveByLookUp(call, state))
      .with(KeyStatus.Claimed, () =>
        this._isHolderGone(state) ? this._resolveByLookUp(call, state) : Promise.resolve(undefined),
      )
      .with(KeyStatus.Released, () => Promise.resolve(undefined))
      .exhaustive();
  }

  private async _resolveByLookUp(
    call: AtMostOnceCall,
    { attempt }: KeyState,
  ): Promise<AtMostOnceCallResult> {
    const lookedUp = await this.lookUpAtTarget(call);
    if (lookedUp.isOk) {
      this.recordAnswer(call.key, attempt, lookedUp.value);
    }
    return lookedUp;
  }

  private async _loadStoredAnswer(
    call: AtMostOnceCall,
    stored: StoredAnswer | undefined,
  ): Promise<AtMostOnceCallResult> {
    if (stored?.body !== undefined) {
      return Result.ok({ status: stored.status, body: stored.body });
    }
    if (stored?.holder === undefined) {
      return this.lookUpAtTarget(call);
    }
    const body = await this._fetchBody(call, stored.holder);
    if (body.isErr) {
      return Result.err(outcomeUnknown());
    }
    return body.value === undefined
      ? Result.err(answerNotHeld())
      : Result.ok({ status: stored.status, body: body.value });
  }

  private _fetchBody(
    call: AtMostOnceCall,
    holder: string,
  ): Promise<Result<string | undefined, unknown>> {
    const fetched = this._options.answers.fetch(call.key, holder);
    return this._withinDeadline(
      call,
      fetched.then((body) => Result.ok(body)),
    );
  }

  /**
   * Whether the process that holds the claim has ended, by the membership view of this node. A node
   * that has restarted since has a `startedAt` above the incarnation in the claim.
   */
  private _isHolderGone({ node, incarnation }: KeyState): boolean {
    const member = this._options.membership.find(node);
    return member === undefined || !isLive(member) || member.startedAt > incarnation;
  }

  private _withinDeadline<T, E>(
    call: AtMostOnceCall,
    result: Promise<Result<T, E>>,
  ): Promise<Result<T, E | ErrorKind>> {
    const { clock } = this._options;
    return new Promise((resolve) => {
      const remainingMs = call.deadline - ANSWER_MARGIN_MS - clock.now();
      const timer = clock.schedule(remainingMs, () => {
        resolve(Result.err(ErrorKind.DeadlineExceeded));
      });
      runInBackground('claim.outcome', async () => {
        const settled = await result;
        timer.dispose();
        resolve(settled.mapErr((error): E | ErrorKind => error));
      });
    });
  }

  private _toStored(key: string, { status, body }: ServiceAnswer): StoredAnswer {
    if (Buffer.byteLength(body) <= MAX_STORED_ANSWER_BYTES) {
      return { status, body };
    }
    this._options.answers.store(key, body);
    return { status, holder: this._options.membership.self.name };
  }
}
