/** Batches payloads: a datagram has a fixed cost at its receiver, equal to that of many bytes. */
import { type Clock, type Disposable, DisposableOwner, toDisposable } from '@tanagerdyke/kernel';

/** Separates payloads, each of which is one line of JSON. */
const SEPARATOR = '\n';
/** Keeps a datagram within one packet of 1,500 bytes. */
const MAX_BATCH_CHARACTERS = 1_300;

/** Collects payloads and emits them as one batch when it is full or the delay has passed. */
export class DatagramBatch extends DisposableOwner {
  private _payloads: string[] = [];
  private _length = 0;
  private _timer: Disposable | undefined;

  constructor(
    private readonly _clock: Clock,
    private readonly _maxDelayMs: number,
    private readonly _emit: (batch: string) => void,
  ) {
    super();
    this.register(
      toDisposable(() => {
        this._timer?.dispose();
      }),
    );
  }

  /** Adds one payload, or several that are already joined to a batch. */
  public add(batch: string): void {
    if (this._length + batch.length > MAX_BATCH_CHARACTERS) {
      this._flush();
    }
    this._payloads.push(batch);
    this._length += batch.length + SEPARATOR.length;
    this._timer ??= this._clock.schedule(this._maxDelayMs, () => {
      this._flush();
    });
  }

  private _flush(): void {
    this._timer?.dispose();
    this._timer = undefined;
    if (this._payloads.length > 0) {
      const batch = this._payloads.join(SEPARATOR);
      this._payloads = [];
      this._length = 0;
      this._emit(batch);
    }
  }
}

/** Splits a batch into its payloads. */
export function splitBatch(batch: string): string[] {
  return batch.split(SEPARATOR);
}
