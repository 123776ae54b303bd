/** How long adapters try to connect. Without a limit of its own a call waits behind a dead host. */

/** The store is some ms away; under its shortest call limit of 800 ms, so that a retry may connect anew. */
export const STORE_CONNECT_TIMEOUT_MS = 700;
/** Within the 400 ms of one call, since a prompt waits for its reservations. */
export const RESERVATION_CONNECT_TIMEOUT_MS = 400;
