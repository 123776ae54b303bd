/**
 * Limits the connections of callers to the servers of a node: how many are open, how many requests
 * are sent ahead on one, how many header fields a request has, and how long an answer stays unread.
 * Connections that exceed a limit are closed; when too many are open, those are closed first that
 * have not sent a whole request, the oldest first, and never one with a request that may run.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  type Metrics,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { ConnectionLimits } from '../common/callers/CallerLimits.js';
import { chooseClosed, ConnectionUse } from '../common/callers/ConnectionChoice.js';
import { ProgressDemand, type ProgressLimits } from '../common/callers/ProgressDemand.js';
import type { DecisionLog } from '../common/DecisionLog.js';
import {
  CallerMessage,
  CallerServerResponse,
  discardRequests,
  isDiscarding,
} from './DiscardedRequests.js';

/** The HTTP parser rejects larger header blocks; the configured limit is lower. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** Ordinary requests have some 20 fields; each costs two strings and is looked up in order. */
export const MAX_FIELDS = 256;
/** Requests that may be unanswered on one connection; callers of HTTP/1.1 rarely send any ahead. */
const MAX_UNANSWERED = 16;
/** How often connections are checked for their time limits. */
const CHECK_INTERVAL_MS = 500;
/** A longer time between two checks means that the process did not run. */
const MAX_ELAPSED_MS = 2 * CHECK_INTERVAL_MS;
/** Time for the header block until the configuration states it, and for a whole request. */
const DEFAULT_HEADER_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 60_000;
/** The slowest reader of an answer that is waited for. */
const ANSWER_PROGRESS: ProgressLimits = { graceMs: 5_000, bytesPerSecond: 4_096 };
/**
 * How long a connection over a limit stays open without being read. Closed at once, it would be
 * opened again at once, and its next bytes cost processor time.
 */
const HOLD_MS = 10_000;
/** Log lines in a second; the others are counted. */
const MAX_LOG_LINES = 5;
const LOG_WINDOW_MS = 1_000;

/** Options of `createServer` that the limits need. */
export const SERVER_OPTIONS = {
  maxHeaderSize: PARSER_HEADER_BYTES,
  connectionsCheckingInterval: CHECK_INTERVAL_MS,
  headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  IncomingMessage: CallerMessage,
  ServerResponse: CallerServerResponse,
} as const;

export interface CallerConnectionsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly limits: ConnectionLimits;
  /** Called at each check with the time that passed since the last one. */
  readonly onCheck?: (elapsedMs: number) => void;
  /** Called for each request and each connection. */
  readonly onArrival?: () => void;
}

/** One connection. */
interface Connection {
  readonly socket: Socket;
  readonly address: string;
  /** When the connection was opened, or its last answer was sent. */
  since: number;
  answered: number;
  /** Requests whose answer is not sent, in order. */
  readonly unanswered: PendingRequest[];
  /** Requests whose body has not arrived. */
  receiving: number;
  /** Undefined while everything that was sent is read. */
  progress: ProgressDemand | undefined;
}

/** A request whose answer is not sent. */
interface PendingRequest {
  /** Called when all earlier requests of the connection are answered. */
  readonly begin: () => void;
  /** Called when the answer is sent, or never will be. */
  readonly end: () => void;
}

/** The connections of callers to some servers. */
export class CallerConnections extends DisposableOwner {
  private readonly _connections = new Map<Socket, Connection>();
  private readonly _byAddress = new Map<string, number>();
  private _checkedAt: number;
  private _timer: Disposable;
  private _loggedSince = 0;
  private _logged = 0;
  private _notLogged = 0;

  constructor(private readonly _options: CallerConnectionsOptions) {
    super();
    this._checkedAt = _options.clock.now();
    this._timer = this._scheduleCheck();
    this.register(
      toDisposable(() => {
        this._timer.dispose();
      }),
    );
  }

  /** Number of open connections. */
  public get count(): number {
    return this._connections.size;
  }

  /** Applies the limits to a server. */
  public attach(server: Server): void {
    // The parser keeps no more; one more than the limit shows that a request has too many.
    server.maxHeadersCount = MAX_FIELDS + 1;
    server.on('connection', (socket) => {
      this._add(socket);
    });
  }

  /**
   * Counts a request until its answer is sent or its connection closed, and then calls `onEnd`.
   * Resolves when all requests before it on the connection are answered. Returns undefined if the
   * request must not be served.
   */
  public admit(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    onEnd: () => void,
  ): Promise<void> | undefined {
    const { socket } = incoming;
    const connection = this._connections.get(socket);
    this._options.onArrival?.();
    if (connection === undefined || isDiscarding(socket)) {
      pauseReading(socket);
      return undefined;
    }
    const { unanswered } = connection;
    if (unanswered.length >= MAX_UNANSWERED) {
      this.hold(socket, 'requests-ahead');
      return undefined;
    }
    let begin = (): void => undefined;
    const turn = new Promise<void>((resolve) => {
      begin = resolve;
    });
    const pending = { begin, end: onEnd };
    unanswered.push(pending);
    if (unanswered.length === 1) {
      begin();
    } else {
      pauseReading(socket);
    }
    connection.receiving++;
    incoming.once('end', () => {
      connection.receiving--;
    });
    outgoing.once('close', () => {
      this._endRequest(connection, pending);
    });
    return turn;
  }

  /** Holds the connection of a request whose body is not received. */
  public holdAt(incoming: IncomingMessage, reason: string): void {
    incoming.on('error', () => undefined);
    // Without a listener, node:http keeps the pieces that it has parsed, an object for each.
    incoming.on('data', () => {
      pauseReading(incoming.socket);
    });
    this.hold(incoming.socket, reason);
  }

