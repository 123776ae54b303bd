/**
 * Calls to the platform that stay open when their answers are late. Whether an answer is slow or was
 * lost with its connection shows only when it arrives, so a late call is repeated on another
 * connection, and the first answer of either counts. A platform that answers each call late is thus
 * read at its own pace, and a connection that went silent is replaced in time.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  Emitter,
  ErrorKind,
  ServiceError,
  toDisposable,
} from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { CallAttempt } from '../services/Services.js';

/** Time until the answer of an open call must begin. */
export const OPEN_CALL_TIMEOUT_MS = 10_000;
/** Calls that may be open at the same time; the oldest is closed for a further one. */
const MAX_OPEN_CALLS = 3;
/** Bytes of an answer from which on it is not awaited twice; the links of small hosts are narrow. */
const LONG_ANSWER_BYTES = 4_096;

/** Makes one call. */
type Call<T> = (attempt: CallAttempt) => Promise<Result<T, ServiceError>>;

interface OpenCall {
  readonly abort: AbortController;
  readonly startedAt: number;
  isLate: boolean;
}

interface Settled<T> {
  readonly open: OpenCall;
  readonly result: Result<T, ServiceError>;
}

/** Repeats one kind of call, beside those that were not answered in time. */
export class OpenCalls<T> extends DisposableOwner {
  /** The oldest first. */
  private readonly _open = new Set<OpenCall>();
  private _progressAt = Number.NEGATIVE_INFINITY;
  private readonly _onSettle = this.register(new Emitter<Settled<T>>());
  private readonly _onAnswer = this.register(new Emitter<void>());
  /** Fires when a call was answered, also while none is awaited. */
  public readonly onAnswer = this._onAnswer.event;

  /** `isFinal` is whether calls that began after the answered one are needless. */
  constructor(
    private readonly _clock: Clock,
    private readonly _isFinal: (value: T) => boolean = () => true,
  ) {
    super();
    this.register(
      toDisposable(() => {
        for (const each of this._open) {
          this._close(each);
        }
      }),
    );
  }

  /** Ages of the open calls in ms, the oldest first. */
  public get agesMs(): readonly number[] {
    const now = this._clock.now();
    return [...this._open].map(({ startedAt }) => Math.round(now - startedAt));
  }

  /**
   * Makes a call beside those that are late, unless one is open that is not late yet. Returns the
   * first answer of any of them. Errors: that of the new call; that of the last open one;
   * `DeadlineExceeded` after `limitMs` without a part of an answer, which leaves the call open.
   */
  public ask(limitMs: number, call: Call<T>): Promise<Result<T, ServiceError>> {
    const own = [...this._open].find(({ isLate }) => !isLate) ?? this._start(call);
    return new Promise((resolve) => {
      let timer: Disposable | undefined;
      const finish = (result: Result<T, ServiceError>): void => {
        timer?.dispose();
        subscription.dispose();
        resolve(result);
      };
      const check = (): void => {
        const lateAt = Math.max(own.startedAt, this._progressAt) + limitMs;
        const leftMs = lateAt - this._clock.now();
        if (leftMs <= 0) {
          own.isLate = true;
          finish(Result.err(lateError(limitMs)));
        } else {
          timer = this._clock.schedule(leftMs, check);
        }
      };
      const subscription = this._onSettle.event(({ open, result }) => {
        if (result.isOk || open === own || this._open.size === 0) {
          finish(result);
        }
      });
      check();
    });
  }

  private _start(call: Call<T>): OpenCall {
    const open = { abort: new AbortController(), startedAt: this._clock.now(), isLate: false };
    const needsNewConnection = this._open.size > 0;
    const [oldest] = this._open;
    if (oldest !== undefined && this._open.size >= MAX_OPEN_CALLS) {
      this._close(oldest);
    }
    this._open.add(open);
    void this._run(open, call, needsNewConnection);
    return open;
  }

  private async _run(open: OpenCall, call: Call<T>, needsNewConnection: boolean): Promise<void> {
    const { signal } = open.abort;
    const onProgress = (receivedBytes: number): void => {
      if (!signal.aborted) {
        this._progressAt = this._clock.now();
        if (receivedBytes >= LONG_ANSWER_BYTES) {
          this._closeOthers(open, true);
        }
      }
    };
    const result = await call({ needsNewConnection, signal, onProgress });
    if (signal.aborted && !this.isDisposed) {
      return;
    }
    if (result.isOk) {
      this._closeOthers(open, this._isFinal(result.value));
    }
    this._open.delete(open);
    if (result.isOk) {
      this._onAnswer.fire();
    }
    this._onSettle.fire({ open, result });
  }

  /** Closes the calls that are older than `open`, or all others. */
  private _closeOthers(open: OpenCall, closesNewer: boolean): void {
    let isNewer = false;
    for (const each of this._open) {
      if (each === open) {
        isNewer = true;
      } else if (!isNewer || closesNewer) {
        this._close(each);
      }
    }
  }

  private _close(open: OpenCall): void {
    this._open.delete(open);
    open.abort.abort();
  }
}

function lateError(limitMs: number): ServiceError {
  return new ServiceError(ErrorKind.DeadlineExceeded, `no answer within ${limitMs} ms`, {
    remedy: 'none needed; the call stays open and is repeated beside it',
  });
}
