/**
 * Reserves the memory of one prompt on all engines that share it; if one can't reserve its part,
 * none keeps one. Reservations expire after a short time and are renewed while the prompt runs, so
 * that those of a dead node are freed soon. A call without an answer may take effect seconds later,
 * so the release is repeated for as long as that can happen.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  keepRunning,
  runInBackground,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import type { TargetTable } from '../state/TargetTable.js';
import type { ReservationFailures } from './ReservationFailures.js';
import type { TargetPauses } from './TargetPauses.js';
import type { EngineReservations } from '../services/Services.js';

/** Expiry of a reservation; a dead node's memory must be free again within four seconds. */
const RESERVATION_TTL_MS = 3_400;
/** Renewal interval; a reservation outlasts two lost renewals. */
const RENEW_MS = 1_100;
const CALL_TIMEOUT_MS = 400;
const RELEASE_RETRY_MS = 300;
const RELEASE_ATTEMPTS = 6;
/** Longest time after which a call without an answer may still take effect. */
const MAX_LATE_EFFECT_MS = 12_500;
/** Interval at which the release is repeated during that time. */
const LATE_RELEASE_INTERVAL_MS = 1_500;

/** Dependencies of the reservations of a prompt. */
export interface ReservationOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly engineReservations: EngineReservations;
  readonly targets: Pick<TargetTable, 'acceptsRequests'>;
  readonly pauses: TargetPauses;
  readonly reservationFailures: ReservationFailures;
}

/** The memory to reserve for a prompt. */
export interface ReservationRequest {
  /** Unique across all nodes, and never reused. */
  readonly id: string;
  readonly targets: readonly TargetEntry[];
  /** Memory to reserve on each target. */
  readonly tokens: number;
}

/** Holds the reservations of one prompt until it is disposed. */
export class PromptReservations extends DisposableOwner {
  private _isAsked = false;
  /** Whether a call had no answer, so that it may still take effect. */
  private _hasUnconfirmedCall = false;

  constructor(
    private readonly _options: ReservationOptions,
    private readonly _request: ReservationRequest,
  ) {
    super();
    this.register(
      toDisposable(() => {
        if (this._isAsked) {
          runInBackground('reservation.release', () => this._releaseAll());
        }
      }),
    );
  }

  public get id(): string {
    return this._request.id;
  }

  /**
   * Reserves on all targets by a time on the clock; returns those that failed to, if any. Asks none of
   * them if one takes no requests any more.
   */
  public async acquire(deadlineAt: number): Promise<readonly TargetEntry[]> {
    const { targets } = this._request;
    const unusable = targets.filter(({ id }) => !this._isUsable(id));
    if (unusable.length > 0) {
      return unusable;
    }
    this._isAsked = true;
    const timeoutMs = Math.min(CALL_TIMEOUT_MS, deadlineAt - this._options.clock.now());
    const answers = await Promise.all(targets.map((target) => this._reserve(target, timeoutMs)));
    const failed = targets.filter((_target, index) => answers[index] === false);
    if (failed.length === 0) {
      const { clock } = this._options;
      keepRunning(clock, this.disposalSignal, 'reservation.renewal', () => this._keepRenewed());
    }
    return failed;
  }

  /**
   * Whether the first engine has ended the prompt: it uses the reservation no more, and nothing waits
   * there that might still use it. False if the engine does not say.
   */
  public async hasEnded(): Promise<boolean> {
    const { engineReservations } = this._options;
    const { id, targets } = this._request;
    const [first] = targets;
    const use = first && (await engineReservations.inspect(first, id, CALL_TIMEOUT_MS));
    return use?.isOk === true && !use.value.isUsed && use.value.waiting === 0;
  }

  private _isUsable(id: string): boolean {
    const { pauses, targets } = this._options;
    return targets.acceptsRequests(id) && !pauses.isPaused(id);
  }

  private async _keepRenewed(): Promise<void> {
    const { disposalSignal: signal } = this;
    for (;;) {
      await this._options.clock.sleep(RENEW_MS, signal);
      if (signal.aborted) {
        return;
      }
      await Promise.all(this._request.targets.map((target) => this._reserve(target)));
    }
  }

  private async _reserve(target: TargetEntry, timeoutMs = CALL_TIMEOUT_MS): Promise<boolean> {
    const { engineReservations, log, pauses, reservationFailures } = this._options;
    const { id, tokens } = this._request;
    const reservation = { id, tokens, timeToLiveMs: RESERVATION_TTL_MS };
    const answer = await engineReservations.reserve(target, reservation, timeoutMs);
    if (answer.isErr) {
      const { kind, retryAfterMs } = answer.error;
      this._hasUnconfirmedCall ||= kind !== ErrorKind.Overloaded;
      if (retryAfterMs !== undefined) {
        pauses.record(target.id, retryAfterMs);
      } else if (kind !== ErrorKind.Overloaded) {
        reservationFailures.recordFailure(target.id);
      }
      log.write('reservation.failed', {
        id,
        target: target.id,
        tokens,
        cause: answer.error.message,
      });
    }
    if (answer.isOk || answer.error.kind === ErrorKind.Overloaded) {
      reservationFailures.recordAnswer(target.id);
    }
    return answer.isOk;
  }

  private async _releaseAll(): Promise<void> {
    await Promise.all(this._request.targets.map((target) => this._release(target)));
    if (!this._hasUnconfirmedCall) {
      return;
    }
    const { clock } = this._options;
    const until = clock.now() + MAX_LATE_EFFECT_MS;
    while (clock.now() < until) {
      await clock.sleep(LATE_RELEASE_INTERVAL_MS);
      await Promise.all(this._request.targets.map((target) => this._release(target)));
    }
  }

  private async _release(target: TargetEntry): Promise<void> {
    const { clock, engineReservations, log } = this._options;
    const { id } = this._request;
    for (let attempt = 1; attempt <= RELEASE_ATTEMPTS; attempt++) {
      const answer = await engineReservations.release(target, id, CALL_TIMEOUT_MS);
      if (answer.isOk) {
        return;
      }
      this._hasUnconfirmedCall = true;
      log.write('reservation.unreleased', {
        id,
        target: target.id,
        attempt,
        cause: answer.error.message,
      });
      await clock.sleep(RELEASE_RETRY_MS);
    }
  }
}
