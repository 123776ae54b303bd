/** Connect timeouts of the adapters. Without them, calls would queue behind a dead host. */

/**
 * Connecting to the store takes some ms. The limit is below the shortest timeout of a call to it,
 * 800 ms, so that a retry can open a new connection.
 */
export const STORE_CONNECT_TIMEOUT_MS = 700;
/** At most the 400 ms of one reservation call, since a prompt waits for its reservations. */
export const RESERVATION_CONNECT_TIMEOUT_MS = 400;
