/** Connections on the own link only, for tests. Not shipped. */
import { type Clock, runInBackground } from '@tanagerdyke/kernel';
import type { UpstreamOptions } from '../Upstream.js';
import { detectResets, openSocket } from './OpenSocket.js';

const CONNECT_TIMEOUT_MS = 300;

/** Options of an upstream that opens connections directly and watches no request. */
export function directConnections(clock: Clock): UpstreamOptions {
  const { signal } = new AbortController();
  return {
    connect: ({ hostname, port }, callback) => {
      const address = `${hostname}:${port}`;
      runInBackground('target.connect', async () => {
        const opened = await openSocket(clock, { address, timeoutMs: CONNECT_TIMEOUT_MS, signal });
        if (opened.isErr) {
          callback(new Error(opened.error), null);
        } else {
          detectResets(opened.value);
          callback(null, opened.value);
        }
      });
    },
    watch: () => ({ recordBytes: () => undefined, dispose: () => undefined }),
  };
}
