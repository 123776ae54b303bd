/**
 * Limits what an answer may cost beside its payload: bytes of its head, of the framing of its chunks
 * and of its trailers, and the number of pieces in which its payload is parsed. A piece costs
 * processor time and memory like hundreds of bytes, so a limit of the payload alone does not bound an
 * answer in pieces of one byte. The bytes are counted as they are read from the connection, before
 * they are parsed, whatever part of an answer they look like.
 */
import type { Duplex } from 'node:stream';
import type { Clock } from '@tanagerdyke/kernel';

/** Bytes that are no payload, and those for each byte of payload; in chunks of one byte, five. */
const MAX_OVERHEAD_BYTES = 32 * 1024;
const OVERHEAD_PER_BYTE = 8;
/** Bytes that are read at once while most of an answer is no payload, so that they count in time. */
const CAUTIOUS_READ_BYTES = 8 * 1024;
/**
 * Pieces that an answer may have at once, and with its size and over time. A model may send each
 * token as a piece of its own, but not thousands of them in a moment.
 */
const MAX_PIECES = 2_048;
const BYTES_PER_PIECE = 64;
const PIECES_PER_MS = 0.5;

/** Ends an answer that costs too much; says nothing on whether its sender has ended. */
export class ExcessiveAnswer extends Error {}

/** Counts the answers on one connection, one after the other. */
export class AnswerMeter {
  private _beganAt: number;
  private _received = 0;
  private _payload = 0;
  private _pieces = 0;

  constructor(private readonly _clock: Pick<Clock, 'now'>) {
    this._beganAt = _clock.now();
  }

  /** Begins to count the answer to the next request. */
  public begin(): void {
    this._beganAt = this._clock.now();
    this._received = 0;
    this._payload = 0;
    this._pieces = 0;
  }

  /** Whether most of the answer was no payload so far, as in each head. */
  public get isMostlyOverhead(): boolean {
    return this._received >= 2 * this._payload;
  }

  /** Counts bytes that were read; they are negative if the parser puts them back. */
  public receive(bytes: number): void {
    this._received += bytes;
  }

  /** Counts a piece of payload. */
  public addPiece(bytes: number): void {
    this._payload += bytes;
    this._pieces++;
  }

  /** Why the answer must end; undefined while it costs what it may. */
  public get excess(): ExcessiveAnswer | undefined {
    const overhead = this._received - this._payload;
    if (overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BYTE * this._payload) {
      return new ExcessiveAnswer(
        `${overhead} bytes of the answer are no payload, beside ${this._payload} that are`,
      );
    }
    const elapsedMs = this._clock.now() - this._beganAt;
    const allowed = MAX_PIECES + this._payload / BYTES_PER_PIECE + elapsedMs * PIECES_PER_MS;
    return this._pieces > allowed
      ? new ExcessiveAnswer(`the answer has ${this._pieces} pieces with ${this._payload} bytes`)
      : undefined;
  }
}

/** Meters the answers on a connection, and destroys it when one costs too much. */
export function meterAnswers(socket: Duplex, clock: Pick<Clock, 'now'>): AnswerMeter {
  const meter = new AnswerMeter(clock);
  const read = socket.read.bind(socket);
  const unshift = socket.unshift.bind(socket);
  socket.read = (size?: number): unknown => {
    const { excess } = meter;
    if (excess !== undefined) {
      socket.destroy(excess);
      return null;
    }
    const { readableLength } = socket;
    const isCautious = meter.isMostlyOverhead && readableLength > CAUTIOUS_READ_BYTES;
    const chunk: unknown = read(size ?? (isCautious ? CAUTIOUS_READ_BYTES : undefined));
    if (chunk instanceof Buffer) {
      meter.receive(chunk.length);
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
