/**
 * Bounds what an answer costs beside its payload. The bytes of its head, of the framing of its chunks
 * and of its trailers have a limit, counted on what has been parsed. The pieces in which its payload
 * is parsed have none, as a sound answer may have any number of them at any rate: they are parsed as
 * the turns of the event loop allow it.
 */
import type { Duplex } from 'node:stream';
import { ReadTurns } from './ReadTurns.js';

/** Bytes that are no payload, and those for each byte of payload; in chunks of one byte, five. */
const MAX_OVERHEAD_BYTES = 32 * 1024;
const OVERHEAD_PER_BYTE = 8;
/** Limits of a read, whatever its pieces are expected to be. */
const MIN_READ_BYTES = 512;
const MAX_READ_BYTES = 64 * 1024;
/** Expected bytes of a piece when nothing of an answer is known. */
const UNKNOWN_PIECE_BYTES = 64;

/** The event loop is one for all connections of the process. */
const turns = new ReadTurns(setImmediate);

/** Ends an answer with too much that is no payload; says nothing on whether its sender has ended. */
export class ExcessiveAnswer extends Error {}

/** Counts the answers on one connection, one after the other. */
export class AnswerMeter {
  private _received = 0;
  private _payload = 0;
  private _pieces = 0;
  /** Pieces of the read that is being parsed. */
  private _newPieces = 0;

  /** Begins to count the answer to the next request. */
  public begin(): void {
    this._received = 0;
    this._payload = 0;
    this._pieces = 0;
  }

  /** Counts bytes that were read; they are negative if the parser puts them back. */
  public receive(bytes: number): void {
    this._received += bytes;
  }

  /** Counts a piece of payload. */
  public addPiece(bytes: number): void {
    this._payload += bytes;
    this._pieces++;
    this._newPieces++;
  }

  /** Pieces since the last call. */
  public takePieces(): number {
    const pieces = this._newPieces;
    this._newPieces = 0;
    return pieces;
  }

  /** Bytes that hold about this number of pieces, as far as the answer shows. */
  public bytesOf(pieces: number): number {
    const pieceBytes = (this._received + UNKNOWN_PIECE_BYTES) / (this._pieces + 1);
    return Math.min(Math.max(Math.ceil(pieces * pieceBytes), MIN_READ_BYTES), MAX_READ_BYTES);
  }

  /** Why the answer must end; valid while all that was read is parsed. */
  public get excess(): ExcessiveAnswer | undefined {
    const overhead = this._received - this._payload;
    return overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BYTE * this._payload
      ? new ExcessiveAnswer(
          `${overhead} bytes of the answer are no payload, beside ${this._payload} that are`,
        )
      : undefined;
  }
}

/** Meters the answers on a connection, which is read as the turns of the event loop allow it. */
export function meterAnswers(socket: Duplex): AnswerMeter {
  const meter = new AnswerMeter();
  const turn = turns.open(() => {
    if (!socket.destroyed) {
      socket.emit('readable');
    }
  });
  socket.once('close', () => {
    turn.dispose();
  });
  const read = socket.read.bind(socket);
  const unshift = socket.unshift.bind(socket);
  socket.read = (size?: number): unknown => {
    if (size === 0) {
      return read(0);
    }
    // Whoever reads has parsed what it read before.
    turn.spend(0, meter.takePieces());
    const { excess } = meter;
    if (excess !== undefined) {
      socket.destroy(excess);
      return null;
    }
    const { left } = turn;
    if (left === 0 && socket.readableLength > 0) {
      turn.wait();
      return null;
    }
    const limitBytes = meter.bytesOf(left);
    const isLimited = size === undefined && socket.readableLength > limitBytes;
    const chunk: unknown = read(isLimited ? limitBytes : size);
    if (chunk instanceof Buffer) {
      meter.receive(chunk.length);
      turn.spend(chunk.length, 0);
    }
    return chunk;
  };
  // The parser puts back what it has not parsed when it is paused.
  socket.unshift = (chunk: unknown, encoding?: BufferEncoding): void => {
    if (chunk instanceof Uint8Array) {
      meter.receive(-chunk.length);
    }
    unshift(chunk, encoding);
  };
  return meter;
}
