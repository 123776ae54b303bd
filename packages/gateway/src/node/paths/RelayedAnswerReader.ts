/**
 * Reads the heads of the answers on a relayed connection, whose bytes pass unchanged. It relies on
 * one request at a time: the first bytes of the target after bytes of the caller begin an answer, or
 * go on with one that began before the whole request was sent, which does not look like a head.
 */
import type { RawHeaders } from '../../common/Messages.js';

const MAX_HEAD_BYTES = 64 * 1024;
const HEAD_START = Buffer.from('HTTP/1.');
const HEAD_END = Buffer.from('\r\n\r\n');
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})/;
const FIRST_FINAL_STATUS = 200;

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** Finds the final head of one answer after the other. */
export class RelayedAnswerReader {
  /** The head as far as it arrived; `undefined` while none is expected. */
  private _head: Buffer | undefined;

  /** Notes that the caller sent bytes, so that an answer is expected. */
  public expectAnswer(): void {
    this._head ??= Buffer.alloc(0);
  }

  /** Consumes bytes of the target; returns the head of an answer when it is complete. */
  public push(chunk: Buffer): AnswerHead | undefined {
    if (this._head === undefined) {
      return undefined;
    }
    let head: Buffer = Buffer.concat([this._head, chunk]);
    for (let end = head.indexOf(HEAD_END); end !== -1; end = head.indexOf(HEAD_END)) {
      const parsed = parseHead(head.subarray(0, end).toString('latin1'));
      if (parsed === undefined || parsed.status >= FIRST_FINAL_STATUS) {
        this._head = undefined;
        return parsed;
      }
      head = head.subarray(end + HEAD_END.length);
    }
    this._head = isHeadStart(head) && head.length <= MAX_HEAD_BYTES ? head : undefined;
    return undefined;
  }
}

function isHeadStart(bytes: Buffer): boolean {
  const length = Math.min(bytes.length, HEAD_START.length);
  return bytes.subarray(0, length).equals(HEAD_START.subarray(0, length));
}

function parseHead(text: string): AnswerHead | undefined {
  const [statusLine = '', ...lines] = text.split('\r\n');
  const status = STATUS_LINE.exec(statusLine)?.[1];
  if (status === undefined) {
    return undefined;
  }
  const headers = lines.flatMap((line) => {
    const colon = line.indexOf(':');
    return colon === -1 ? [] : [line.slice(0, colon), line.slice(colon + 1).trim()];
  });
  return { status: Number(status), headers };
}
