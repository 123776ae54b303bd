/**
 * The limit on open connections. Connections over it are still accepted, up to a small reserve, so
 * that their first request gets a refusal that names the time to come back instead of a closed
 * socket; beyond the reserve the server closes them at once.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';

/** Connections over the limit that still get an answer. */
const REFUSABLE_CONNECTIONS = 64;
const RETRY_AFTER_MS = 1_000;

/** Tells connections over the limit from the others. */
export class ConnectionLimit {
  private readonly _counted = new Set<Socket>();
  private readonly _overLimit = new WeakSet<object>();

  constructor(private readonly _limit: number) {}

  /** Starts to count the connections of a server. */
  public attach(server: Server): void {
    server.maxConnections = this._limit + REFUSABLE_CONNECTIONS;
    server.on('connection', (socket: Socket) => {
      if (this._counted.size >= this._limit) {
        this._overLimit.add(socket);
        return;
      }
      this._counted.add(socket);
      socket.once('close', () => this._counted.delete(socket));
    });
  }

  /** Whether a connection came when the limit was reached. */
  public isOverLimit(socket: object): boolean {
    return this._overLimit.has(socket);
  }

  /** The refusal of a request on a connection over the limit. */
  public createRefusal(): ServiceError {
    return new ServiceError(
      ErrorKind.Overloaded,
      `all ${this._limit} connections of this node are in use`,
      {
        remedy: 'use another address, or come back after the time given',
        notRun: NotRun.True,
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
}
