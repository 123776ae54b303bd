/**
 * Which connection of a caller is closed when too many are open.
 *
 * Load pattern: crowds open connections and send nothing, half a request, or do not read, beside
 * ordinary callers that send a request as soon as they are connected, and keep connections for some
 * seconds until the next one.
 */

/** What a connection is used for, in the order in which connections are closed. */
export enum ConnectionUse {
  /** No whole request has arrived. */
  New = 0,
  /** The body of a request arrives. */
  Receiving = 1,
  /** The caller has not read all of an answer. */
  Unread = 2,
  /** Kept open after an answer. */
  Idle = 3,
  /** A request may be running at a target; the connection is never closed. */
  Running = 4,
}

export interface ConnectionState {
  readonly use: ConnectionUse;
  /** When the use began. */
  readonly since: number;
}

/** Returns the connection that is closed, or undefined if none may be. */
export function chooseClosed<T extends ConnectionState>(connections: readonly T[]): T | undefined {
  let chosen: T | undefined;
  for (const each of connections) {
    if (
      each.use !== ConnectionUse.Running &&
      (chosen === undefined ||
        each.use < chosen.use ||
        (each.use === chosen.use && each.since < chosen.since))
    ) {
      chosen = each;
    }
  }
  return chosen;
}
