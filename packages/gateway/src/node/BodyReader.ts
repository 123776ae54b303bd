/** Reads the bodies of callers' requests whole, within the bounds of each and of all together. */
import type { IncomingMessage } from 'node:http';

/** Bytes of bodies that are being read at once; more would endanger a small host's memory limit. */
const MAX_READING_BYTES = 96 * 1024 * 1024;

/** The bodies that one front reads. */
export class BodyReader {
  private _readingBytes = 0;

  /** The whole body; nothing when it is too large or the caller left. */
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
        this._readingBytes += chunk.length;
        if (size > limitBytes || this._readingBytes > MAX_READING_BYTES) {
          return undefined;
        }
        chunks.push(chunk);
      }
    } catch {
      // The caller left in the middle of its body; nothing was forwarded.
      return undefined;
    } finally {
      this._readingBytes -= size;
    }
    return signal.aborted ? undefined : Buffer.concat(chunks);
  }
}
