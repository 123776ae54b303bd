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
import { pauseReading } from './CallerConnections.js';

const FIRST_SEGMENT_BYTES = 16 * 1024;
const SEGMENT_BYTES = 64 * 1024;
/** First segment of a body of unknown length. */
const MIN_SEGMENT_BYTES = 1_024;
/** Released segments that are kept, so that they need not be collected as garbage. */
const MAX_SPARE_SEGMENTS = 64;
/** The slowest sender that is waited for; mobile links are faster, and pauses are shorter. */
const BODY_PROGRESS: ProgressLimits = { graceMs: 3_000, bytesPerSecond: 4_096 };
/** Pieces that a body may have, and bytes for each further one; ordinary chunks are larger. */
const MAX_PIECES = 1_024;
const BYTES_PER_PIECE = 16;
/**
 * Rate at which the large bodies of all callers are read, and how much is read at once. Ordinary
 * requests would wait for processor time behind a crowd of large bodies.
 */
const LARGE_BYTES_PER_MS = 64_000;
const LARGE_BURST_BYTES = 4 * 1024 * 1024;
const PACE_INTERVAL_MS = 5;
/** Bodies that cost no more than this are never paced. */
const PACED_BYTES = 256 * 1024;
/** Processor time of a piece, in bytes; it takes some 3 µs. */
const PIECE_COST_BYTES = 1_024;
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
  /** The request was answered before all of it had arrived. */
  Unneeded = 'unneeded',
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
  /** Large bodies that are not read until it is their turn. */
  private readonly _paused: BodyReception[] = [];
  private _burstBytes = LARGE_BURST_BYTES;
  private _pacedAt: number;
  private _isPacing = false;

  constructor(private readonly _options: BodyReaderOptions) {
    this._pacedAt = _options.clock.now();
  }

  /**
   * Begins to receive a body; must be called before the first piece can have arrived.
   */
  public open(
    incoming: IncomingMessage,
    holding: CallerHolding,
    connection: BodyConnection,
  ): BodyReception {
    const reception = new BodyReception(incoming, {
      ...this._options,
      holding,
      connection,
      onLargePiece: (bytes) => {
        this._pace(reception, bytes);
      },
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

  /** Lets a large body wait if large bodies arrive faster than they are to be read. */
  private _pace(reception: BodyReception, bytes: number): void {
    this._refill();
    this._burstBytes -= bytes;
    if (this._burstBytes < 0 && !reception.isPaused) {
      reception.pause();
      this._paused.push(reception);
      this._resumeLater();
    }
  }

  private _refill(): void {
    const now = this._options.clock.now();
    const gained = (now - this._pacedAt) * LARGE_BYTES_PER_MS;
    this._pacedAt = now;
    this._burstBytes = Math.min(LARGE_BURST_BYTES, this._burstBytes + gained);
  }

  private _resumeLater(): void {
    if (this._isPacing) {
      return;
    }
    this._isPacing = true;
    this._options.clock.schedule(PACE_INTERVAL_MS, () => {
      this._isPacing = false;
      this._refill();
      const count = Math.ceil(this._burstBytes / SEGMENT_BYTES);
      for (const reception of this._paused.splice(0, Math.max(0, count))) {
        reception.resume();
      }
      if (this._paused.length > 0) {
        this._resumeLater();
      }
    });
  }
}

/** The connection on which a body arrives. */
export interface BodyConnection {
  /** Closes it, as the rest of the body is not worth waiting for. */
  close(reason: string): void;
  /** Stops reading it, and closes it after a while. */
  hold(reason: string): void;
}

interface BodyReceptionOptions extends BodyReaderOptions {
  readonly holding: CallerHolding;
  readonly connection: BodyConnection;
  /** Called with the cost of a piece of a large body. */
  readonly onLargePiece: (bytes: number) => void;
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
  private _isPaused = false;
  /** Whether the connection is not read any more. */
  private _isHeld = false;
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
    this.fail(BodyFailure.Unneeded);
    this._releaseSegments();
    if (!this._isComplete && !this._incoming.destroyed) {
      const { clock, connection } = this._options;
      const timer = clock.schedule(MAX_DROP_MS, () => {
        if (!this._isHeld) {
          connection.close(UNNEEDED_BODY);
        }
      });
      await this._closed;
      timer.dispose();
    }
  }

  public get isPaused(): boolean {
    return this._isPaused;
  }

  /** Stops reading the connection. */
  public pause(): void {
    this._isPaused = true;
    pauseReading(this._incoming.socket);
  }

  public resume(): void {
    this._isPaused = false;
    if (!this._isHeld) {
      this._incoming.socket.resume();
    }
  }

  public demandProgress(elapsedMs: number): void {
    const bytes = this._size + this._droppedBytes;
    if (
      this._isComplete ||
      this._isPaused ||
      this._isHeld ||
      this._progress.advance(elapsedMs, bytes)
    ) {
      return;
    }
    if (this._isDropping) {
      this._options.connection.close(UNNEEDED_BODY);
    } else {
      this.fail(BodyFailure.TooSlow);
    }
  }

  private _receive(piece: Buffer): void {
    const { connection, onLargePiece } = this._options;
    this._pieces++;
    if (this._isHeld || this._isPaused) {
      pauseReading(this._incoming.socket);
    }
    const received = this._size + this._droppedBytes + piece.length;
    if (this._pieces > MAX_PIECES + received / BYTES_PER_PIECE) {
      if (!this._isHeld) {
        this._isHeld = true;
        this.fail(BodyFailure.TooManyPieces);
        connection.hold(BodyFailure.TooManyPieces);
      }
      return;
    }
    const cost = piece.length + PIECE_COST_BYTES;
    if (received + this._pieces * PIECE_COST_BYTES > PACED_BYTES) {
      onLargePiece(cost);
    }
    if (this._isDropping || this._failure !== undefined) {
      this._droppedBytes += piece.length;
      if (this._droppedBytes > MAX_DROPPED_BYTES) {
        connection.close(UNNEEDED_BODY);
      }
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
