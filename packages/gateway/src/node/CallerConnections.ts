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
/** Log lines in a second; the others are counted. */
const MAX_LOG_LINES = 5;
const LOG_WINDOW_MS = 1_000;

/** Options of `createServer` that the limits need. */
export const SERVER_OPTIONS = {
  maxHeaderSize: PARSER_HEADER_BYTES,
  connectionsCheckingInterval: CHECK_INTERVAL_MS,
  headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
} as const;

export interface CallerConnectionsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly limits: ConnectionLimits;
  /** Called at each check with the time that passed since the last one. */
  readonly onCheck?: (elapsedMs: number) => void;
}

/** One connection. */
interface Connection {
  readonly socket: Socket;
  readonly address: string;
  /** When the connection was opened, or its last answer was sent. */
  since: number;
  answered: number;
  /** Requests whose answer is not sent; each has a function to call when it is, or never will be. */
  readonly unanswered: Set<() => void>;
  /** Requests whose body has not arrived. */
  receiving: number;
  /** Undefined while everything that was sent is read. */
  progress: ProgressDemand | undefined;
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
   * Returns false if the connection was closed because of too many requests sent ahead.
   */
  public admit(incoming: IncomingMessage, outgoing: ServerResponse, onEnd: () => void): boolean {
    const { socket } = incoming;
    const connection = this._connections.get(socket);
    if (connection === undefined || socket.destroyed) {
      return false;
    }
    const { unanswered } = connection;
    if (unanswered.size >= MAX_UNANSWERED) {
      this.close(socket, 'requests-ahead');
      return false;
    }
    if (unanswered.size > 0) {
      // The end of the connection is noticed later then, which ordinary callers do not cause.
      socket.pause();
    }
    const end = (): void => {
      unanswered.delete(end);
      connection.answered++;
      connection.since = this._options.clock.now();
      if (unanswered.size === 0) {
        socket.resume();
      }
      onEnd();
    };
    unanswered.add(end);
    connection.receiving++;
    incoming.once('end', () => {
      connection.receiving--;
    });
    outgoing.once('close', () => {
      if (unanswered.has(end)) {
        end();
      }
    });
    return true;
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
      unanswered: new Set(),
      receiving: 0,
      progress: undefined,
    };
    this._connections.set(socket, connection);
    socket.once('close', () => {
      this._remove(connection);
    });
  }

  private _remove({ address, socket, unanswered }: Connection): void {
    if (this._connections.delete(socket)) {
      // Answers that wait for earlier ones on the connection are not told that it is closed.
      for (const end of [...unanswered]) {
        end();
      }
      const left = (this._byAddress.get(address) ?? 1) - 1;
      if (left === 0) {
        this._byAddress.delete(address);
      } else {
        this._byAddress.set(address, left);
      }
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
  if (unanswered.size > receiving) {
    return socket.writableLength > 0 ? ConnectionUse.Unread : ConnectionUse.Running;
  }
  if (unanswered.size > 0) {
    return ConnectionUse.Receiving;
  }
  return answered > 0 ? ConnectionUse.Idle : ConnectionUse.New;
}
