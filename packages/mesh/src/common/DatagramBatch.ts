/** Payloads that wait to travel together, since each datagram costs its receiver as much as many bytes. */
import { type Clock, type Disposable, DisposableOwner, toDisposable } from '@tanagerdyke/kernel';

/** Payloads are one line of JSON each. */
const SEPARATOR = '\n';
/** Keeps a datagram within one packet of 1,500 bytes. */
const MAX_BATCH_CHARACTERS = 1_300;

/** Collects payloads and emits them joined. */
export class DatagramBatch extends DisposableOwner {
  private _texts: string[] = [];
  private _length = 0;
  private _timer: Disposable | undefined;

  constructor(
    private readonly _clock: Clock,
    private readonly _waitMs: number,
    private readonly _emit: (joined: string) => void,
  ) {
    super();
    this.register(
      toDisposable(() => {
        this._timer?.dispose();
      }),
    );
  }

  /** Adds payloads that may be joined already. */
  public add(joined: string): void {
    if (this._length + joined.length > MAX_BATCH_CHARACTERS) {
      this._flush();
    }
    this._texts.push(joined);
    this._length += joined.length + SEPARATOR.length;
    this._timer ??= this._clock.schedule(this._waitMs, () => {
      this._flush();
    });
  }

  private _flush(): void {
    this._timer?.dispose();
    this._timer = undefined;
    if (this._texts.length > 0) {
      const joined = this._texts.join(SEPARATOR);
      this._texts = [];
      this._length = 0;
      this._emit(joined);
    }
  }
}

/** The single payloads of a batch. */
export function splitBatch(joined: string): string[] {
  return joined.split(SEPARATOR);
}
