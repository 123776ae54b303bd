/**
 * The answer to a caller. A target's answer is forwarded unchanged. The status of an answer by this
 * node says whether the request ran: 503, with Retry-After, only if it certainly did not, and 502
 * or 504 if it may have. An incomplete answer never looks complete.
 */
import { runInBackground } from '@tanagerdyke/kernel';
import type { ServerResponse } from 'node:http';
import { findHeader, keepEndToEnd } from '../common/HttpHeaders.js';
import type { RawHeaders } from '../common/Messages.js';

const MS_PER_SECOND = 1_000;
const NO_HEADERS: ReadonlySet<string> = new Set();
const CONTENT_LENGTH: ReadonlySet<string> = new Set(['content-length']);
/** A larger answer is written in pieces of this size, so that it is seen how fast it is read. */
const PIECE_BYTES = 64 * 1024;

/** HTTP statuses of the answers that the gateway itself generates. */
export enum GatewayStatus {
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  TooLarge = 413,
  TooMany = 429,
  HeadersTooLarge = 431,
  Failed = 502,
  Refused = 503,
  TimedOut = 504,
}

/** An answer that the gateway itself generates. */
export interface GatewayAnswer {
  readonly status: GatewayStatus;
  readonly kind: string;
  /** What the caller can do about it. */
  readonly remedy: string;
  /** Time after which to retry, for requests that did not run. */
  readonly retryAfterMs?: number;
}

/** The answer to one request. */
export class CallerResponse {
  private _streamStatus: number | undefined;
  private _mediaType: string | undefined;
  private _isAnswered = false;
  /** Bytes that the stream may still have; undefined if its length is not stated. */
  private _remainingBytes: number | undefined;

  constructor(
    private readonly _response: ServerResponse,
    /** Whether to close the connection after the answer. */
    private readonly _closesConnection: () => boolean,
    /** Called with the size of a buffered answer, which is held until the caller has read it. */
    private readonly _onBuffered: (bytes: number) => void = () => undefined,
  ) {}

  /** Whether the status and headers have been sent. */
  public get isBegun(): boolean {
    return this._response.headersSent;
  }

  /** Whether this node has answered by itself; the request must not be forwarded any more. */
  public get isAnswered(): boolean {
    return this._isAnswered;
  }

  public get isClosed(): boolean {
    return this._response.destroyed || this._response.writableEnded;
  }

  /** Sends an answer of the gateway; aborts instead if another answer has begun. */
  public sendGatewayAnswer(answer: GatewayAnswer, closesConnection = false): void {
    if (this._writeGatewayAnswer(answer, closesConnection)) {
      this._response.end();
    }
  }

  /**
   * Sends an answer of the gateway before the body of the request has arrived, and closes the
   * connection once `isDropped` resolves. A connection that is closed with unread bytes is reset, and
   * the caller may lose the answer.
   */
  public sendEarly(answer: GatewayAnswer, isDropped: Promise<void>): void {
    if (this._writeGatewayAnswer(answer, true)) {
      runInBackground('answer.drop', async () => {
        await isDropped;
        this._response.end();
      });
    }
  }

  /** Sends an answer of the gateway on a connection that others close. */
  public sendLast(answer: GatewayAnswer): void {
    this._writeGatewayAnswer(answer, true);
  }

  private _writeGatewayAnswer(
    { kind, remedy, retryAfterMs, status }: GatewayAnswer,
    closesConnection: boolean,
  ): boolean {
    if (this.isClosed || this._isAnswered) {
      return false;
    }
    if (this.isBegun) {
      this.abort();
      return false;
    }
    this._isAnswered = true;
    const body = Buffer.from(JSON.stringify({ kind, remedy }));
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(2));
    }
    this._writeHead(status, headers, closesConnection);
    this._response.write(body);
    return true;
  }

  /** Sends a buffered answer of a target. */
  public sendBuffered(
    status: number,
    headers: RawHeaders,
    body: Buffer,
    isBodyless: boolean,
  ): void {
    if (this.isClosed) {
      return;
    }
    const kept = keepEndToEnd(headers, isBodyless ? NO_HEADERS : CONTENT_LENGTH);
    if (!isBodyless) {
      kept.push('Content-Length', String(body.length));
    }
    this._writeHead(status, kept);
    this._onBuffered(body.length);
    runInBackground('answer.write', () => this._writePieces(body));
  }

  private async _writePieces(body: Buffer): Promise<void> {
    let at = 0;
    while (body.length - at > PIECE_BYTES) {
      const isTaken = this._response.write(body.subarray(at, at + PIECE_BYTES));
      at += PIECE_BYTES;
      if (!isTaken) {
        await new Promise<void>((resolve) => {
          this._response.once('drain', resolve);
        });
      }
    }
    this._response.end(body.subarray(at));
  }

  /** Sends the status and headers of a streamed answer of a target. */
  public beginStream(status: number, headers: RawHeaders): void {
    this._streamStatus = status;
    this._mediaType = mediaTypeOf(headers);
    const length = findHeader(headers, 'content-length');
    this._remainingBytes = length === undefined ? undefined : Number(length);
    this._writeHead(status, keepEndToEnd(headers, NO_HEADERS));
    this._response.flushHeaders();
  }

  /** Whether an answer with this status and these headers may continue the stream that has begun. */
  public isContinuedBy(status: number, headers: RawHeaders): boolean {
    return status === this._streamStatus && mediaTypeOf(headers) === this._mediaType;
  }

  /**
   * Sends a part of the body; returns `false` if the caller reads too slowly. Aborts if the stated
   * length is exceeded, since the caller would take the rest for another answer.
   */
  public write(bytes: Buffer): boolean {
    if (this._remainingBytes !== undefined) {
      this._remainingBytes -= bytes.length;
      if (this._remainingBytes < 0) {
        this.abort();
      }
    }
    return this.isClosed || this._response.write(bytes);
  }

  public onDrain(listener: () => void): void {
    this._response.once('drain', listener);
  }

  /** Ends the body. Aborts if it is shorter than the stated length. */
  public end(): void {
    if ((this._remainingBytes ?? 0) > 0) {
      this.abort();
    }
    if (!this.isClosed) {
      this._response.end();
    }
  }

  /** Closes the connection, so that an answer that has begun doesn't look complete. */
  public abort(): void {
    this._response.destroy();
  }

  private _writeHead(status: number, headers: string[], closesConnection = false): void {
    this._response.sendDate = false;
    if (closesConnection || this._closesConnection()) {
      headers.push('Connection', 'close');
    }
    this._response.writeHead(status, headers);
  }
}

/** The type of a body without its parameters. */
function mediaTypeOf(headers: RawHeaders): string | undefined {
  return findHeader(headers, 'content-type')?.split(';', 1)[0]?.trim().toLowerCase();
}
