/** The HTTP server of the stand-ins. */
import { createServer, type Server } from 'node:http';
import { serve } from '@hono/node-server';
import type { Hono } from 'hono';

/** Listens on a loopback port; rejects when the port is in use. */
export function listenStandIn(app: Hono, port: number): Promise<Server> {
  return new Promise((resolve, reject) => {
    const created = serve({ fetch: app.fetch, hostname: '127.0.0.1', port, createServer }, () => {
      resolve(created as Server);
    });
    created.once('error', reject);
  });
}
