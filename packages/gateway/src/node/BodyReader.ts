/**
 * Receives the bodies of callers' requests. Pieces are merged as they arrive into segments of
 * bounded waste, since an object for each piece costs some 450 bytes. Every segment is counted in the
 * account of the callers' memory, and bodies that arrive too slowly or in too many pieces are given
 * up. What remains of a body that is not needed is read and dropped within bounds, so that the
 * caller can read the answer.
 */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { CallerHolding, CallerMemory } from '../common/callers/CallerMemory.js';
import { ProgressDemand, type ProgressLimits } from '../common/callers/ProgressDemand.js';
import { findHeader } from '../common/HttpHeaders.js';

const FIRST_SEGMENT_BYTES = 16 * 1024;
const SEGMENT_BYTES = 64 * 1024;
/** First segment of a body of unknown length. */
const MIN_SEGMENT_BYTES = 1_024;
/** Released segments that are kept, so that they need not be collected as garbage. */
const MAX_SPARE_SEGMENTS = 64;
/** The slowest sender that is waited for; mobile links are faster, and pauses are shorter. */
const BODY_PROGRESS: ProgressLimits = { graceMs: 3_000, bytesPerSecond: 4_096 };
/** Pieces that a body may have, and bytes for each further one; parsing a piece takes about 1 µs. */
const MAX_PIECES = 4_096;
const BYTES_PER_PIECE = 32;
/** How long, and how many bytes, the rest of a body is read that is not needed. */
const MAX_DROP_MS = 5_000;
const MAX_DROPPED_BYTES = 4 * 1024 * 1024;

const UNNEEDED_BODY = 'unneeded-body';

/** Why there is no body. */
export enum BodyFailure {
  TooLarge = 'too-large',
  /** It would need more memory than is left. */
  NoMemory = 'no-memory',
  TooSlow = 'too-slow',
  TooManyPieces = 'too-many-pieces',
  /** The deadline of the request passed. */
  Overdue = 'overdue',
  Disconnected = 'disconnected',
}

/** What the reader needs besides the bytes. */
export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly memory: CallerMemory;
}

/** Receives the bodies of all requests to one front. */
export class BodyReader {
  private readonly _receptions = new Set<BodyReception>();
  private readonly _spare: Buffer[] = [];

  constructor(private readonly _options: BodyReaderOptions) {}

  /**
   * Begins to receive a body; must be called before the first piece can have arrived.
   *
   * @param closeConnection called if the rest of the body is not worth waiting for
   */
  public open(
    incoming: IncomingMessage,
    holding: CallerHolding,
    closeConnection: (reason: string) => void,
  ): BodyReception {
    const reception = new BodyReception(incoming, {
      ...this._options,
      holding,
      closeConnection,
      spareSegments: this._spare,
      onClose: () => this._receptions.delete(reception),
    });
    this._receptions.add(reception);
    return reception;
  }

  /** Gives up bodies that are too slow; called periodically with the time since the last call. */
  public demandProgress(elapsedMs: number): void {
    for (const reception of [...this._receptions]) {
      reception.demandProgress(elapsedMs);
    }
  }
}

interface BodyReceptionOptions extends BodyReaderOptions {
  readonly holding: CallerHolding;
  readonly closeConnection: (reason: string) => void;
  readonly spareSegments: Buffer[];
  readonly onClose: () => void;
}

/** One body. */
export class BodyReception {
  /** Size that the caller states; undefined if it sends chunks. */
  public readonly statedBytes: number | undefined;
  private readonly _progress = new ProgressDemand(BODY_PROGRESS);
  private _segments: Buffer[] = [];
  /** Bytes in the last segment. */
  private _filled = 0;
  private _size = 0;
  private _pieces = 0;
  private _countedBytes = 0;
  private _limitBytes = Number.POSITIVE_INFINITY;
  private _isComplete = false;
  private _isDropping = false;
  private _droppedBytes = 0;
  private _failure: BodyFailure | undefined;
  private _onSettled: () => void = () => undefined;
  private readonly _settled: Promise<void>;
  private readonly _closed: Promise<void>;

  constructor(
    private readonly _incoming: IncomingMessage,
    private readonly _options: BodyReceptionOptions,
  ) {
    const length = findHeader(_incoming.rawHeaders, 'content-length');
    const isChunked = findHeader(_incoming.rawHeaders, 'transfer-encoding') !== undefined;
    this.statedBytes = isChunked ? undefined : Number(length ?? 0);
    this._settled = new Promise((resolve) => {
      this._onSettled = resolve;
    });
    this._closed = new Promise((resolve) => {
      const close = (): void => {
        _options.onClose();
        resolve();
      };
      _incoming.once('close', () => {
        this.fail(BodyFailure.Disconnected);
        close();
      });
      _incoming.once('end', () => {
        this._isComplete = true;
        close();
        this._onSettled();
      });
    });
    _incoming.on('error', () => undefined);
    _incoming.on('data', (piece: Buffer) => {
      this._receive(piece);
    });
  }

  /** Whether all of the body has arrived, needed or not. */
  public get isComplete(): boolean {
    return this._isComplete;
  }

