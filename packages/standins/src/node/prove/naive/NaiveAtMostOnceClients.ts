/** Naive replacements of `AtMostOnceCaller`. Only proof runs use them. */
import {
  AtMostOnceCaller,
  type AtMostOnceCallerOptions,
  ClaimVerdict,
  EntryKind,
  type AtMostOnceCall,
  KeyStatus,
} from '@tanagerdyke/claims';
import type { ServiceAnswer } from '@tanagerdyke/contracts';
import type { AtMostOnceClient } from '@tanagerdyke/daemon';
import { NotRun, type ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';

type PendingAnswer = Promise<Result<ServiceAnswer, ServiceError>>;

/** Time without an outcome after which the claim of another attempt is taken over. */
const CLAIM_TIMEOUT_MS = 1_000;
const DEADLINE_EXTENSION_MS = 30_000;

/** Dispatches each call before it claims the key. */
export class DispatchBeforeClaimClient implements AtMostOnceClient {
  constructor(protected readonly _options: AtMostOnceCallerOptions) {}

  public async call(call: AtMostOnceCall): PendingAnswer {
    const attempt = this._options.random.identifier();
    const answer = await this._dispatch(call, attempt);
    void this._claim(call, attempt);
    return answer;
  }

  protected _dispatch(call: AtMostOnceCall, attempt: string): PendingAnswer {
    const { key, path, body, service, deadline } = call;
    const remainingMs = Math.max(1, Math.ceil(deadline - this._options.clock.now()));
    return service.call({ id: attempt, key, path, body }, AbortSignal.timeout(remainingMs));
  }

  protected _claim(
    { key, bodyDigest, deadline }: AtMostOnceCall,
    attempt: string,
  ): Promise<ClaimVerdict> {
    const { ledger, membership } = this._options;
    const { name, incarnation } = membership.self;
    const claim = { kind: EntryKind.Claim as const, key, attempt, node: name, incarnation };
    return ledger.claim({ ...claim, bodyDigest }, deadline);
  }
}

/** Dispatches a call again if its key stays claimed without an outcome for `CLAIM_TIMEOUT_MS`. */
export class TakeOverClaimsClient extends DispatchBeforeClaimClient {
  private readonly _atMostOnceCaller: AtMostOnceCaller;

  constructor(options: AtMostOnceCallerOptions) {
    super(options);
    this._atMostOnceCaller = new AtMostOnceCaller(options);
  }

  public override async call(call: AtMostOnceCall): PendingAnswer {
    const { clock, ledger, random } = this._options;
    const found = await ledger.find(call.key, clock.now());
    if (found.state === undefined) {
      const verdict = await this._claim(call, random.identifier());
      if (verdict === ClaimVerdict.Won) {
        return this._dispatchAndRecord(call);
      }
    }
    const { state } = await ledger.find(call.key, clock.now() + CLAIM_TIMEOUT_MS);
    return state?.status === KeyStatus.Claimed
      ? this._dispatch(call, random.identifier())
      : this._atMostOnceCaller.call(call);
  }

  private async _dispatchAndRecord(call: AtMostOnceCall): PendingAnswer {
    const { random } = this._options;
    const answer = await this._dispatch(call, random.identifier());
    const { state } = await this._options.ledger.find(call.key, this._options.clock.now());
    if (answer.isOk && state !== undefined) {
      void this._options.ledger.recordOutcome(call.key, state.attempt, answer.value);
    }
    return answer;
  }
}

/** Reports "not run" for every error. */
export class AlwaysNotRunClient implements AtMostOnceClient {
  private readonly _atMostOnceCaller: AtMostOnceCaller;

  constructor(options: AtMostOnceCallerOptions) {
    this._atMostOnceCaller = new AtMostOnceCaller(options);
  }

  public async call(call: AtMostOnceCall): PendingAnswer {
    const answer = await this._atMostOnceCaller.call(call);
    return answer.mapErr((error) => error.withNotRun(NotRun.True));
  }
}

/** Continues a call for `DEADLINE_EXTENSION_MS` past its deadline. */
export class IgnoreDeadlinesClient implements AtMostOnceClient {
  private readonly _atMostOnceCaller: AtMostOnceCaller;

  constructor(options: AtMostOnceCallerOptions) {
    this._atMostOnceCaller = new AtMostOnceCaller(options);
  }

  public call(call: AtMostOnceCall): PendingAnswer {
    return this._atMostOnceCaller.call({
      ...call,
      deadline: call.deadline + DEADLINE_EXTENSION_MS,
    });
  }
}
