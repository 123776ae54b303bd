/**
 * Follows the outcome of a key that another attempt holds, inside the deadline of the call that
 * waits. An outcome that the holder can no longer record is asked for at the target, when it offers
 * look-ups; without one it stays unknown.
 */
import { type Clock, ErrorKind } from '@tanagerdyke/kernel';
import type { ServiceAnswer } from '@tanagerdyke/contracts';
import { isLive, type Membership } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { match } from 'ts-pattern';
import type { AnswerStore } from './AnswerStore.js';
import { answerNotHeld, keyReused, outcomeUnknown } from './ClaimErrors.js';
import type { ClaimLedger } from './ClaimLedger.js';
import type { Answer, GuardedCall } from './GuardedCall.js';
import { type KeyState, KeyStatus, type StoredAnswer } from './Messages.js';

/** Largest answer kept in an outcome record, in bytes. */
const MAX_STORED_ANSWER_BYTES = 16_384;
/** Time before the deadline at which the waiting call is answered. */
const ANSWER_MARGIN_MS = 30;
/** Longest wait for the outcome between two looks at its holder. */
const LOOK_INTERVAL_MS = 1_000;
/** Pause before a key without a holder is claimed again. */
const RECLAIM_PAUSE_MS = 50;

/** What following needs. */
export interface OutcomeOptions {
  readonly clock: Clock;
  readonly ledger: ClaimLedger;
  readonly answers: AnswerStore;
  readonly membership: Membership;
}

/** Learns outcomes for one node. */
export class OutcomeFollower {
  constructor(private readonly _options: OutcomeOptions) {}

  /** The outcome of the attempt that holds the key; `undefined` when the key has no holder. */
  public async follow(call: GuardedCall): Promise<Answer | undefined> {
    const { clock, ledger } = this._options;
    const end = call.deadline - ANSWER_MARGIN_MS;
    while (clock.now() < end) {
      const until = Math.min(end, clock.now() + LOOK_INTERVAL_MS);
      const { state, isComplete } = await ledger.find(call.key, until);
      if (state !== undefined) {
        const answer = await this._answerOf(call, state);
        if (answer !== undefined) {
          return answer;
        }
      }
      await clock.sleep(Math.min(RECLAIM_PAUSE_MS, Math.max(0, end - clock.now())));
      if (state === undefined && isComplete) {
        return undefined;
      }
    }
    return Result.err(outcomeUnknown());
  }

  /** What a state says right now, without waiting for an outcome that may still come. */
  public async answerNow(call: GuardedCall, state: KeyState): Promise<Answer> {
    const answer = await this._answerOf(call, state);
    return answer ?? Result.err(outcomeUnknown());
  }

  /**
   * Asks the target for the outcome of a key. A target that has not seen the key yet may still
   * receive it, so only a found answer settles anything.
   */
  public async lookUp(call: GuardedCall): Promise<Answer> {
    if (!call.offersLookUp) {
      return Result.err(outcomeUnknown());
    }
    const found = await this._withinDeadline(call, call.service.lookUp(call.key));
    return found.isOk && found.value !== undefined
      ? Result.ok(found.value)
      : Result.err(outcomeUnknown());
  }

  /** Records an answer for the attempt that holds the key; a large one stays at this node. */
  public record(key: string, attempt: string, answer: ServiceAnswer | undefined): void {
    const stored = answer === undefined ? undefined : this._toStored(key, answer);
    void this._options.ledger.recordOutcome(key, attempt, stored);
  }

  /** The answer that a state gives; `undefined` while the outcome may still come. */
  private _answerOf(call: GuardedCall, state: KeyState): Promise<Answer | undefined> {
    if (state.bodyDigest !== call.bodyDigest) {
      return Promise.resolve(Result.err(keyReused()));
    }
    return match(state.status)
      .with(KeyStatus.Done, () => this._readAnswer(call, state.answer))
      .with(KeyStatus.Unknown, () => this._settle(call, state))
      .with(KeyStatus.Claimed, () =>
        this._isHolderGone(state) ? this._settle(call, state) : Promise.resolve(undefined),
      )
      .with(KeyStatus.Released, () => Promise.resolve(undefined))
      .exhaustive();
  }

  private async _settle(call: GuardedCall, { attempt }: KeyState): Promise<Answer> {
    const settled = await this.lookUp(call);
    if (settled.isOk) {
      this.record(call.key, attempt, settled.value);
    }
    return settled;
  }

  private async _readAnswer(call: GuardedCall, stored: StoredAnswer | undefined): Promise<Answer> {
    if (stored?.body !== undefined) {
      return Result.ok({ status: stored.status, body: stored.body });
    }
    if (stored?.holder === undefined) {
      return this.lookUp(call);
    }
    const body = await this._fetch(call, stored.holder);
    if (body.isErr) {
      return Result.err(outcomeUnknown());
    }
    return body.value === undefined
      ? Result.err(answerNotHeld())
      : Result.ok({ status: stored.status, body: body.value });
  }

  private _fetch(call: GuardedCall, holder: string): Promise<Result<string | undefined, unknown>> {
    const fetched = this._options.answers.fetch(call.key, holder);
    return this._withinDeadline(
      call,
      fetched.then((body) => Result.ok(body)),
    );
  }

  /** Whether the process that holds the claim has ended, as far as this node knows. */
  private _isHolderGone({ node, incarnation }: KeyState): boolean {
    const member = this._options.membership.find(node);
    return member === undefined || !isLive(member) || member.startedAt > incarnation;
  }

  private _withinDeadline<T, E>(
    call: GuardedCall,
    work: Promise<Result<T, E>>,
  ): Promise<Result<T, E | ErrorKind>> {
    const { clock } = this._options;
    return new Promise((resolve) => {
      const leftMs = call.deadline - ANSWER_MARGIN_MS - clock.now();
      const timer = clock.schedule(leftMs, () => {
        resolve(Result.err(ErrorKind.DeadlineExceeded));
      });
      void work.then((result) => {
        timer.dispose();
        resolve(result.mapErr((error): E | ErrorKind => error));
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
