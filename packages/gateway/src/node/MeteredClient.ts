/**
 * The client of one connection of a pool. It meters the answers on its connection, and names the
 * connection to each exchange that it carries, which undici does not: a connection may be retired
 * while an exchange waits for it.
 */
import { type buildConnector, Client, type Dispatcher } from 'undici';
import { type AnswerMeter, meterAnswers } from './AnswerMeter.js';

/** A connection, on the own link or through another node, with the meter of its answers. */
export interface MeteredConnection {
  readonly socket: NonNullable<Parameters<buildConnector.Callback>[1]>;
  readonly meter: AnswerMeter;
}

/** The options of a dispatch, with the exchange that is dispatched. */
export interface MeteredDispatch extends Dispatcher.DispatchOptions {
  readonly exchange: {
    /** Called with the connection that will carry the exchange, once it is open. */
    assign(connection: () => MeteredConnection | undefined): void;
  };
}

export interface MeteredClientOptions extends Client.Options {
  readonly connect: buildConnector.connector;
}

/** Creates the client of one connection. */
export function createMeteredClient(origin: URL, options: MeteredClientOptions): Dispatcher {
  let connection: MeteredConnection | undefined;
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) => {
      options.connect(target, (...result) => {
        const [error, socket] = result;
        connection = error === null ? { socket, meter: meterAnswers(socket) } : undefined;
        callback(...result);
      });
    },
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (request, handler) => {
    (request as MeteredDispatch).exchange.assign(() => connection);
    return dispatch(request, handler);
  };
  return client;
}
