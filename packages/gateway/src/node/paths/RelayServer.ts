/**
 * Relays connections of other nodes to targets that this node reaches. It passes bytes on unchanged
 * in both directions, and each end of the connection to the other side as it was: closed in order,
 * or reset. It connects to targets that accept requests only, on its own link only, and refuses at
 * once when it can't.
 */
import { createServer, type Server, type Socket } from 'node:net';
import {
  type Clock,
  DisposableOwner,
  describeCause,
  type Metrics,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { DecisionLog } from '../../common/DecisionLog.js';
import type { TargetPaths } from '../../common/paths/TargetPaths.js';
import { detectResets, openSocket, readLine } from './OpenSocket.js';
import {
  encodeEnd,
  encodeFrame,
  MAX_LINE_BYTES,
  parseRelayRequest,
  RELAY_OPENED,
  TargetEnd,
} from './RelayFrames.js';

/** Relayed connections at the same time; more would take descriptors from the node's own callers. */
const MAX_RELAYED = 400;
/** Below the time for which the other node waits, so that it receives the reason. */
const CONNECT_TIMEOUT_MS = 130;
/** A connection on which nothing arrives from either side for this long is closed. */
const IDLE_TIMEOUT_MS = 30_000;

/** Why a connection was refused; sent to the other node. */
export enum RelayRefusal {
  Malformed = 'malformed',
  /** This node drains or stops. */
  Draining = 'draining',
  Busy = 'busy',
  /** This node is cut off itself. */
  CutOff = 'cut-off',
  /** No target that accepts requests has the address. */
  NoTarget = 'no-target',
  /** This node does not reach the target either. */
  Unreachable = 'unreachable',
}

export interface RelayServerOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly paths: TargetPaths;
  /** Whether a target with the address accepts requests. */
  readonly isTarget: (address: string) => boolean;
  readonly isDraining: () => boolean;
}

/** Accepts connections of other nodes on one address. */
export class RelayServer extends DisposableOwner {
  private readonly _server: Server;
  private readonly _sockets = new Set<Socket>();
  private _relayed = 0;

  constructor(private readonly _options: RelayServerOptions) {
    super();
    this._server = createServer({ noDelay: true }, (socket) => void this._serve(socket));
    _options.metrics.gauge('tanager_connections_relayed', () => this._relayed);
    this.register(
      toDisposable(() => {
        this._server.close();
        for (const socket of this._sockets) {
          socket.destroy();
        }
      }),
    );
  }

  /** Number of connections that are relayed now. */
  public get relayed(): number {
    return this._relayed;
  }

  /** Listens on `IP:port`. Rejects if the address is in use. */
  public listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(Number(port), host, resolve);
    });
  }

  private async _serve(socket: Socket): Promise<void> {
    this._sockets.add(socket);
    socket.on('error', (cause) => {
      this._options.log.write('relay.link-failed', { cause: describeCause(cause) });
    });
    socket.on('close', () => this._sockets.delete(socket));
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    const line = await readLine(socket, MAX_LINE_BYTES);
    const address = line.isOk ? parseRelayRequest(line.value) : undefined;
    const refusal = this._findRefusal(address);
    if (address === undefined || refusal !== undefined) {
      this._refuse(socket, refusal ?? RelayRefusal.Malformed, address);
      return;
    }
    this._relayed++;
    socket.on('close', () => this._relayed--);
    const target = await this._connect(address);
    if (target === undefined || socket.destroyed) {
      target?.destroy();
      this._refuse(socket, RelayRefusal.Unreachable, address);
      return;
    }
    this._options.metrics.increment('tanager_relays_total', { outcome: 'opened' });
    this._options.log.write('relay.opened', { address, from: socket.remoteAddress });
    socket.write(`${RELAY_OPENED}\n`);
    relay(socket, target);
  }

  private _findRefusal(address: string | undefined): RelayRefusal | undefined {
    const { isDraining, isTarget, paths } = this._options;
    if (address === undefined) {
      return RelayRefusal.Malformed;
    }
    if (isDraining()) {
      return RelayRefusal.Draining;
    }
    if (this._relayed >= MAX_RELAYED) {
      return RelayRefusal.Busy;
    }
    if (paths.isCutOff) {
      return RelayRefusal.CutOff;
    }
    return isTarget(address) ? undefined : RelayRefusal.NoTarget;
  }

  private _refuse(socket: Socket, refusal: RelayRefusal, address: string | undefined): void {
    this._options.metrics.increment('tanager_relays_total', { outcome: refusal });
    this._options.log.write('relay.refused', { address, refusal });
    socket.end(`${refusal}\n`);
  }

  private async _connect(address: string): Promise<Socket | undefined> {
    const { clock, paths } = this._options;
    const timeoutMs = CONNECT_TIMEOUT_MS;
    const opened = await openSocket(clock, { address, timeoutMs, signal: this.disposalSignal });
    if (opened.isErr) {
      paths.recordFailure(address);
      return undefined;
    }
    paths.recordReached(address);
    return opened.value;
  }
}

/** Passes bytes and the end of the connection on in both directions. */
function relay(caller: Socket, target: Socket): void {
  detectResets(target);
  caller.pipe(target);
  target.on('data', (chunk: Buffer) => {
    if (!caller.write(encodeFrame(chunk))) {
      target.pause();
    }
  });
  caller.on('drain', () => target.resume());
  target.on('end', () => caller.end(encodeEnd(TargetEnd.Closed)));
  target.on('error', () => caller.end(encodeEnd(TargetEnd.Reset)));
  caller.on('close', () => {
    target.destroy();
  });
}
