/** Servers of tests on a free port of this host. */
import type { Server } from 'node:net';

const HOST = '127.0.0.1';

/** Listens on loopback and returns the port. */
export function listenOnLoopback(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => {
      const bound = server.address();
      resolve(typeof bound === 'object' && bound !== null ? bound.port : 0);
    });
  });
}

/** Closes a server whose connections have ended. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
