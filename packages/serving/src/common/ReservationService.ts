/**
 * The owner's side of reservations: the accounts of the engines that this node owns, and the peer
 * methods by which entry nodes use them. Ownership improves placement only and is not needed for
 * correctness: while two nodes both own an engine they may overload it, but no request runs twice.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  keepRunning,
  NotRun,
  runInBackground,
  ServiceError,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { HostedTarget } from '@tanagerdyke/configuration';
import { checkedHandler, type Membership, type Transport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import type { EngineReconciler } from './EngineReconciler.js';
import {
  RELEASE_METHOD,
  type ReservationIds,
  reservationIdsSchema,
  RESERVE_METHOD,
  type ReserveRequest,
  type ReserveResponse,
  STARTED_METHOD,
} from './Messages.js';
import { encodeReserveResponse, reserveRequestDecoder } from './ReservationCodec.js';
import { TargetAccount } from './TargetAccount.js';
import type { TargetDirectory } from './TargetDirectory.js';

/** Interval between checks for newly owned engines. */
const OWNERSHIP_INTERVAL_MS = 1_000;

/** Dependencies of the reservation service. */
export interface ReservationServiceOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly directory: TargetDirectory;
  readonly reconciler: EngineReconciler;
  readonly timeLine: TimeLine;
}

/** Serves reservation requests for the engines that this node owns. */
export class ReservationService extends DisposableOwner {
  private readonly _accounts = new Map<string, TargetAccount>();

  constructor(private readonly _options: ReservationServiceOptions) {
    super();
    const { transport } = _options;
    this.register(
      transport.handle(
        RESERVE_METHOD,
        checkedHandler(reserveRequestDecoder, (request) =>
          this.reserve(request).map(encodeReserveResponse),
        ),
      ),
    );
    this.register(
      transport.handle(
        STARTED_METHOD,
        checkedHandler(reservationIdsSchema, (ids) => this.markStarted(ids)),
      ),
    );
    this.register(
      transport.handle(
        RELEASE_METHOD,
        checkedHandler(reservationIdsSchema, (ids) => this.release(ids)),
      ),
    );
  }

  /** Opens an account for every engine that this node owns, which starts its reconciliation. */
  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'owner.assignment', () =>
      this._ownershipTask(),
    );
  }

  public reserve(request: ReserveRequest): Result<ReserveResponse, ServiceError> {
    const hostedTarget = this._options.directory.find(request.target);
    if (hostedTarget === undefined) {
      return Result.err(unknownTarget(request.target));
    }
    const account = this._openAccount(hostedTarget);
    if (this._options.directory.isLeaving(hostedTarget)) {
      const { hint } = account;
      return Result.ok({
        isGranted: false,
        hasVersion: true,
        isLeaving: true,
        estimateMs: 0,
        retryAfterMs: 0,
        hint,
      });
    }
    return Result.ok(account.reserve(request));
  }

  public markStarted({ target, ids }: ReservationIds): Result<null, ServiceError> {
    for (const id of ids) {
      this._accounts.get(target)?.markStarted(id);
    }
    return Result.ok(null);
  }

  public release({ target, ids }: ReservationIds): Result<null, ServiceError> {
    this._accounts.get(target)?.releaseAll(ids);
    return Result.ok(null);
  }

  private async _ownershipTask(): Promise<void> {
    const { clock, directory, membership } = this._options;
    while (!this.isDisposed) {
      for (const hostedTarget of directory.engines) {
        if (directory.ownerOf(hostedTarget)?.name === membership.self.name) {
          this._openAccount(hostedTarget);
        }
      }
      await clock.sleep(OWNERSHIP_INTERVAL_MS);
    }
  }

  /** Returns the account of an engine and creates it on first use. */
  private _openAccount(hostedTarget: HostedTarget): TargetAccount {
    const { name } = hostedTarget.target;
    let account = this._accounts.get(name);
    if (account === undefined) {
      const opened = new TargetAccount(this._options.clock, hostedTarget.target);
      account = opened;
      this._accounts.set(name, opened);
      this._options.timeLine.record('owner.opened', { target: name });
      runInBackground('owner.reconciliation', () => this._reconcileAccount(opened));
    }
    account.update(hostedTarget.target);
    return account;
  }

  /** Reconciles an account while this node owns its engine, then removes it. */
  private async _reconcileAccount(account: TargetAccount): Promise<void> {
    const { directory, membership, reconciler, timeLine } = this._options;
    try {
      await reconciler.reconcileWhile(account, () => {
        const hostedTarget = directory.find(account.target);
        return (
          hostedTarget !== undefined &&
          directory.ownerOf(hostedTarget)?.name === membership.self.name
        );
      });
    } finally {
      this._accounts.delete(account.target);
    }
    timeLine.record('owner.closed', { target: account.target });
  }
}

function unknownTarget(name: string): ServiceError {
  return new ServiceError(
    ErrorKind.NotFound,
    `target '${name}' is not in the configuration in force`,
    {
      remedy: 'retry after this node has applied the newest configuration',
      notRun: NotRun.True,
    },
  );
}
