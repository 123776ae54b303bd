/**
 * An in-memory platform for tests whose log can be restored from an older copy, which begins a new
 * epoch and assigns the later offsets again. Not shipped.
 */
import { type Clock, ErrorKind, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type { KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic } from '../services/Services.js';

const CALL_MS = 4;
const POLL_STEP_MS = 10;

/** How the platform treats the calls of a node. */
export enum Access {
  Answers = 'answers',
  Refuses = 'refuses',
  /** Answers are held until the test releases them. */
  Delayed = 'delayed',
}

/** One keyed topic. */
export class RestoredLog {
  public calls = 0;
  public isEpochStated = true;
  /** Earlier offsets can't be read any more. */
  private _first = 0;
  /** The lowest epoch that a platform can state. */
  private _epoch = 0;
  private _records: KeyedRecord[] = [];
  private readonly _held: (() => void)[] = [];

  constructor(
    private readonly _clock: Clock,
    private readonly _name: string,
  ) {}

  public get length(): number {
    return this._records.length;
  }

  public write(key: string, value: string | undefined): void {
    const bytes = value === undefined ? undefined : Buffer.from(value);
    this._records.push({ key, offset: this._records.length, value: bytes });
  }

  /** Returns from a copy without the last `lost` records, as the next epoch. */
  public restoreWithout(lost: number): void {
    this._records = this._records.slice(0, this._records.length - lost);
    this._first = Math.min(this._first, this._records.length);
    this._epoch++;
  }

  /** Makes reads of all earlier offsets fail; the newest record of each key stays readable. */
  public compact(): void {
    this._first = this._records.length;
  }

  /** Delivers the answers that were held. */
  public release(): void {
    for (const deliver of this._held.splice(0)) {
      deliver();
    }
  }

  /** The topic as one node sees it; `access` may change at any time. */
  public topicFor(access: () => Access): KeyedTopic {
    return {
      name: this._name,
      readSnapshot: (timeoutMs) => this._call(access, timeoutMs, () => this._snapshot()),
      read: async (from, waitMs, timeoutMs) => {
        const epoch = this._epoch;
        for (
          let waited = 0;
          waited < waitMs && this._records.length === from && this._epoch === epoch;
          waited += POLL_STEP_MS
        ) {
          await this._clock.sleep(POLL_STEP_MS);
        }
        return this._call(access, timeoutMs, () => this._page(from));
      },
    };
  }

  private _snapshot(): Result<KeyedSnapshot, ServiceError> {
    const newest = new Map(this._records.map((each) => [each.key, each]));
    const records = [...newest.values()].filter(({ value }) => value !== undefined);
    return Result.ok({ epoch: this._statedEpoch, records, end: this._records.length });
  }

  private _page(from: number): Result<KeyedPage, ServiceError> {
    if (from < this._first || from > this._records.length) {
      return Result.err(errorOf(ErrorKind.RecordsExpired));
    }
    const records = this._records.slice(from);
    const end = this._records.length;
    return Result.ok({ epoch: this._statedEpoch, records, end, logEnd: end });
  }

  private get _statedEpoch(): number | undefined {
    return this.isEpochStated ? this._epoch : undefined;
  }

  private async _call<T>(
    access: () => Access,
    timeoutMs: number,
    answer: () => Result<T, ServiceError>,
  ): Promise<Result<T, ServiceError>> {
    this.calls++;
    await this._clock.sleep(CALL_MS);
    const result = answer();
    if (access() === Access.Delayed) {
      await new Promise<void>((resolve) => this._held.push(resolve));
      return result;
    }
    if (access() === Access.Refuses) {
      await this._clock.sleep(timeoutMs);
      return Result.err(errorOf(ErrorKind.PlatformUnavailable));
    }
    return result;
  }
}

function errorOf(kind: ErrorKind): ServiceError {
  return new ServiceError(kind, 'scripted', { remedy: 'none' });
}
