/** Reading of lines of bounded length from a socket. */
import type { Socket } from 'node:net';
import { ByteCollector } from '@tanagerdyke/kernel';

const MAX_LINE_BYTES = 16 * 1024 * 1024;
const LINE_FEED = 0x0a;

/** Yields complete lines until the socket closes, fails or sends a line that is too long. */
export async function* readLines(socket: Socket): AsyncGenerator<string> {
  const pending = new ByteCollector();
  try {
    for await (const chunk of socket as AsyncIterable<Buffer>) {
      let start = 0;
      for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, start)) {
        pending.add(chunk.subarray(start, end));
        yield pending.toBuffer().toString('utf8');
        pending.clear();
        start = end + 1;
      }
      pending.add(chunk.subarray(start));
      if (pending.length > MAX_LINE_BYTES) {
        return;
      }
    }
  } catch {
    // A reset connection is treated like a closed one; its requests time out.
  }
}
