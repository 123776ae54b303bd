/**
 * An in-memory platform for tests whose answers take the time that the links of the platform and of
 * the reading node need for them. Not shipped.
 */
import { type MemoryLink, SEGMENT_BYTES } from '@tanagerdyke/fakes';
import { type Clock, ErrorKind, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type {
  CallAttempt,
  KeyedPage,
  KeyedRecord,
  KeyedSnapshot,
  KeyedTopic,
} from '../services/Services.js';

const POLL_STEP_MS = 10;
const MAX_PAGE_BYTES = 64 * 1_024;
/** Time without a part of an answer that has begun, after which it is given up. */
const STALL_TIMEOUT_MS = 800;
const HEADER_BYTES = 200;
/** Snapshots are encoded as base64. */
const SNAPSHOT_EXPANSION = 4 / 3;

/** A call of a node. */
interface Call {
  readonly startedAt: number;
  /** Whether the store was silent when the call arrived. */
  readonly beganInSilence: boolean;
  readonly link: MemoryLink;
  readonly isRefused: () => boolean;
  readonly timeoutMs: number;
  /** Bytes of the answer for each byte of its records. */
  readonly expansion: number;
  readonly attempt: CallAttempt | undefined;
}

/** One keyed topic. */
export class LinkedStore {
  /** Time until an answer begins. */
  public callMs = 4;
  public bytesRead = 0;
  public calls = 0;
  private readonly _records: KeyedRecord[] = [];
  private _isSilent = false;
  /** Calls that began before this time, and were not answered then, get no answer. */
  private _lostUntil = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _clock: Clock,
    private readonly _name: string,
    private readonly _link: MemoryLink,
  ) {}

  public write(key: string, value: Buffer): void {
    this._records.push({ key, offset: this._records.length, value });
  }

  /**
   * Answers no call that arrives until `resume`. Calls that are open are answered then, unless they
   * are lost with their connections.
   */
  public silence(losesOpenCalls: boolean): void {
    this._isSilent = true;
    if (losesOpenCalls) {
      this._lostUntil = this._clock.now();
    }
  }

  public resume(): void {
    this._isSilent = false;
  }

  /** The topic as a node at `link` reads it; it gets no answers while `isRefused`. */
  public topicFor(link: MemoryLink, isRefused: () => boolean): KeyedTopic {
    return {
      name: this._name,
      readSnapshot: (timeoutMs, attempt) => {
        const begin = this._begin();
        const expansion = SNAPSHOT_EXPANSION;
        return this._call({ ...begin, link, isRefused, timeoutMs, expansion, attempt }, () =>
          this._snapshot(),
        );
      },
      read: async (from, waitMs, timeoutMs, attempt) => {
        const begin = this._begin();
        const { startedAt } = begin;
        while (this._clock.now() - startedAt < waitMs && this._records.length === from) {
          await this._clock.sleep(POLL_STEP_MS);
        }
        const leftMs = timeoutMs - (this._clock.now() - startedAt);
        const call = { ...begin, link, isRefused, timeoutMs: leftMs, expansion: 1, attempt };
        return this._call(call, () => this._page(from));
      },
    };
  }

  private _begin(): Pick<Call, 'startedAt' | 'beganInSilence'> {
    this.calls++;
    return { startedAt: this._clock.now(), beganInSilence: this._isSilent };
  }

  /** Waits for the end of a silence; returns whether the call gets an answer. */
  private async _survivesSilence({ attempt, beganInSilence, startedAt }: Call): Promise<boolean> {
    const isLost = (): boolean => beganInSilence || startedAt <= this._lostUntil;
    while (this._isSilent && !isLost() && attempt?.signal.aborted !== true) {
      await this._clock.sleep(POLL_STEP_MS);
    }
    return !isLost();
  }

  private _snapshot(): KeyedSnapshot {
    const newest = new Map(this._records.map((each) => [each.key, each]));
    return { epoch: undefined, records: [...newest.values()], end: this._records.length };
  }

  private _page(from: number): KeyedPage {
    const records: KeyedRecord[] = [];
    for (const record of this._records.slice(from)) {
      if (records.length > 0 && bytesOf([...records, record]) > MAX_PAGE_BYTES) {
        break;
      }
      records.push(record);
    }
    return { epoch: undefined, records, end: from + records.length, logEnd: this._records.length };
  }

  private async _call<T extends KeyedPage | KeyedSnapshot>(
    call: Call,
    answer: () => T,
  ): Promise<Result<T, ServiceError>> {
    const { attempt, expansion, isRefused, link, timeoutMs } = call;
    let dueAt = this._clock.now() + timeoutMs;
    const waitUntilDue = async (): Promise<undefined> => {
      while (this._clock.now() < dueAt && attempt?.signal.aborted !== true) {
        await this._clock.sleep(dueAt - this._clock.now(), attempt?.signal);
      }
      return undefined;
    };
    const limit = waitUntilDue();
    const transfer = async (): Promise<T | undefined> => {
      await this._clock.sleep(this.callMs);
      const isAnswered = await this._survivesSilence(call);
      if (!isAnswered || isRefused() || attempt?.signal.aborted === true) {
        await limit;
        return undefined;
      }
      const value = answer();
      const bytes = HEADER_BYTES + bytesOf(value.records) * expansion;
      this.bytesRead += bytes;
      let received = 0;
      await this._link.send(link, bytes, 0, () => {
        received = Math.min(bytes, received + SEGMENT_BYTES);
        dueAt = this._clock.now() + STALL_TIMEOUT_MS;
        attempt?.onProgress(received);
      });
      return value;
    };
    const value = await Promise.race([transfer(), limit]);
    return value === undefined ? Result.err(unavailable()) : Result.ok(value);
  }
}

function bytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

function unavailable(): ServiceError {
  return new ServiceError(ErrorKind.PlatformUnavailable, 'no answer', { remedy: 'none' });
}
