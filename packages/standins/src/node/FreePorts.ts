/**
 * Finds unused loopback ports. They lie below the ephemeral range: an outgoing connection could
 * otherwise be given such a port before the process that it is meant for listens on it.
 */
import { createServer, type Server } from 'node:net';
import { SystemRandom } from '@tanagerdyke/kernel';

const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const MAX_ATTEMPTS = 10_000;

/** Listens on `count` different ports, then closes and returns them; fewer if attempts run out. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const random = new SystemRandom();
  const servers = new Map<number, Server>();
  for (let attempts = 0; servers.size < count && attempts < MAX_ATTEMPTS; attempts++) {
    const port = FIRST_PORT + random.integer(PORT_COUNT);
    const server = servers.has(port) ? undefined : await tryToListen(port);
    if (server !== undefined) {
      servers.set(port, server);
    }
  }
  await Promise.all([...servers.values()].map(close));
  return [...servers.keys()];
}

/** Resolves with the listening server, or with `undefined` when the port is in use. */
function tryToListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
