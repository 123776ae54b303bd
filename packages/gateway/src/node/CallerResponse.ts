/**
 * The answer to a caller. An answer of a target is passed unchanged; an answer of this node says
 * whether the request ran: 503 only when it certainly did not, with the time to come back, and 502
 * or 504 when it may have. A broken answer never looks whole.
 */
import type { ServerResponse } from 'node:http';
import { keepEndToEnd } from '../common/HttpHeaders.js';
import type { RawHeaders } from '../common/Messages.js';

const MS_PER_SECOND = 1_000;
const NO_HEADERS: ReadonlySet<string> = new Set();
const CONTENT_LENGTH: ReadonlySet<string> = new Set(['content-length']);

/** Statuses of this node's own answers. */
export enum OwnStatus {
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  TooLarge = 413,
  HeadersTooLarge = 431,
  Failed = 502,
  Refused = 503,
  TimedOut = 504,
}

/** An answer of this node. */
export interface OwnAnswer {
  readonly status: OwnStatus;
  readonly kind: string;
  /** What the caller can do about it. */
  readonly remedy: string;
  /** When to come back, for requests that did not run. */
  readonly retryAfterMs?: number;
}

/** The answer to one request. */
export class CallerResponse {
  constructor(
    private readonly _response: ServerResponse,
    /** Whether the connection closes after the answer. */
    private readonly _isLast: () => boolean,
  ) {}

  /** Whether the status was sent. */
  public get isBegun(): boolean {
    return this._response.headersSent;
  }

  public get isClosed(): boolean {
    return this._response.destroyed || this._response.writableEnded;
  }

  /** Answers by this node itself. */
  public answer({ kind, remedy, retryAfterMs, status }: OwnAnswer): void {
    if (this.isClosed) {
      return;
    }
    if (this.isBegun) {
      this.break();
      return;
    }
    const body = Buffer.from(JSON.stringify({ kind, remedy }));
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(2));
    }
    this._writeHead(status, headers);
    this._response.end(body);
  }

  /** Passes a whole answer of a target. */
  public passWhole(status: number, headers: RawHeaders, body: Buffer, isBodyless: boolean): void {
    if (this.isClosed) {
      return;
    }
    const kept = keepEndToEnd(headers, isBodyless ? NO_HEADERS : CONTENT_LENGTH);
    if (!isBodyless) {
      kept.push('Content-Length', String(body.length));
    }
    this._writeHead(status, kept);
    this._response.end(body);
  }

  /** Begins to pass an answer of a target. */
  public begin(status: number, headers: RawHeaders): void {
    this._writeHead(status, keepEndToEnd(headers, NO_HEADERS));
    this._response.flushHeaders();
  }

  /** Passes bytes; `false` when the caller doesn't keep up. */
  public write(bytes: Buffer): boolean {
    return this.isClosed || this._response.write(bytes);
  }

  public onDrain(listener: () => void): void {
    this._response.once('drain', listener);
  }

  public end(): void {
    if (!this.isClosed) {
      this._response.end();
    }
  }

  /** Ends a begun answer so that it doesn't look complete. */
  public break(): void {
    this._response.destroy();
  }

  private _writeHead(status: number, headers: string[]): void {
    this._response.sendDate = false;
    if (this._isLast()) {
      headers.push('Connection', 'close');
    }
    this._response.writeHead(status, headers);
  }
}
