/**
 * The limit on open connections. A limited number of connections over it is still accepted, so that
 * their first request gets a refusal with a retry time instead of a closed socket; the server
 * closes any further connection immediately.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';

/** Connections over the limit whose first request is refused with a response. */
const REFUSABLE_CONNECTIONS = 64;
const RETRY_AFTER_MS = 1_000;

/** Tracks which connections were accepted over the limit. */
export class ConnectionLimit {
  private readonly _counted = new Set<Socket>();
  private readonly _overLimit = new WeakSet<object>();

  constructor(private readonly _limit: number) {}

  /** Starts counting the connections of a server. */
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

  /** Whether a connection was accepted when the limit had been reached. */
  public isOverLimit(socket: object): boolean {
    return this._overLimit.has(socket);
  }

  /** Creates the error for a request on a connection over the limit. */
  public createRefusal(): ServiceError {
    return new ServiceError(
      ErrorKind.Overloaded,
      `all ${this._limit} connections of this node are in use`,
      {
        remedy: 'use another address, or try again after the time in Retry-After',
        notRun: NotRun.True,
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
}
