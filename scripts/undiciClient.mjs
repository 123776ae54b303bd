/**
 * Replaces the entry of undici in the bundle by the HTTP client alone. The entry also loads fetch,
 * WebSocket, caches and mocks, which take a third of the start-up time of a restarted process.
 */
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// The entry of the package adds the API methods in the same way.
Object.assign(Dispatcher.prototype, api);

/** Sends a request through the dispatcher in the options. */
export function request(url, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(url);
  return dispatcher.request({ ...options, origin, path: pathname + search });
}

export { Agent, buildConnector, Client, Pool };
