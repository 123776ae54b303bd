/**
 * The state of the platform log stand-in: streams of records with offsets, limited retention, a
 * rate limit on appends, and injectable faults (outages, delays, lost requests and responses).
 */
import { awaitEvent, type Clock, Emitter, ErrorKind, type RandomSource } from '@tanagerdyke/kernel';

/** Faults that a run injects into the log. */
export interface LogFaults {
  /** Refuses all requests. */
  readonly isDown: boolean;
  /** Fraction of appends that take effect but get no response. */
  readonly loseAnswers: number;
  /** Fraction of appends that neither take effect nor get a response. */
  readonly loseRequests: number;
  /** Delay added to each response. */
  readonly slowMs: number;
}

/** Limits of the log. */
export interface LogLimits {
  readonly retentionMs: number;
  readonly appendsPerSecond: number;
  readonly maxRecordBytes: number;
}

interface StoredRecord {
  readonly offset: number;
  readonly payload: string;
  /** Clock time of the append, for the retention. */
  readonly at: number;
}

interface Stream {
  records: StoredRecord[];
  nextOffset: number;
}

const NO_FAULTS: LogFaults = { isDown: false, loseAnswers: 0, loseRequests: 0, slowMs: 0 };
const MS_PER_SECOND = 1_000;

/** The result of an append; the offset is -1 when the request was lost. */
export type AppendResult =
  { readonly offset: number; readonly isResponseLost: boolean } | { readonly error: ErrorKind };

/** The streams of the log and their records, held in memory. */
export class LogStore {
  public faults: LogFaults = NO_FAULTS;
  private readonly _streams = new Map<string, Stream>();
  private readonly _onAppend = new Emitter<string>();
  /** Appends that the rate limit admits now, as a token bucket of one second's appends. */
  private _appendTokens: number;
  private _refilledAt: number;
  private _appends = 0;

  constructor(
    private readonly _clock: Clock,
    private readonly _random: RandomSource,
    private readonly _limits: LogLimits,
  ) {
    this._appendTokens = _limits.appendsPerSecond;
    this._refilledAt = _clock.now();
  }

  /** Number of appends that took effect. */
  public get appends(): number {
    return this._appends;
  }

  public append(name: string, payload: string): AppendResult {
    if (this.faults.isDown) {
      return { error: ErrorKind.PlatformUnavailable };
    }
    if (Buffer.byteLength(payload) > this._limits.maxRecordBytes) {
      return { error: ErrorKind.TooLarge };
    }
    if (!this._tryTakeAppendToken()) {
      return { error: ErrorKind.RateLimited };
    }
    if (this._random.next() < this.faults.loseRequests) {
      return { offset: -1, isResponseLost: true };
    }
    const stream = this._stream(name);
    const offset = stream.nextOffset++;
    stream.records.push({ offset, payload, at: this._clock.now() });
    this._appends++;
    this._onAppend.fire(name);
    return { offset, isResponseLost: this._random.next() < this.faults.loseAnswers };
  }

  /** Up to `limit` records from offset `from` on; `undefined` when `from` has expired. */
  public read(
    name: string,
    from: number,
    limit: number,
  ): { records: readonly StoredRecord[]; first: number; tail: number } | undefined {
    const stream = this._stream(name);
    this._removeExpired(stream);
    const first = stream.records[0]?.offset ?? stream.nextOffset;
    if (from < first) {
      return undefined;
    }
    const start = from - first;
    return { records: stream.records.slice(start, start + limit), first, tail: stream.nextOffset };
  }

  /** Removes all records before `offset`, as if their retention had passed. */
  public truncate(name: string, offset: number): void {
    const stream = this._stream(name);
    stream.records = stream.records.filter((record) => record.offset >= offset);
  }

  /** Resolves at the next append to a stream, or after `waitMs`. */
  public async waitForAppend(name: string, waitMs: number): Promise<void> {
    const isSameStream = (appended: string): boolean => appended === name;
    await awaitEvent(this._clock, this._onAppend.event, isSameStream, waitMs).value;
  }

  private _stream(name: string): Stream {
    let stream = this._streams.get(name);
    if (stream === undefined) {
      stream = { records: [], nextOffset: 0 };
      this._streams.set(name, stream);
    }
    return stream;
  }

  private _removeExpired(stream: Stream): void {
    const oldest = this._clock.now() - this._limits.retentionMs;
    const firstKept = stream.records.findIndex(({ at }) => at >= oldest);
    if (firstKept !== 0 && stream.records.length > 0) {
      stream.records = firstKept < 0 ? [] : stream.records.slice(firstKept);
    }
  }

  private _tryTakeAppendToken(): boolean {
    const now = this._clock.now();
    const { appendsPerSecond } = this._limits;
    const refill = ((now - this._refilledAt) / MS_PER_SECOND) * appendsPerSecond;
    this._appendTokens = Math.min(appendsPerSecond, this._appendTokens + refill);
    this._refilledAt = now;
    if (this._appendTokens < 1) {
      return false;
    }
    this._appendTokens--;
    return true;
  }
}
