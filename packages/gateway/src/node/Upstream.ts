/**
 * Connections to targets, on undici: one pool for each life of a target, one request at a time on a
 * connection. An exchange tells when its request begins to be sent, since that decides whether it
 * may have run. There are no retries here.
 */
import { DisposableOwner, toDisposable } from '@tanagerdyke/kernel';
import { buildConnector, type Dispatcher, Pool } from 'undici';
import type { RawHeaders, TargetEntry } from '../common/Messages.js';

/**
 * Targets are at most some ms away; a longer wait means a dead host, or a lost packet that is sent again
 * after a second. 700 ms made each first event behind one late.
 */
const CONNECT_TIMEOUT_MS = 300;
/** For targets that don't say how long they keep an idle connection. */
const KEEP_ALIVE_MS = 2_000;
/** A connection is given up this long before its target would close it. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const MIN_CONNECTIONS = 4;

/** A request as it goes out. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

/** What an exchange reports, in this order; exactly one of `onEnd` and `onError` comes last. */
export interface ExchangeObserver {
  /** The request begins to be sent. */
  onSent(): void;
  onHead(status: number, headers: RawHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(cause: Error): void;
}

/** A request under way. */
export interface Exchange {
  /** Closes the connection, which tells the target to stop. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends requests to targets. */
export interface RequestSender {
  /** `connections` bounds those of the target when it is first used. */
  send(
    target: TargetEntry,
    connections: number,
    request: UpstreamRequest,
    observer: ExchangeObserver,
  ): Exchange;
}

/** The pools of all targets. */
export class Upstream extends DisposableOwner implements RequestSender {
  private readonly _pools = new Map<string, Pool>();

  constructor() {
    super();
    this.register(
      toDisposable(() => {
        for (const pool of this._pools.values()) {
          void pool.destroy();
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
    const exchange = new PoolExchange(observer);
    try {
      this._pool(target, connections).dispatch(
        {
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body.length === 0 ? null : request.body,
        },
        exchange,
      );
    } catch (error) {
      // undici throws for a request that it can't write; nothing was sent then.
      exchange.onResponseError(
        undefined,
        error instanceof Error ? error : new Error(String(error)),
      );
    }
    return exchange;
  }

  /** Lets running exchanges end and closes the connections of a target. */
  public forget(target: TargetEntry): void {
    const key = keyOf(target);
    const pool = this._pools.get(key);
    this._pools.delete(key);
    if (pool !== undefined) {
      void pool.close();
    }
  }

  private _pool(target: TargetEntry, connections: number): Pool {
    const key = keyOf(target);
    let pool = this._pools.get(key);
    if (pool === undefined) {
      pool = new Pool(`http://${target.address}`, {
        connections: Math.max(MIN_CONNECTIONS, connections),
        pipelining: 1,
        connect: connectStrictly,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this._pools.set(key, pool);
    }
    return pool;
  }
}

const connectPlainly = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/**
 * Connects so that a reset never ends an answer well. Two layers below take it for the regular end of
 * an answer without a length: undici by its code ECONNRESET, and libuv, which reports the end of the
 * stream when a hang-up follows a partial read. A socket that was reset no longer has a peer.
 */
const connectStrictly: buildConnector.connector = (options, callback) => {
  connectPlainly(options, (...result) => {
    const [error, socket] = result;
    if (error === null) {
      socket.prependListener('error', (cause: NodeJS.ErrnoException) => {
        cause.code = `TARGET_${cause.code ?? 'FAILED'}`;
      });
      const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
      socket.emit = (event: string, ...values: unknown[]): boolean => {
        if (event === 'end' && socket.remoteAddress === undefined) {
          socket.destroy(new Error('the target reset the connection'));
          return true;
        }
        return emit(event, ...values);
      };
    }
    callback(...result);
  });
};

function keyOf({ address, bornAt, id }: TargetEntry): string {
  return `${id}@${address}@${bornAt ?? ''}`;
}

/** Turns undici's callbacks into those of an observer, at most one ending each. */
class PoolExchange implements Exchange, Dispatcher.DispatchHandler {
  private _controller: Dispatcher.DispatchController | undefined;
  private _isOver = false;

  constructor(private readonly _observer: ExchangeObserver) {}

  public abort(): void {
    this._isOver = true;
    this._controller?.abort(new Error('the exchange was given up'));
  }

  public pause(): void {
    this._controller?.pause();
  }

  public resume(): void {
    this._controller?.resume();
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._isOver) {
      // Given up while it waited for a connection.
      controller.abort(new Error('the exchange was given up'));
      return;
    }
    this._observer.onSent();
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this._isOver || statusCode < 200) {
      return;
    }
    this._observer.onHead(statusCode, rawHeadersOf(controller, headers));
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this._isOver) {
      this._observer.onData(chunk);
    }
  }

  public onResponseEnd(): void {
    if (!this._isOver) {
      this._isOver = true;
      this._observer.onEnd();
    }
  }

  public onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    if (!this._isOver) {
      this._isOver = true;
      this._observer.onError(error);
    }
  }
}

/** Header names and values as the target wrote them. */
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
