/**
 * Collects bytes that arrive in pieces. A piece that is kept as an object of its own costs some
 * hundred bytes besides its content, so small ones are copied into segments. Memory and work are
 * proportional to the bytes, whatever the size of the pieces.
 */

const MIN_SEGMENT_BYTES = 1_024;
const MAX_SEGMENT_BYTES = 64 * 1024;
/** A piece of this size is kept as it is. */
const LARGE_PIECE_BYTES = 16 * 1024;

/** The bytes of one answer, line or event. */
export class ByteCollector {
  private readonly _segments: Buffer[] = [];
  /** Takes the small pieces; filled up to `_used`. */
  private _current: Buffer | undefined;
  private _used = 0;
  private _length = 0;

  public get length(): number {
    return this._length;
  }

  public add(piece: Buffer): void {
    if (piece.length >= LARGE_PIECE_BYTES) {
      this._seal();
      this._segments.push(piece);
      this._length += piece.length;
      return;
    }
    let copied = 0;
    while (copied < piece.length) {
      this._current ??= this._allocate(piece.length - copied);
      const taken = piece.copy(this._current, this._used, copied);
      copied += taken;
      this._used += taken;
      this._length += taken;
      if (this._used === this._current.length) {
        this._seal();
      }
    }
  }

  /** All bytes in order. */
  public toBuffer(): Buffer {
    const segments = this._allSegments();
    const [first] = segments;
    return segments.length === 1 && first !== undefined
      ? first
      : Buffer.concat(segments, this._length);
  }

  public clear(): void {
    this._segments.length = 0;
    this._current = undefined;
    this._used = 0;
    this._length = 0;
  }

  private _allSegments(): readonly Buffer[] {
    return this._current === undefined
      ? this._segments
      : [...this._segments, this._current.subarray(0, this._used)];
  }

  private _allocate(bytes: number): Buffer {
    const grown = Math.min(MAX_SEGMENT_BYTES, Math.max(MIN_SEGMENT_BYTES, this._length));
    return Buffer.allocUnsafe(Math.max(bytes, grown));
  }

  /** Ends the segment that takes small pieces. */
  private _seal(): void {
    if (this._current !== undefined) {
      const used = this._current.subarray(0, this._used);
      // Small pieces between large ones must not keep a segment each.
      const isSparse = used.length < this._current.length / 2;
      this._segments.push(isSparse ? Buffer.from(used) : used);
      this._current = undefined;
      this._used = 0;
    }
  }
}