  /** Returns the body once it is complete, or why there is none. */
  public async read(
    limitBytes: number,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<Result<Buffer, BodyFailure>> {
    this._limitBytes = limitBytes;
    if (Math.max(this._size, this.statedBytes ?? 0) > limitBytes) {
      this.fail(BodyFailure.TooLarge);
    }
    const { clock } = this._options;
    const timer = clock.schedule(deadlineAt - clock.now(), () => {
      this.fail(BodyFailure.Overdue);
    });
    await this._settled;
    timer.dispose();
    if (signal.aborted) {
      this.fail(BodyFailure.Disconnected);
    }
    const body = this._failure === undefined ? this._assemble() : undefined;
    return body === undefined ? Result.err(this._failure ?? BodyFailure.NoMemory) : Result.ok(body);
  }

  /** Gives the body up and releases its memory, unless all of it has arrived. */
  public fail(failure: BodyFailure): void {
    if (!this._isComplete && this._failure === undefined) {
      this._failure = failure;
      this._releaseSegments();
      this._onSettled();
    }
  }

  /** Drops what is left of the body; resolves when it has ended or is too long to be waited for. */
  public async drop(): Promise<void> {
    this._isDropping = true;
    this._releaseSegments();
    if (!this._isComplete && !this._incoming.destroyed) {
      this._incoming.resume();
      const { clock, closeConnection } = this._options;
      const timer = clock.schedule(MAX_DROP_MS, () => {
        closeConnection(UNNEEDED_BODY);
      });
      await this._closed;
      timer.dispose();
    }
  }

  public demandProgress(elapsedMs: number): void {
    if (!this._isComplete && !this._progress.advance(elapsedMs, this._size + this._droppedBytes)) {
      if (this._isDropping) {
        this._options.closeConnection(UNNEEDED_BODY);
      } else {
        this.fail(BodyFailure.TooSlow);
      }
    }
  }

  private _receive(piece: Buffer): void {
    this._pieces++;
    const received = this._size + this._droppedBytes + piece.length;
    const hasTooManyPieces = this._pieces > MAX_PIECES + received / BYTES_PER_PIECE;
    if (this._isDropping || this._failure !== undefined) {
      this._droppedBytes += piece.length;
      if (hasTooManyPieces || this._droppedBytes > MAX_DROPPED_BYTES) {
        this._options.closeConnection(UNNEEDED_BODY);
      }
    } else if (hasTooManyPieces) {
      this.fail(BodyFailure.TooManyPieces);
    } else if (received > this._limitBytes) {
      this.fail(BodyFailure.TooLarge);
    } else {
      this._append(piece);
    }
  }

  private _append(piece: Buffer): void {
    let at = 0;
    while (at < piece.length) {
      const last = this._segments.at(-1);
      if (last === undefined || this._filled === last.length) {
        if (!this._addSegment(piece.length - at)) {
          this.fail(BodyFailure.NoMemory);
          return;
        }
        continue;
      }
      const copied = piece.copy(last, this._filled, at);
      at += copied;
      this._filled += copied;
      this._size += copied;
    }
  }

  /** Adds a segment for at least some of the bytes at hand. Returns false if there is no memory. */
  private _addSegment(atHand: number): boolean {
    const isFirst = this._segments.length === 0;
    const expected =
      this.statedBytes === undefined
        ? Math.max(atHand, isFirst ? MIN_SEGMENT_BYTES : SEGMENT_BYTES)
        : Math.max(atHand, this.statedBytes - this._size);
    const bytes = Math.min(isFirst ? FIRST_SEGMENT_BYTES : SEGMENT_BYTES, expected);
    if (!this._count(bytes)) {
      return false;
    }
    const spare = bytes === SEGMENT_BYTES ? this._options.spareSegments.pop() : undefined;
    this._segments.push(spare ?? Buffer.allocUnsafeSlow(bytes));
    this._filled = 0;
    return true;
  }

  /** The body in one piece, which stays counted until the request ends. */
  private _assemble(): Buffer | undefined {
    const [only] = this._segments;
    if (this._segments.length <= 1) {
      const body = only?.subarray(0, this._filled) ?? Buffer.alloc(0);
      this._segments = [];
      return body;
    }
    if (!this._count(this._size)) {
      this._failure = BodyFailure.NoMemory;
      this._releaseSegments();
      return undefined;
    }
    const body = Buffer.allocUnsafeSlow(this._size);
    let at = 0;
    for (const segment of this._segments) {
      at += segment.copy(body, at, 0, Math.min(segment.length, this._size - at));
    }
    this._countedBytes -= this._size;
    this._releaseSegments();
    return body;
  }

  private _count(bytes: number): boolean {
    const { clock, holding, memory } = this._options;
    const decision = memory.grow(holding, bytes, clock.now());
    if (!decision.isAccepted) {
      return false;
    }
    this._countedBytes += bytes;
    for (const { close } of decision.evicted) {
      close();
    }
    return true;
  }

  private _releaseSegments(): void {
    const { holding, memory, spareSegments } = this._options;
    for (const segment of this._segments) {
      if (segment.length === SEGMENT_BYTES && spareSegments.length < MAX_SPARE_SEGMENTS) {
        spareSegments.push(segment);
      }
    }
    this._segments = [];
    memory.shrink(holding, this._countedBytes);
    this._countedBytes = 0;
  }
}
