/**
 * The HTTP client of undici alone, for the bundle of the platform's program. The package's own entry
 * also loads fetch, WebSocket, caches and mocks, which cost a restarted process a third of its start.
 */
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// As the package's own entry does.
Object.assign(Dispatcher.prototype, api);

/** Calls through the dispatcher that the options name. */
export function request(url, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(url);
  return dispatcher.request({ ...options, origin, path: pathname + search });
}

export { Agent, buildConnector, Pool };
