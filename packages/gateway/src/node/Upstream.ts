/**
 * Connections to targets, with undici: one pool for each instance of a target, one request at a
 * time on a connection. A request without an id has a connection of its own, since nothing else
 * distinguishes its answer from an earlier one that a faulty target writes once more. An exchange
 * reports when its request starts to be sent, since from then on it may have run. Right before that,
 * it asks whether the request may still be sent, as it may have waited for a connection. Retries are
 * the forwarders' task.
 */
import { DisposableOwner, runInBackground, toDisposable } from '@tanagerdyke/kernel';
import { type buildConnector, type Client, type Dispatcher, Pool } from 'undici';
import type { RawHeaders, TargetEntry } from '../common/Messages.js';
import type { AllowedRegions } from '../common/placement/AllowedRegions.js';
import { SendObstacle } from '../common/placement/SendCheck.js';
import { ConnectionHistories, type ConnectionHistory } from './ConnectionHistory.js';
import type { AnswerMeter } from './AnswerMeter.js';
import {
  createMeteredClient,
  type MeteredConnection,
  type MeteredDispatch,
} from './MeteredClient.js';
import { RelayedSocket } from './paths/RelayedSocket.js';
import type { WatchedExchange } from './paths/SilenceMonitor.js';

/** Applies to targets that don't announce how long they keep an idle connection. */
const KEEP_ALIVE_MS = 2_000;
/** An idle connection is closed this long before its target would close it. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const MIN_CONNECTIONS = 4;
/** Connections for requests without an id, as a share of those with one, so that few exceed the limit. */
const SINGLE_USE_SHARE = 0.15;
/** Requests at a time on a connection that is kept, and on one that is closed after the first. */
const KEPT_PIPELINING = 1;
const SINGLE_USE_PIPELINING = 0;
/** Codes of undici for requests that it can't write, whatever the target. */
const UNSENDABLE_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);
/** Times that a request is given another connection since the one that it got was retired. */
const MAX_REASSIGNMENTS = 2;

/** A request as it is sent to a target. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  /** The caller's id of the request; undefined if it sent none. */
  readonly attemptId?: string | undefined;
  /** Regions whose nodes may relay the request; all without. */
  readonly relayRegions?: AllowedRegions;
}

/**
 * Callbacks of an exchange, in the order of the calls. Exactly one of `onEnd` and `onError` is
 * called last. None is called after an abort.
 */
export interface ExchangeObserver {
  /** Returns why the request must not be sent; the exchange ends with a `WithheldRequest` then. */
  findObstacle(): SendObstacle | undefined;
  /** The first byte of the request is about to be sent. */
  onSendStart(): void;
  /** The status and headers of the final answer arrived, on a connection with this history. */
  onHead(status: number, headers: RawHeaders, history?: ConnectionHistory): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(cause: Error): void;
}

/** Ends an exchange of which no byte was sent, since its target may not get it any more. */
export class WithheldRequest extends Error {
  constructor(public readonly obstacle: SendObstacle) {
    super(`not sent: ${obstacle}`);
  }
}

/** Ends a dispatch of which no byte was sent, since its connection was retired meanwhile. */
class RetiredConnection extends Error {}

/** Why an exchange is aborted. */
export enum AbortReason {
  /** The answer is not needed any more, or is malformed. */
  Unneeded = 'unneeded',
  /** Nothing arrived in time. */
  Silence = 'silence',
}

/** A request in flight. */
export interface Exchange {
  /**
   * Closes the connection, so that the target stops its work. After a silence, further requests to
   * the target use new connections, since all open ones may be silent.
   */
  abort(reason?: AbortReason): void;
  pause(): void;
  resume(): void;
}

/** Sends requests to targets. */
export interface RequestSender {
  /** `connections` limits the pool of the target; the value of the first call applies. */
  send(
    target: TargetEntry,
    connections: number,
    request: UpstreamRequest,
    observer: ExchangeObserver,
  ): Exchange;
}

export interface UpstreamOptions {
  /** Opens a connection to a target. */
  readonly connect: buildConnector.connector;
  /**
   * Opens connections through nodes of the allowed regions only; not needed if `connect` leads
   * through no node.
   */
  readonly connectWithin?: (allowed: AllowedRegions) => buildConnector.connector;
  /** Watches a request that is being sent to the target with this address. */
  readonly watch: (address: string) => WatchedExchange;
}

