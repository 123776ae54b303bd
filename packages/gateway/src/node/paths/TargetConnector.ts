/**
 * Opens connections to targets: on this node's own link, and through another node if that link is
 * slow to connect or known to be lost. The first connection wins, so the own link is used again as
 * soon as it works. A relayed connection goes through one other node, which uses its own link only.
 */
import type { Socket } from 'node:net';
import {
  type Clock,
  DisposableOwner,
  Emitter,
  type Metrics,
  runInBackground,
  toDisposable,
} from '@tanagerdyke/kernel';
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import type { buildConnector } from 'undici';
import type { DecisionLog } from '../../common/DecisionLog.js';
import type { RelayChoice } from '../../common/paths/RelayChoice.js';
import type { TargetPaths } from '../../common/paths/TargetPaths.js';
import { detectResets, openSocket, readLine } from './OpenSocket.js';
import { encodeRelayRequest, MAX_LINE_BYTES, RELAY_OPENED } from './RelayFrames.js';
import type { AllowedRegions } from '../../common/placement/AllowedRegions.js';
import { RelayRefusal } from './RelayServer.js';
import { RelayedSocket, RelayLinkError } from './RelayedSocket.js';

/**
 * Targets are at most a few milliseconds away. A longer wait means a dead host, or a lost packet
 * that is retransmitted after a second. With 700 ms each first event behind a lost packet was late.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Several round trips: a connection on the own link is usually open by then. */
const HEAD_START_MS = 60;
/** Time for one other node to connect to the target. */
const RELAY_TIMEOUT_MS = 180;
/** Nodes that must not reach a target either before no further one is asked. */
const MAX_UNREACHABLE = 2;

const UNREACHABLE: string = RelayRefusal.Unreachable;
const MALFORMED: string = RelayRefusal.Malformed;
/** Refusals for which the node may still relay connections to other targets. */
const TARGET_REFUSALS: ReadonlySet<string> = new Set([
  RelayRefusal.Unreachable,
  RelayRefusal.Paused,
]);

type TargetSocket = Socket | RelayedSocket;

export interface TargetConnectorOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly paths: TargetPaths;
  readonly choice: RelayChoice;
  /** `IP:port` at which a node relays connections. */
  readonly relayAddressOf: (member: Member) => string;
  /** Opens a connection on the own link. */
  readonly openOwnLink?: typeof openSocket;
  /** Zone of the target with an address. */
  readonly zoneOf: (address: string) => string | undefined;
}

/** Opens connections for the pools of all targets. */
export class TargetConnector extends DisposableOwner {
  private readonly _relayed = new Map<RelayedSocket, string>();
  /** Processes of earlier releases, which do not retire connections: node and start time. */
  private readonly _earlierRelays = new Set<string>();
  private readonly _onRelayEnding = this.register(new Emitter<string>());
  /**
   * Fires with the address of a target to which a connection through another node should carry no
   * further requests, since that node is leaving or retired it.
   */
  public readonly onRelayEnding = this._onRelayEnding.event;

  constructor(private readonly _options: TargetConnectorOptions) {
    super();
    const { membership, metrics } = _options;
    metrics.gauge('tanager_connections_through_peers', () => this._relayed.size);
    this.register(
      membership.onChange((member) => {
        this._handleMemberChange(member);
      }),
    );
    this.register(
      toDisposable(() => {
        for (const socket of this._relayed.keys()) {
          socket.destroy();
        }
      }),
    );
  }

  /** The connector for undici, for requests that any node may relay. */
  public readonly connect: buildConnector.connector = (target, callback) => {
    this.connectWithin(undefined)(target, callback);
  };

  /** A connector that uses nodes of the allowed regions only, besides the own link. */
  public connectWithin(allowed: AllowedRegions): buildConnector.connector {
    return ({ hostname, port }, callback) => {
      runInBackground('target.connect', async () => {
        const opened = await this._open(`${hostname}:${port}`, allowed);
        if (opened.isErr) {
          callback(new Error(opened.error), null);
        } else {
          // undici uses only what a duplex stream has, and `ref` and `unref`.
          callback(null, opened.value as Socket);
        }
      });
    };
  }

  /** Opens a connection on the own link only, to find out whether it works; closes it at once. */
  public async probe(address: string, timeoutMs: number): Promise<boolean> {
    const { clock, openOwnLink = openSocket } = this._options;
    const opened = await openOwnLink(clock, { address, timeoutMs, signal: this.disposalSignal });
    if (opened.isOk) {
      opened.value.on('error', () => undefined);
      opened.value.destroy();
    }
    return opened.isOk;
  }

  private async _open(
    address: string,
    allowed: AllowedRegions,
  ): Promise<Result<TargetSocket, string>> {
    const stop = new AbortController();
    const own = this._openOwn(address, stop.signal);
    const relayed = this._openRelayed(address, allowed, own, stop.signal);
    const first = await firstOpened(own, relayed);
    stop.abort();
    return first;
  }

