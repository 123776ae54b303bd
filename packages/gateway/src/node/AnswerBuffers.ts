/**
 * Limits the memory of answers that are buffered at the same time. The smallest ones always fit, and
 * small ones have a limit of their own, so that targets that send without an end do not displace the
 * answers of sound ones.
 */

/** Limit of all large answers together unless another one is given; small ones have the same. */
const MAX_TOGETHER_BYTES = 32 * 1024 * 1024;
/** A larger answer is treated as broken. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** An answer up to this size is small. */
const SMALL_ANSWER_BYTES = 128 * 1024;
/** An answer up to this size is not counted. */
const UNCOUNTED_BYTES = 16 * 1024;

/** A limit that answers share. */
class AnswerPool {
  public bytes = 0;

  constructor(private readonly _limitBytes: number) {}

  /** Counts bytes; returns false, and counts nothing, if there is no room for them. */
  public take(bytes: number): boolean {
    const isAdmitted = bytes <= 0 || this.bytes + bytes <= this._limitBytes;
    this.bytes += isAdmitted ? bytes : 0;
    return isAdmitted;
  }
}

/** Counts the bytes of the answers that are being buffered. */
export class AnswerBuffers {
  private readonly _small: AnswerPool;
  private readonly _large: AnswerPool;

  constructor(limitBytes = MAX_TOGETHER_BYTES) {
    this._small = new AnswerPool(limitBytes);
    this._large = new AnswerPool(limitBytes);
  }

  /** Bytes of all answers that are counted. */
  public get bytes(): number {
    return this._small.bytes + this._large.bytes;
  }

  /** Returns the count of one answer, which must be released when it is no longer buffered. */
  public open(): AnswerBuffer {
    return new AnswerBuffer(this._small, this._large);
  }
}

/** The bytes of one answer, which move to the limit of the large ones as it grows. */
export class AnswerBuffer {
  private _size = 0;
  private _counted = 0;
  private _pool: AnswerPool;

  constructor(
    small: AnswerPool,
    private readonly _large: AnswerPool,
  ) {
    this._pool = small;
  }

  /** Whether an answer of this size may be buffered at all. */
  public fits(bytes: number): boolean {
    return bytes <= MAX_ANSWER_BYTES;
  }

  /** Counts bytes that arrived; returns false if they must not be buffered. */
  public add(bytes: number): boolean {
    this._size += bytes;
    if (!this.fits(this._size)) {
      return false;
    }
    if (this._size <= UNCOUNTED_BYTES) {
      return true;
    }
    if (this._size > SMALL_ANSWER_BYTES && this._pool !== this._large) {
      this.release();
      this._pool = this._large;
    }
    const isAdmitted = this._pool.take(this._size - this._counted);
    this._counted = isAdmitted ? this._size : this._counted;
    return isAdmitted;
  }

  public release(): void {
    this._pool.take(-this._counted);
    this._counted = 0;
  }
}
