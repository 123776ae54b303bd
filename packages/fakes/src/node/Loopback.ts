/** Starts and stops the servers of tests on free ports of the loopback interface. */
import type { Server } from 'node:net';

const HOST = '127.0.0.1';

/** Listens on a free loopback port and returns it. */
export function listenOnLoopback(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => {
      const bound = server.address();
      resolve(typeof bound === 'object' && bound !== null ? bound.port : 0);
    });
  });
}

/** Closes a server; resolves once its connections have ended. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
