/** Reading of lines of bounded length from a socket. */
import type { Socket } from 'node:net';

const MAX_LINE_BYTES = 16 * 1024 * 1024;
const LINE_FEED = 0x0a;

/** Yields complete lines until the socket closes, fails or sends a line that is too long. */
export async function* readLines(socket: Socket): AsyncGenerator<string> {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  try {
    for await (const chunk of socket as AsyncIterable<Buffer>) {
      let start = 0;
      for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, start)) {
        pending.push(chunk.subarray(start, end));
        yield Buffer.concat(pending).toString('utf8');
        pending = [];
        pendingBytes = 0;
        start = end + 1;
      }
      pending.push(chunk.subarray(start));
      pendingBytes += chunk.length - start;
      if (pendingBytes > MAX_LINE_BYTES) {
        return;
      }
    }
  } catch {
    // A reset connection is treated like a closed one; its requests time out.
  }
}
