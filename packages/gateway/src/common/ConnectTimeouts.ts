/** Connect timeout of the adapters. Without it, calls would queue behind a dead host. */

/**
 * Connecting to the store takes some ms. The limit is below the shortest timeout of a call to it,
 * 800 ms, so that a retry can open a new connection.
 */
export const STORE_CONNECT_TIMEOUT_MS = 700;
