/** Buffers the bodies of callers' requests, with a limit for each and one for all together. */
import type { IncomingMessage } from 'node:http';

/** Limit of all bodies that are being received; more could exceed a small host's memory limit. */
const MAX_BUFFERED_BYTES = 96 * 1024 * 1024;

/** Reads the bodies of all requests to one front. */
export class BodyReader {
  private _bufferedBytes = 0;

  /**
   * Returns the body. Returns undefined if it exceeds `limitBytes`, if all bodies together exceed
   * their limit, or if the caller disconnected.
   */
  public async read(
    incoming: IncomingMessage,
    limitBytes: number,
    signal: AbortSignal,
  ): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of incoming as AsyncIterable<Buffer>) {
        size += chunk.length;
        this._bufferedBytes += chunk.length;
        if (size > limitBytes || this._bufferedBytes > MAX_BUFFERED_BYTES) {
          return undefined;
        }
        chunks.push(chunk);
      }
    } catch {
      // The caller disconnected before the body was complete; nothing has been forwarded.
      return undefined;
    } finally {
      this._bufferedBytes -= size;
    }
    return signal.aborted ? undefined : Buffer.concat(chunks);
  }
}
