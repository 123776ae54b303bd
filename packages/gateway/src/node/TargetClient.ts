/**
 * The client of one connection of a pool. It names the connection to each exchange that it carries,
 * which undici does not: a connection may be retired while an exchange waits for it.
 */
import { type buildConnector, Client, type Dispatcher } from 'undici';

/** A connection to a target, on the own link or through another node. */
export type TargetConnection = NonNullable<Parameters<buildConnector.Callback>[1]>;

/** The options of a dispatch, with the exchange that is dispatched. */
export interface TargetDispatch extends Dispatcher.DispatchOptions {
  readonly exchange: {
    /** Called with the connection that will carry the exchange, once it is open. */
    assign(connection: () => TargetConnection | undefined): void;
  };
}

/** Creates the client of one connection to a target. */
export function createTargetClient(
  origin: URL,
  options: Client.Options & { readonly connect: buildConnector.connector },
): Dispatcher {
  let connection: TargetConnection | undefined;
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) => {
      options.connect(target, (...result) => {
        connection = result[1] ?? undefined;
        callback(...result);
      });
    },
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (request, handler) => {
    (request as TargetDispatch).exchange.assign(() => connection);
    return dispatch(request, handler);
  };
  return client;
}
