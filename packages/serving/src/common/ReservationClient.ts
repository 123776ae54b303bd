/**
 * The entry node's side of reservations. It sends requests to the owner of a target, caches the
 * capacity hint in each response, and retries releases until the owner confirms them.
 */
import { type Clock, ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { EnginePriority } from '@tanagerdyke/contracts';
import type { HostedTarget } from '@tanagerdyke/configuration';
import type { Membership, Transport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import {
  type CapacityHint,
  RELEASE_METHOD,
  type ReservationIds,
  RESERVE_METHOD,
  type ReserveRequest,
  type ReserveResponse,
  STARTED_METHOD,
} from './Messages.js';
import {
  encodeReserveRequest,
  encodeReserveResponse,
  reserveResponseDecoder,
} from './ReservationCodec.js';
import type { ReservationService } from './ReservationService.js';
import type { Reservations } from './services/Services.js';
import type { TargetDirectory } from './TargetDirectory.js';

const RESERVE_TIMEOUT_MS = 500;
const NOTIFY_TIMEOUT_MS = 1_000;
/** Time for which an engine is assumed not to have a version that it lacked. */
const MISSING_VERSION_TTL_MS = 2_000;
/** Release attempts before a reservation is left to expire. */
const RELEASE_ATTEMPTS = 5;
const RELEASE_RETRY_MS = 500;

/** Dependencies of the reservation client. */
export interface ReservationClientOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly directory: TargetDirectory;
  readonly local: ReservationService;
}

/** The latest hint of a target and the time at which it arrived. */
interface ReceivedHint {
  readonly hint: CapacityHint;
  readonly receivedAt: number;
}

/** Requests and releases reservations for one entry node. */
export class ReservationClient implements Reservations {
  private readonly _hints = new Map<string, ReceivedHint>();
  /** Time until which an engine is assumed not to have a version, by `target/version`. */
  private readonly _missingVersions = new Map<string, number>();

  constructor(private readonly _options: ReservationClientOptions) {}

  /** Prefill backlog of a target in the last hint, less the time since that hint. */
  public backlogOf(target: string, priority: EnginePriority): number {
    const received = this._hints.get(target);
    if (received === undefined) {
      return 0;
    }
    const ageMs = this._options.clock.now() - received.receivedAt;
    return Math.max(0, (received.hint.backlogMs[priority] ?? 0) - ageMs);
  }

  /** Whether an owner recently reported that its engine doesn't have a version loaded. */
  public lacksVersion(target: string, version: string): boolean {
    const until = this._missingVersions.get(`${target}/${version}`);
    return until !== undefined && this._options.clock.now() < until;
  }

  public async reserve(
    hostedTarget: HostedTarget,
    request: ReserveRequest,
  ): Promise<Result<ReserveResponse, ServiceError>> {
    const message = encodeReserveRequest(request);
    const response = await this._request(
      hostedTarget,
      RESERVE_METHOD,
      message,
      RESERVE_TIMEOUT_MS,
      () => this._options.local.reserve(request).map(encodeReserveResponse),
    );
    const parsed = response.andThen(parseReserveResponse);
    if (parsed.isOk) {
      this._hints.set(hostedTarget.target.name, {
        hint: parsed.value.hint,
        receivedAt: this._options.clock.now(),
      });
      this._options.directory.setTargetLeaving(hostedTarget.target.name, parsed.value.isLeaving);
      if (!parsed.value.hasVersion) {
        const until = this._options.clock.now() + MISSING_VERSION_TTL_MS;
        this._missingVersions.set(`${hostedTarget.target.name}/${request.version}`, until);
      }
    }
    return parsed;
  }

  /** Notifies the owner that prefill ended. If this is lost, the owner's estimates are too long. */
  public async markStarted(hostedTarget: HostedTarget, id: string): Promise<void> {
    const message: ReservationIds = { target: hostedTarget.target.name, ids: [id] };
    await this._request(hostedTarget, STARTED_METHOD, message, NOTIFY_TIMEOUT_MS, () =>
      this._options.local.markStarted(message),
    );
  }

  /** Releases a reservation, with a bounded number of retries; after those it expires. */
  public async release(hostedTarget: HostedTarget, id: string): Promise<void> {
    const message: ReservationIds = { target: hostedTarget.target.name, ids: [id] };
    for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt++) {
      const response = await this._request(
        hostedTarget,
        RELEASE_METHOD,
        message,
        NOTIFY_TIMEOUT_MS,
        () => this._options.local.release(message),
      );
      if (response.isOk) {
        return;
      }
      await this._options.clock.sleep(RELEASE_RETRY_MS);
    }
  }

  private async _request(
    hostedTarget: HostedTarget,
    method: string,
    message: unknown,
    timeoutMs: number,
    local: () => Result<unknown, ServiceError>,
  ): Promise<Result<unknown, ServiceError>> {
    const { directory, membership, transport } = this._options;
    const owner = directory.ownerOf(hostedTarget);
    if (owner === undefined || owner.name === membership.self.name) {
      return local();
    }
    return transport.request(owner.peerAddress, method, message, timeoutMs);
  }
}

function parseReserveResponse(value: unknown): Result<ReserveResponse, ServiceError> {
  const parsed = reserveResponseDecoder.safeParse(value);
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(
        new ServiceError(ErrorKind.LinkFailed, 'the owner sent a malformed response', {
          remedy: 'run the same version on all nodes',
          notRun: NotRun.True,
        }),
      );
}