/** The pools of an instance of a target, for requests that may pass the same regions. */
interface TargetPools {
  readonly instance: string;
  readonly address: string;
  /** For requests with an id. */
  readonly kept: Pool;
  /** For requests without an id; each connection carries one of them. */
  readonly singleUse: Pool;
}

/** Sends requests over the connection pools of all targets. */
export class Upstream extends DisposableOwner implements RequestSender {
  private readonly _pools = new Map<string, TargetPools>();
  private readonly _histories = new ConnectionHistories();

  constructor(private readonly _options: UpstreamOptions) {
    super();
    this.register(
      toDisposable(() => {
        for (const { kept, singleUse } of this._pools.values()) {
          runInBackground('target.close', () => kept.destroy());
          runInBackground('target.close', () => singleUse.destroy());
        }
      }),
    );
  }

  public send(
    target: TargetEntry,
    connections: number,
    request: UpstreamRequest,
    observer: ExchangeObserver,
  ): Exchange {
    const exchange = new PoolExchange(observer, {
      beginOn: (connection) => {
        const history = this._histories.of(connection?.socket);
        history.begin(request.attemptId);
        return history;
      },
      watch: () => this._options.watch(target.address),
      renewConnections: () => {
        this.renewConnections(target.address);
      },
      dispatch: () => {
        this._dispatch(target, connections, request, exchange);
      },
    });
    this._dispatch(target, connections, request, exchange);
    return exchange;
  }

  /** Addresses of the targets that requests were sent to. */
  public get addresses(): readonly string[] {
    return [...new Set([...this._pools.values()].map(({ address }) => address))];
  }

  /** Closes the connections of a target after its exchanges in flight have ended. */
  public closeTarget(target: TargetEntry): void {
    const instance = instanceOf(target);
    for (const [key, pool] of this._pools) {
      if (pool.instance === instance) {
        this._close(key);
      }
    }
  }

  /**
   * Opens new connections for further requests to the targets with this address, or to all targets
   * without one. Exchanges in flight keep theirs.
   */
  public renewConnections(address?: string): void {
    for (const [key, target] of this._pools) {
      if (address === undefined || target.address === address) {
        this._close(key);
      }
    }
  }

  private _dispatch(
    target: TargetEntry,
    connections: number,
    { attemptId, body, headers, method, path, relayRegions }: UpstreamRequest,
    exchange: PoolExchange,
  ): void {
    const dispatch: MeteredDispatch = {
      method,
      path,
      headers,
      body: body.length === 0 ? null : body,
      exchange,
    };
    try {
      const { kept, singleUse } = this._poolsOf(target, connections, relayRegions);
      (attemptId === undefined ? singleUse : kept).dispatch(dispatch, exchange);
    } catch (error) {
      // undici throws if it can't serialise the request; nothing has been sent in that case.
      exchange.onResponseError(
        undefined,
        error instanceof Error ? error : new Error(String(error)),
      );
    }
  }

  private _close(key: string): void {
    const target = this._pools.get(key);
    this._pools.delete(key);
    if (target !== undefined) {
      runInBackground('target.close', () => target.kept.close());
      runInBackground('target.close', () => target.singleUse.close());
    }
  }

  private _poolsOf(
    target: TargetEntry,
    connections: number,
    relayRegions: AllowedRegions,
  ): TargetPools {
    const instance = instanceOf(target);
    // A connection through another node must carry no request that its region may not have.
    const key =
      relayRegions === undefined ? instance : `${instance} ${JSON.stringify(relayRegions)}`;
    let pools = this._pools.get(key);
    if (pools === undefined) {
      const connect = this._connectorFor(relayRegions);
      pools = {
        instance,
        address: target.address,
        kept: createPool(target, {
          connect,
          connections: Math.max(MIN_CONNECTIONS, connections),
          pipelining: KEPT_PIPELINING,
        }),
        singleUse: createPool(target, {
          connect,
          connections: Math.max(1, Math.floor(connections * SINGLE_USE_SHARE)),
          pipelining: SINGLE_USE_PIPELINING,
        }),
      };
      this._pools.set(key, pools);
    }
    return pools;
  }

  private _connectorFor(relayRegions: AllowedRegions): buildConnector.connector {
    const { connect, connectWithin } = this._options;
    return relayRegions === undefined ? connect : (connectWithin?.(relayRegions) ?? connect);
  }
}

