/**
 * Calls to the platform that stay open when their answers are late. Whether an answer is slow or was
 * lost with its connection shows only when it arrives, so a late call is repeated on another
 * connection, and the first answer of either counts. A platform that answers each call late is thus
 * read at its own pace, and a connection that went silent is replaced in time. When the platform
 * returns from an outage, calls that began before are not awaited any more.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  Emitter,
  ErrorKind,
  runInBackground,
  ServiceError,
  toDisposable,
} from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { CallAttempt } from '../services/Services.js';
import { CallPace, type RequestedWait } from './CallPace.js';

/** Time until the answer of an open call must begin. */
export const OPEN_CALL_TIMEOUT_MS = 10_000;
/**
 * Calls that may be open at the same time; the oldest is closed for a further one. As many as probes
 * of an outage are made in several seconds, since a platform may answer each call that late.
 */
export const MAX_OPEN_CALLS = 12;
/** Bytes of an answer from which on it is not awaited twice; the links of small hosts are narrow. */
const LONG_ANSWER_BYTES = 4_096;

/** Makes one call. */
type Call<T> = (attempt: CallAttempt) => Promise<Result<T, ServiceError>>;

interface OpenCall extends RequestedWait {
  readonly abort: AbortController;
  /** When a part of its answer last arrived. */
  progressAt: number;
  isLate: boolean;
}

/** When an awaited call is late. */
export interface CallLimit {
  /** How long the platform is asked to wait for records; 0 by default. */
  readonly waitMs?: number;
  /** Time from the start of the call until its answer must begin. */
  readonly limitMs: () => number;
}

interface Settled<T> {
  readonly open: OpenCall;
  readonly result: Result<T, ServiceError>;
}

/** Repeats one kind of call, beside those that were not answered in time. */
export class OpenCalls<T> extends DisposableOwner {
  /** The oldest first. */
  private readonly _open = new Set<OpenCall>();
  private readonly _onSettle = this.register(new Emitter<Settled<T>>());

  /** `isFinal` is whether calls that began after the answered one are needless. */
  constructor(
    private readonly _clock: Clock,
    private readonly _pace = new CallPace(_clock),
    private readonly _isFinal: (value: T) => boolean = () => true,
  ) {
    super();
    this.register(
      _pace.onReturn(() => {
        for (const each of this._open) {
          each.isLate = true;
        }
      }),
    );
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
   * `DeadlineExceeded` at the limit, which leaves the call open. While parts of an answer arrive,
   * the limit counts from the last one.
   */
  public ask({ limitMs, waitMs = 0 }: CallLimit, call: Call<T>): Promise<Result<T, ServiceError>> {
    const start = (): OpenCall => this._start(waitMs, call);
    let own = [...this._open].find(({ isLate }) => !isLate) ?? start();
    return new Promise((resolve) => {
      let timer: Disposable | undefined;
      const subscriptions: Disposable[] = [];
      const finish = (result: Result<T, ServiceError>): void => {
        for (const each of [timer, ...subscriptions]) {
          each?.dispose();
        }
        resolve(result);
      };
      const check = (): void => {
        timer?.dispose();
        const limit = limitMs();
        const leftMs = Math.max(own.startedAt, this._progressAt) + limit - this._clock.now();
        if (leftMs <= 0) {
          own.isLate = true;
          this._pace.recordFailure();
          finish(Result.err(lateError(limit)));
        } else {
          timer = this._clock.schedule(leftMs, check);
        }
      };
      subscriptions.push(
        this._onSettle.event(({ open, result }) => {
          if (result.isOk || open === own || this._open.size === 0) {
            finish(result);
          }
        }),
        this._pace.onReturn(() => {
          own = start();
          check();
        }),
      );
      check();
    });
  }

  /** When a part of an answer that is still arriving was last received. */
  private get _progressAt(): number {
    return Math.max(...[...this._open].map(({ progressAt }) => progressAt));
  }

  private _start(waitMs: number, call: Call<T>): OpenCall {
    const open = {
      abort: new AbortController(),
      startedAt: this._clock.now(),
      waitMs,
      progressAt: Number.NEGATIVE_INFINITY,
      isLate: false,
    };
    const needsNewConnection = this._open.size > 0;
    const [oldest] = this._open;
    if (oldest !== undefined && this._open.size >= MAX_OPEN_CALLS) {
      this._close(oldest);
    }
    this._open.add(open);
    runInBackground('platform.call', () => this._run(open, call, needsNewConnection));
    return open;
  }

  private async _run(open: OpenCall, call: Call<T>, needsNewConnection: boolean): Promise<void> {
    const { signal } = open.abort;
    const onProgress = (receivedBytes: number): void => {
      if (!signal.aborted) {
        open.progressAt = this._clock.now();
        if (receivedBytes >= LONG_ANSWER_BYTES) {
          this._closeOthers(open, true);
        }
      }
    };
    let result: Result<T, ServiceError>;
    try {
      result = await call({ needsNewConnection, signal, onProgress });
    } catch (error) {
      // Its caller repeats it once it is late.
      this._open.delete(open);
      throw error;
    }
    if (signal.aborted && !this.isDisposed) {
      return;
    }
    if (result.isOk) {
      this._closeOthers(open, this._isFinal(result.value));
    }
    this._open.delete(open);
    this._onSettle.fire({ open, result });
    // A rejection for want of the records is an answer, too.
    if (result.isOk || result.error.kind === ErrorKind.RecordsExpired) {
      this._pace.recordAnswer(open);
    } else if (!open.isLate) {
      this._pace.recordFailure();
    }
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