  /** Stops reading a connection over a limit, and closes it after a while. */
  public hold(socket: Socket, reason: string): void {
    if (!isDiscarding(socket)) {
      discardRequests(socket);
      this.record('caller.closed', reason, this._connections.get(socket)?.address);
      pauseReading(socket);
      const timer = this._options.clock.schedule(HOLD_MS, () => socket.destroy());
      socket.once('close', () => {
        timer.dispose();
      });
    }
  }

  /** Closes a connection, and counts and logs why. */
  public close(socket: Socket, reason: string): void {
    if (!socket.destroyed) {
      this.record('caller.closed', reason, this._connections.get(socket)?.address);
      socket.destroy();
    }
  }

  /** Counts a refusal or a closed connection, and logs it within bounds. */
  public record(event: string, reason: string, address: string | undefined): void {
    const { clock, log, metrics } = this._options;
    metrics.increment('tanager_callers_refused_total', { reason });
    if (clock.now() - this._loggedSince > LOG_WINDOW_MS) {
      this._loggedSince = clock.now();
      this._logged = 0;
    }
    if (this._logged >= MAX_LOG_LINES) {
      this._notLogged++;
      return;
    }
    this._logged++;
    const more = this._notLogged === 0 ? {} : { notLogged: this._notLogged };
    this._notLogged = 0;
    log.write(event, { reason, address, connections: this._connections.size, ...more });
  }

  private _add(socket: Socket): void {
    const { clock, limits } = this._options;
    const address = socket.remoteAddress ?? '';
    const fromAddress = this._byAddress.get(address) ?? 0;
    const isAddressFull = fromAddress >= limits.fromAddress;
    if (isAddressFull || this._connections.size >= limits.all) {
      const closed = chooseClosed(
        [...this._connections.values()]
          .filter((each) => !isAddressFull || each.address === address)
          .map((each) => ({ connection: each, use: useOf(each), since: each.since })),
      );
      this.close(closed?.connection.socket ?? socket, 'connections');
      if (closed === undefined) {
        return;
      }
    }
    this._byAddress.set(address, (this._byAddress.get(address) ?? 0) + 1);
    const connection: Connection = {
      socket,
      address,
      since: clock.now(),
      answered: 0,
      unanswered: [],
      receiving: 0,
      progress: undefined,
    };
    this._connections.set(socket, connection);
    // node:http creates an error with its stack for each request that the end of a connection cuts,
    // discarded ones among them; after many, that takes most of the processor time.
    let { stackTraceLimit } = Error;
    socket.prependOnceListener('close', () => {
      ({ stackTraceLimit } = Error);
      Error.stackTraceLimit = 0;
    });
    socket.once('close', () => {
      Error.stackTraceLimit = stackTraceLimit;
      this._remove(connection);
    });
  }

  private _remove(connection: Connection): void {
    const { address, socket, unanswered } = connection;
    if (this._connections.delete(socket)) {
      // Answers that wait for earlier ones on the connection get no event when it closes.
      for (const { begin, end } of unanswered.splice(0)) {
        end();
        begin();
      }
      const left = (this._byAddress.get(address) ?? 1) - 1;
      if (left === 0) {
        this._byAddress.delete(address);
      } else {
        this._byAddress.set(address, left);
      }
    }
  }

  private _endRequest(connection: Connection, pending: PendingRequest): void {
    const { socket, unanswered } = connection;
    const index = unanswered.indexOf(pending);
    if (index === -1) {
      return;
    }
    unanswered.splice(index, 1);
    connection.answered++;
    connection.since = this._options.clock.now();
    pending.end();
    unanswered[0]?.begin();
    if (unanswered.length === 0 && !isDiscarding(socket)) {
      socket.resume();
    }
  }

  private _scheduleCheck(): Disposable {
    return this._options.clock.schedule(CHECK_INTERVAL_MS, () => {
      const now = this._options.clock.now();
      const elapsedMs = Math.min(MAX_ELAPSED_MS, now - this._checkedAt);
      this._checkedAt = now;
      this._options.onCheck?.(elapsedMs);
      for (const connection of [...this._connections.values()]) {
        this._demandReading(connection, elapsedMs);
      }
      this._timer = this._scheduleCheck();
    });
  }

  private _demandReading(connection: Connection, elapsedMs: number): void {
    const { socket } = connection;
    if (socket.writableLength === 0) {
      connection.progress = undefined;
      return;
    }
    const sentBytes = socket.bytesWritten - socket.writableLength;
    if (connection.progress === undefined) {
      connection.progress = new ProgressDemand(ANSWER_PROGRESS, sentBytes);
    } else if (!connection.progress.advance(elapsedMs, sentBytes)) {
      this.close(socket, 'unread-answer');
    }
  }
}

function useOf({ answered, receiving, socket, unanswered }: Connection): ConnectionUse {
  if (unanswered.length > receiving) {
    return socket.writableLength > 0 ? ConnectionUse.Unread : ConnectionUse.Running;
  }
  if (unanswered.length > 0) {
    return ConnectionUse.Receiving;
  }
  return answered > 0 ? ConnectionUse.Idle : ConnectionUse.New;
}

/**
 * Stops reading a connection until its next piece or request, of which the parser may hold some
 * already. IncomingMessage resumes its connection in a tick after each piece, so that a pause at once
 * would not last; microtasks run after these ticks and before the next read.
 */
export function pauseReading(socket: Socket): void {
  queueMicrotask(() => {
    socket.pause();
  });
}
