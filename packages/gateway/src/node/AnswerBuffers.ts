/**
 * Limits the memory of answers that are buffered at the same time. Small answers always fit, so that
 * targets that send without an end do not displace the answers of sound ones.
 */

/** Limit of all large answers together unless another one is given. */
const MAX_TOGETHER_BYTES = 32 * 1024 * 1024;
/** A larger answer is treated as broken. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** An answer up to this size is small. */
const SMALL_ANSWER_BYTES = 128 * 1024;

/** Counts the bytes of the large answers that are being buffered. */
export class AnswerBuffers {
  private _bytes = 0;

  constructor(private readonly _limitBytes = MAX_TOGETHER_BYTES) {}

  /** Bytes of all large answers. */
  public get bytes(): number {
    return this._bytes;
  }

  /** Returns the count of one answer, which must be released when it is no longer buffered. */
  public open(): AnswerBuffer {
    return new AnswerBuffer((bytes) => {
      const isAdmitted = bytes < 0 || this._bytes + bytes <= this._limitBytes;
      this._bytes += isAdmitted ? bytes : 0;
      return isAdmitted;
    });
  }
}

/** The bytes of one answer. */
export class AnswerBuffer {
  private _size = 0;
  private _counted = 0;

  constructor(private readonly _count: (bytes: number) => boolean) {}

  /** Counts bytes that arrived; returns false if they must not be buffered. */
  public add(bytes: number): boolean {
    this._size += bytes;
    if (this._size > MAX_ANSWER_BYTES) {
      return false;
    }
    const uncounted = this._size > SMALL_ANSWER_BYTES ? this._size - this._counted : 0;
    if (!this._count(uncounted)) {
      return false;
    }
    this._counted += uncounted;
    return true;
  }

  public release(): void {
    this._count(-this._counted);
    this._counted = 0;
  }
}
