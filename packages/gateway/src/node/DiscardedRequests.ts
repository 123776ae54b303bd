/**
 * Requests that node:http has read from a connection that is not served any more. It parses all of
 * what it has read, up to some 1,000 requests, and keeps them until the connection is closed, at the
 * end of a turn of the event loop in which other connections are read, too: 100 connections with
 * requests sent ahead took 150 MB. Such requests share one object each.
 */
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';

const heldSockets = new WeakSet<Socket>();

/** Marks a connection whose further requests are discarded. */
export function discardRequests(socket: Socket): void {
  heldSockets.add(socket);
}

/** Whether further requests of a connection are discarded. */
export function isDiscarding(socket: Socket): boolean {
  return socket.destroyed || heldSockets.has(socket);
}

class DiscardedMessage extends IncomingMessage {
  /** Keeps no body. */
  public override push(): boolean {
    return true;
  }

  public override destroy(): this {
    return this;
  }

  /** Keeps no headers; called by node:http. */
  public _addHeaderLines(): void {
    this.rawHeaders = [];
  }
}

class DiscardedResponse extends ServerResponse {
  public override on(): this {
    return this;
  }

  public override assignSocket(): void {
    // Never gets the connection, as nothing is answered.
  }

  /** Called by node:http, since the shared request has no host. */
  public override writeHead(): this {
    return this;
  }

  public override end(): this {
    return this;
  }
}

const discardedMessage = new DiscardedMessage(new Socket());
const discardedResponse = new DiscardedResponse(discardedMessage);

/** Creates requests of callers; the shared one on a connection that is not served any more. */
export const CallerMessage: typeof IncomingMessage = new Proxy(IncomingMessage, {
  construct: (_class, [socket]: [Socket]) =>
    isDiscarding(socket) ? discardedMessage : new IncomingMessage(socket),
});

/** Creates answers to requests of callers; the shared one to a request that is discarded. */
export const CallerServerResponse: typeof ServerResponse = new Proxy(ServerResponse, {
  construct: (responseClass, [request, ...rest]: [IncomingMessage]) =>
    request === discardedMessage
      ? discardedResponse
      : Reflect.construct(responseClass, [request, ...rest]),
});