  private async _openOwn(
    address: string,
    signal: AbortSignal,
  ): Promise<Result<TargetSocket, string>> {
    const { clock, openOwnLink = openSocket, paths } = this._options;
    const wasLost = paths.isLost(address);
    const startedAt = clock.now();
    const timeoutMs = CONNECT_TIMEOUT_MS;
    const opened = await openOwnLink(clock, { address, timeoutMs, signal });
    if (opened.isErr) {
      const hadTime = clock.now() - startedAt >= HEAD_START_MS;
      if (!signal.aborted || hadTime || wasLost) {
        paths.recordFailure(address);
      }
      return Result.err(opened.error);
    }
    paths.recordReached(address);
    detectResets(opened.value);
    return Result.ok(opened.value);
  }

  private async _openRelayed(
    address: string,
    allowed: AllowedRegions,
    own: Promise<Result<TargetSocket, string>>,
    signal: AbortSignal,
  ): Promise<Result<TargetSocket, string>> {
    const { choice, clock, metrics, paths, zoneOf } = this._options;
    const startedAt = clock.now();
    if (!paths.isLost(address)) {
      await Promise.race([clock.sleep(HEAD_START_MS, signal), own]);
    }
    let cause = 'no other node is ready';
    let unreachable = 0;
    for (const member of choice.choose(address, zoneOf(address), allowed)) {
      const isLate = clock.now() - startedAt >= CONNECT_TIMEOUT_MS;
      if (isAborted(signal) || isLate || unreachable >= MAX_UNREACHABLE) {
        break;
      }
      const opened = await this._openThrough(member, address, signal);
      const outcome = opened.isOk ? 'opened' : 'failed';
      metrics.increment('tanager_connections_through_peers_total', { outcome });
      if (opened.isOk) {
        return Result.ok(this._register(opened.value, address));
      }
      cause = opened.error;
      unreachable += cause === UNREACHABLE ? 1 : 0;
      // After an abort, the failure is not that of the node.
      if (!isAborted(signal)) {
        choice.recordFailure(member, TARGET_REFUSALS.has(cause) ? address : undefined);
      }
    }
    return Result.err(cause);
  }

  /** Asks one node for a connection to the target. */
  private async _openThrough(
    member: Member,
    address: string,
    signal: AbortSignal,
  ): Promise<Result<RelayedSocket, string>> {
    const { clock, log, relayAddressOf } = this._options;
    const startedAt = clock.now();
    const request = { address: relayAddressOf(member), timeoutMs: RELAY_TIMEOUT_MS, signal };
    const opened = await openSocket(clock, request);
    if (opened.isErr) {
      return Result.err(opened.error);
    }
    const socket = opened.value;
    const giveUp = (): void => {
      socket.destroy();
    };
    socket.on('error', () => undefined);
    const timer = clock.schedule(RELAY_TIMEOUT_MS - (clock.now() - startedAt), giveUp);
    signal.addEventListener('abort', giveUp, { once: true });
    const relay = `${member.name} ${member.startedAt}`;
    const acceptsRetirement = !this._earlierRelays.has(relay);
    socket.write(encodeRelayRequest({ address, acceptsRetirement }));
    const line = await readLine(socket, MAX_LINE_BYTES);
    timer.dispose();
    signal.removeEventListener('abort', giveUp);
    const result = line.unwrapOrElse((cause) => cause);
    const tookMs = Math.round(clock.now() - startedAt);
    const isOpened = result === RELAY_OPENED && !socket.destroyed;
    log.write('target.relayed', { address, through: member.name, result, tookMs });
    if (!isOpened) {
      socket.destroy();
      if (result === MALFORMED && acceptsRetirement) {
        this._earlierRelays.add(relay);
        return this._openThrough(member, address, signal);
      }
      return Result.err(result);
    }
    return Result.ok(new RelayedSocket(socket, member.name));
  }

  private _register(socket: RelayedSocket, address: string): RelayedSocket {
    this._relayed.set(socket, address);
    socket.onRetired = () => {
      this._onRelayEnding.fire(address);
    };
    socket.once('close', () => this._relayed.delete(socket));
    return socket;
  }

  /** Moves connections away from a node that drains, and closes those through one that is gone. */
  private _handleMemberChange({ name, state, status }: Member): void {
    const isGone = status === MemberStatus.Dead || status === MemberStatus.Left;
    if (!isGone && !state.isDraining) {
      return;
    }
    for (const [socket, address] of [...this._relayed].filter(([{ relay }]) => relay === name)) {
      if (isGone) {
        socket.destroy(new RelayLinkError(`${name}, which relayed the connection, is gone`));
      } else {
        this._onRelayEnding.fire(address);
      }
    }
  }
}

/** Resolves with the first connection; closes one that is opened later. */
function firstOpened(
  ...attempts: readonly Promise<Result<TargetSocket, string>>[]
): Promise<Result<TargetSocket, string>> {
  return new Promise((resolve) => {
    let isSettled = false;
    let failures = 0;
    const causes: string[] = [];
    attempts.forEach((attempt, index) => {
      runInBackground('target.connect', async () => {
        const opened = await attempt;
        if (opened.isErr) {
          causes[index] = opened.error;
          failures++;
          if (failures === attempts.length) {
            resolve(Result.err(causes.join('; ')));
          }
        } else if (isSettled) {
          opened.value.on('error', () => undefined);
          opened.value.destroy();
        } else {
          isSettled = true;
          resolve(opened);
        }
      });
    });
  });
}

/** Aborted meanwhile; a condition on the property itself would be narrowed by the compiler. */
function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