interface PoolOptions {
  readonly connect: buildConnector.connector;
  readonly connections: number;
  readonly pipelining: number;
}

function createPool(
  { address }: TargetEntry,
  { connect, connections, pipelining }: PoolOptions,
): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining,
    factory: (origin, options: Client.Options) =>
      createMeteredClient(origin, { ...options, connect }),
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** Includes the start time, so that a target restarted under its id and address gets a new pool. */
function instanceOf({ address, id, startedAt }: TargetEntry): string {
  return `${id}@${address}@${startedAt ?? ''}`;
}

/** What an exchange needs of the pools. */
interface ExchangePools {
  /** Records that the request is about to be sent on a connection; returns its history. */
  readonly beginOn: (connection: MeteredConnection | undefined) => ConnectionHistory;
  readonly watch: () => WatchedExchange;
  /** Opens new connections for further requests to the target. */
  readonly renewConnections: () => void;
  /** Dispatches the request of the exchange. */
  readonly dispatch: () => void;
}

/** Adapts undici's callbacks to an observer; at most one of `onEnd` and `onError` is called. */
class PoolExchange implements Exchange, Dispatcher.DispatchHandler {
  private _controller: Dispatcher.DispatchController | undefined;
  private _isFinished = false;
  private _watched: WatchedExchange | undefined;
  private _reassignments = 0;
  private _history: ConnectionHistory | undefined;
  private _meter: AnswerMeter | undefined;
  private _connection: () => MeteredConnection | undefined = () => undefined;

  constructor(
    private readonly _observer: ExchangeObserver,
    private readonly _pools: ExchangePools,
  ) {}

  public assign(connection: () => MeteredConnection | undefined): void {
    this._connection = connection;
  }

  public abort(reason = AbortReason.Unneeded): void {
    this._finish();
    if (reason === AbortReason.Silence) {
      this._pools.renewConnections();
    }
    this._controller?.abort(new Error('the exchange was aborted'));
  }

  public pause(): void {
    this._controller?.pause();
  }

  public resume(): void {
    this._controller?.resume();
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._isFinished) {
      // Aborted while it waited for a connection.
      controller.abort(new Error('the exchange was aborted'));
      return;
    }
    // Errors are thrown, since undici closes the connection after an abort.
    const obstacle = this._observer.findObstacle();
    if (obstacle !== undefined) {
      throw new WithheldRequest(obstacle);
    }
    const connection = this._connection();
    const socket: unknown = connection?.socket;
    if (socket instanceof RelayedSocket && socket.isRetired) {
      throw new RetiredConnection(`${socket.relay} retired the connection to the target`);
    }
    this._history = this._pools.beginOn(connection);
    this._meter = connection?.meter;
    this._meter?.begin();
    this._watched = this._pools.watch();
    this._observer.onSendStart();
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this._watched?.recordBytes();
    if (this._isFinished || statusCode < 200) {
      return;
    }
    this._observer.onHead(statusCode, rawHeadersOf(controller, headers), this._history);
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._meter?.addPiece(chunk.length);
    if (this._isFinished) {
      return;
    }
    this._watched?.recordBytes();
    this._observer.onData(chunk);
  }

  public onResponseEnd(): void {
    if (!this._isFinished) {
      this._finish();
      this._observer.onEnd();
    }
  }

  public onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    if (this._isFinished) {
      return;
    }
    if (error instanceof RetiredConnection && this._reassignments < MAX_REASSIGNMENTS) {
      this._reassignments++;
      this._pools.renewConnections();
      this._pools.dispatch();
      return;
    }
    this._finish();
    this._observer.onError(
      UNSENDABLE_CODES.has(codeOf(error)) ? new WithheldRequest(SendObstacle.Unsendable) : error,
    );
  }

  private _finish(): void {
    this._isFinished = true;
    this._watched?.dispose();
  }
}

function codeOf(error: NodeJS.ErrnoException): string {
  return error.code ?? '';
}

/** Header names and values as the target sent them; undici's parsed headers are the fallback. */
function rawHeadersOf(
  controller: Dispatcher.DispatchController,
  headers: Record<string, string | string[] | undefined>,
): RawHeaders {
  const raw = (controller as { rawHeaders?: (Buffer | string)[] | null }).rawHeaders;
  if (raw !== null && raw !== undefined) {
    return raw.map((each) => (typeof each === 'string' ? each : each.toString('latin1')));
  }
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((each) => [name, each]),
  );
}
