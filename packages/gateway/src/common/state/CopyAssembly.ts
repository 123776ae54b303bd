/** Puts the pieces of encoded records together, from whichever peers send them. */
import { ErrorKind, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { decodeRecordSet, digestOf, type RecordSet } from './RecordsCodec.js';
import type { Piece } from './RelayMessages.js';

/** The pieces of one copy that have been received, without gaps from its start. */
export class CopyAssembly {
  private readonly _pieces: Buffer[] = [];
  private _received = 0;

  constructor(
    public readonly digest: string,
    private readonly _total: number,
  ) {}

  /** Bytes received, and so the start of the next piece. */
  public get received(): number {
    return this._received;
  }

  public get isComplete(): boolean {
    return this._received >= this._total;
  }

  /** Adds a piece unless it came before. Returns whether it was the next one of this copy. */
  public add({ data, digest, start }: Piece): boolean {
    const bytes = Buffer.from(data, 'base64');
    const isNext = digest === this.digest && start === this._received && bytes.length > 0;
    if (isNext) {
      this._pieces.push(bytes);
      this._received += bytes.length;
    }
    return isNext;
  }

  /** Decodes the complete copy. Errors: `BadRequest` when it is malformed. */
  public decode(): Result<RecordSet, ServiceError> {
    const bytes = Buffer.concat(this._pieces);
    if (digestOf(bytes) !== this.digest) {
      return Result.err(
        new ServiceError(ErrorKind.BadRequest, `the pieces of copy ${this.digest} do not fit`, {
          remedy: 'none needed; it is fetched again',
        }),
      );
    }
    return decodeRecordSet(bytes);
  }
}
