/**
 * An in-memory platform log with the faults of the real one: outages, responses lost after the
 * append took effect, requests lost before it did, and records that expire.
 */
import type { LogPage, LogRecord, PlatformLog } from '@tanagerdyke/contracts';
import {
  awaitEvent,
  type Clock,
  Emitter,
  ErrorKind,
  NotRun,
  ServiceError,
} from '@tanagerdyke/kernel';
import { Result } from 'true-myth';

/** Fault injected into appends. */
export enum AppendFault {
  None = 'none',
  /** The append takes effect, but its response is lost. */
  LoseAnswer = 'lose-answer',
  /** The append is lost: it takes no effect and gets no response. */
  LoseRequest = 'lose-request',
}

interface Stream {
  records: LogRecord[];
  /** Offset of the next record. */
  next: number;
}

/** Holds the streams and fails calls as the test has set. */
export class MemoryLog implements PlatformLog {
  /** Whether every call fails as during an outage. */
  public isDown = false;
  public appendFault = AppendFault.None;
  /** Delay before an append takes effect. */
  public appendDelayMs = 0;
  private readonly _streams = new Map<string, Stream>();
  private readonly _onAppend = new Emitter<string>();
  private _appends = 0;

  constructor(private readonly _clock: Clock) {}

  /** Number of appends that took effect. */
  public get appends(): number {
    return this._appends;
  }

  public async append(stream: string, payload: string): Promise<Result<number, ServiceError>> {
    const fault = this.appendFault;
    await this._clock.sleep(this.appendDelayMs);
    if (this.isDown) {
      return Result.err(logDown());
    }
    if (fault === AppendFault.LoseRequest) {
      return Result.err(appendUnknown());
    }
    const offset = this.appendDirectly(stream, payload);
    return fault === AppendFault.LoseAnswer ? Result.err(appendUnknown()) : Result.ok(offset);
  }

  /** Appends without delay and regardless of injected faults; returns the offset. */
  public appendDirectly(name: string, payload: string): number {
    const stream = this._stream(name);
    const offset = stream.next++;
    stream.records.push({ offset, payload });
    this._appends++;
    this._onAppend.fire(name);
    return offset;
  }

  public async read(
    name: string,
    fromOffset: number,
    limit: number,
    waitMs: number,
  ): Promise<Result<LogPage, ServiceError>> {
    if (this.isDown) {
      return Result.err(logDown());
    }
    const stream = this._stream(name);
    if (fromOffset === stream.next && waitMs > 0) {
      await this._waitForAppend(name, waitMs);
    } else {
      await this._clock.sleep(0);
    }
    return this._page(stream, fromOffset, limit);
  }

  private _page(stream: Stream, fromOffset: number, limit: number): Result<LogPage, ServiceError> {
    if (this.isDown) {
      return Result.err(logDown());
    }
    const first = stream.records[0]?.offset ?? stream.next;
    if (fromOffset < first) {
      return Result.err(recordsExpired(fromOffset));
    }
    const records = stream.records.filter(({ offset }) => offset >= fromOffset).slice(0, limit);
    return Result.ok({ records, first, tail: stream.next });
  }

  /** Removes the records before an offset, as if their retention had expired. */
  public truncate(name: string, offset: number): void {
    const stream = this._stream(name);
    stream.records = stream.records.filter((record) => record.offset >= offset);
  }

  /** All retained payloads of a stream. */
  public payloads(name: string): readonly string[] {
    return this._stream(name).records.map(({ payload }) => payload);
  }

  private _stream(name: string): Stream {
    let stream = this._streams.get(name);
    if (stream === undefined) {
      stream = { records: [], next: 0 };
      this._streams.set(name, stream);
    }
    return stream;
  }

  private async _waitForAppend(name: string, waitMs: number): Promise<void> {
    const isThisStream = (appended: string): boolean => appended === name;
    await awaitEvent(this._clock, this._onAppend.event, isThisStream, waitMs).value;
  }
}

function logDown(): ServiceError {
  return new ServiceError(ErrorKind.PlatformUnavailable, 'the log is down', {
    remedy: 'try again later',
    notRun: NotRun.True,
  });
}

function appendUnknown(): ServiceError {
  return new ServiceError(ErrorKind.AppendUnknown, 'no response to the append', {
    remedy: 'read the stream back',
  });
}

function recordsExpired(offset: number): ServiceError {
  return new ServiceError(ErrorKind.RecordsExpired, `records from ${offset} have expired`, {
    remedy: 'start from a checkpoint',
  });
}
