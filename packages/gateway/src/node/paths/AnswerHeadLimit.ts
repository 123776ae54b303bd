/**
 * Limits the head of an answer, the informational answers before it included. undici limits only the
 * header fields, so a status line without an end would be read until the deadline.
 */
import type { Duplex } from 'node:stream';
import { buildConnector } from 'undici';

const MAX_HEAD_BYTES = 64 * 1024;
const HEAD_END = Buffer.from('\r\n\r\n');
/** Part of the request line, which undici writes as text at the start of each request. */
const REQUEST_LINE_END = ' HTTP/1.1\r\n';
const INFORMATIONAL = /^HTTP\/1\.[01] 1\d\d/;
const INFORMATIONAL_LENGTH = 12;

/** Destroys the socket when the head of an answer on it is too long. */
export function limitAnswerHead(socket: Duplex): void {
  const limit = new HeadReader();
  const read = socket.read.bind(socket);
  const write = socket.write.bind(socket) as (...values: unknown[]) => boolean;
  socket.read = (size?: number): unknown => {
    const chunk: unknown = read(size);
    if (chunk instanceof Buffer && !limit.accepts(chunk)) {
      socket.destroy(new Error(`the head of the answer exceeds ${MAX_HEAD_BYTES} bytes`));
      return null;
    }
    return chunk;
  };
  socket.write = (...values: unknown[]): boolean => {
    const [chunk] = values;
    if (typeof chunk === 'string' && chunk.includes(REQUEST_LINE_END)) {
      limit.expectHead();
    }
    return write(...values);
  };
}

/** A connector that limits the heads of the answers on its connections. */
export function limitingConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        limitAnswerHead(socket);
      }
      callback(...result);
    });
  };
}

/** Finds the end of the head of one answer after the other. */
class HeadReader {
  /** The head as far as it arrived; `undefined` while none is expected. */
  private _head: Buffer | undefined;
  private _informationalBytes = 0;

  public expectHead(): void {
    this._head = Buffer.alloc(0);
    this._informationalBytes = 0;
  }

  /** Consumes bytes; returns false if the head is too long. */
  public accepts(chunk: Buffer): boolean {
    if (this._head === undefined) {
      return true;
    }
    let head: Buffer = Buffer.concat([this._head, chunk]);
    for (let end = head.indexOf(HEAD_END); end !== -1; end = head.indexOf(HEAD_END)) {
      if (!INFORMATIONAL.test(head.subarray(0, INFORMATIONAL_LENGTH).toString('latin1'))) {
        this._head = undefined;
        return true;
      }
      this._informationalBytes += end + HEAD_END.length;
      head = head.subarray(end + HEAD_END.length);
    }
    this._head = head;
    return this._informationalBytes + head.length <= MAX_HEAD_BYTES;
  }
}
