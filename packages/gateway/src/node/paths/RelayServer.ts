/**
 * Relays connections of other nodes to targets that this node reaches. It passes bytes on unchanged
 * in both directions, and each end of the connection to the other side as it was: closed in order,
 * or reset. It connects to targets that accept requests only, on its own link only, and refuses at
 * once when it can't. A target sees this node as the sender. What the target states in its answers
 * therefore holds for this node, too, and when it asks this node for a pause, connections of other
 * nodes to it are retired.
 */
import { createServer, type Server, type Socket } from 'node:net';
import {
  callContained,
  type Clock,
  describeCause,
  DisposableOwner,
  type Metrics,
  runInBackground,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { DecisionLog } from '../../common/DecisionLog.js';
import type { TargetPaths } from '../../common/paths/TargetPaths.js';
import { detectResets, openSocket, readLine } from './OpenSocket.js';
import {
  encodeEnd,
  encodeFrame,
  encodeRetirement,
  MAX_LINE_BYTES,
  parseRelayRequest,
  RELAY_OPENED,
  TargetEnd,
} from './RelayFrames.js';
import { type AnswerHead, RelayedAnswerReader } from './RelayedAnswerReader.js';

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
  /** The target asked this node for a pause. */
  Paused = 'paused',
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
  /** Whether the target with the address asked this node for a pause. */
  readonly isPaused: (address: string) => boolean;
  /** Called with the head of each answer to another node. */
  readonly onAnswerHead: (address: string, head: AnswerHead) => void;
  readonly isDraining: () => boolean;
}

/** Accepts connections of other nodes on one address. */
export class RelayServer extends DisposableOwner {
  private readonly _server: Server;
  private readonly _sockets = new Set<Socket>();
  /** By address of a target: connections to it that can be retired. */
  private readonly _retirable = new Map<string, Set<Socket>>();
  private _relayed = 0;

  constructor(private readonly _options: RelayServerOptions) {
    super();
    this._server = createServer({ noDelay: true }, (socket) => {
      runInBackground('relay.connection', () => this._serve(socket));
    });
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

  /** Retires the connections of other nodes to a target: they carry no further requests. */
  public retire(address: string): void {
    const sockets = this._retirable.get(address);
    if (sockets === undefined) {
      return;
    }
    this._retirable.delete(address);
    this._options.log.write('relay.retired', { address, connections: sockets.size });
    for (const socket of sockets) {
      socket.write(encodeRetirement());
    }
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
    const request = line.isOk ? parseRelayRequest(line.value) : undefined;
    const address = request?.address;
    const refusal = this._findRefusal(address);
    if (request === undefined || address === undefined || refusal !== undefined) {
      this._refuse(socket, refusal ?? RelayRefusal.Malformed, address);
      return;
    }
    this._relayed++;
    socket.on('close', () => this._relayed--);
    const target = await this._connect(address);
    const lateRefusal = this._findTargetRefusal(address);
    if (target === undefined || lateRefusal !== undefined || socket.destroyed) {
      target?.destroy();
      this._refuse(socket, lateRefusal ?? RelayRefusal.Unreachable, address);
      return;
    }
    this._options.metrics.increment('tanager_relays_total', { outcome: 'opened' });
    this._options.log.write('relay.opened', { address, from: socket.remoteAddress });
    socket.write(`${RELAY_OPENED}\n`);
    if (request.acceptsRetirement) {
      this._trackRetirable(socket, address);
    }
    relay(socket, target, (head) => {
      callContained('relay.answer', () => {
        this._options.onAnswerHead(address, head);
      });
    });
  }

  private _trackRetirable(socket: Socket, address: string): void {
    const sockets = this._retirable.get(address) ?? new Set();
    this._retirable.set(address, sockets.add(socket));
    socket.on('close', () => {
      sockets.delete(socket);
      if (sockets.size === 0 && this._retirable.get(address) === sockets) {
        this._retirable.delete(address);
      }
    });
  }

  private _findRefusal(address: string | undefined): RelayRefusal | undefined {
    const { isDraining, paths } = this._options;
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
    return this._findTargetRefusal(address);
  }

  private _findTargetRefusal(address: string): RelayRefusal | undefined {
    const { isPaused, isTarget } = this._options;
    if (!isTarget(address)) {
      return RelayRefusal.NoTarget;
    }
    return isPaused(address) ? RelayRefusal.Paused : undefined;
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
function relay(caller: Socket, target: Socket, onAnswerHead: (head: AnswerHead) => void): void {
  const answers = new RelayedAnswerReader();
  detectResets(target);
  caller.on('data', () => {
    answers.expectAnswer();
  });
  caller.pipe(target);
  target.on('data', (chunk: Buffer) => {
    const head = answers.push(chunk);
    if (head !== undefined) {
      onAnswerHead(head);
    }
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
