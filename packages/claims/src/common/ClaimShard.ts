/**
 * One shard of the claim streams at this node: a task that tails the stream into the index, and a
 * task that appends queued entries in batches (group commit). The fate of an entry is learned by
 * reading it back, so a lost answer of the log does no harm.
 */
import {
  awaitEvent,
  type Clock,
  DisposableOwner,
  Emitter,
  ErrorKind,
  type Logger,
  LogLevel,
  type PendingEvent,
} from '@tanagerdyke/kernel';
import type { LogPage, PlatformLog } from '@tanagerdyke/contracts';
import { ClaimIndex } from './ClaimIndex.js';
import {
  AppendFate,
  batchSchema,
  type Entry,
  EntryKind,
  type FindAnswer,
  type KeyState,
  KeyStatus,
  type SubmitAnswer,
} from './Messages.js';

const READ_WAIT_MS = 2_000;
const READ_LIMIT = 200;
const READ_RETRY_MS = 200;
/** Time that entries wait for company before an append, unless the options say otherwise. */
const BATCH_WAIT_MS = 16;
/** Entries of one append at most. */
const BATCH_LIMIT = 200;
/** Appends of one shard that may wait for their answers. */
const MAX_APPENDS_IN_FLIGHT = 8;
/** Interval of forgetting expired keys. */
const EXPIRY_INTERVAL_MS = 30_000;

/** What a shard needs. */
export interface ShardOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly logger: Logger;
  readonly stream: string;
  /** Whether a key is too old to be admitted by any node. */
  readonly isExpired: (key: string) => boolean;
  /** Time that entries wait for company before an append, in milliseconds. */
  readonly batchWaitMs?: number;
}

interface QueuedEntry {
  readonly entry: Entry;
  readonly settle: (fate: AppendFate) => void;
}

interface ReadEntry {
  readonly entry: Entry;
  readonly state: KeyState | undefined;
}

/** One shard at one node. */
export class ClaimShard extends DisposableOwner {
  private readonly _index = new ClaimIndex();
  private readonly _onEntry = this.register(new Emitter<ReadEntry>());
  private readonly _onReady = this.register(new Emitter<void>());
  private readonly _queue: QueuedEntry[] = [];
  private _isAppending = false;
  private _next = 0;
  private _isReady = false;

  constructor(private readonly _options: ShardOptions) {
    super();
  }

  public start(): void {
    void this._readTask();
    void this._expiryTask();
  }

  /** Whether the stream was read to its tail since the start. */
  public get isReady(): boolean {
    return this._isReady;
  }

  public get size(): number {
    return this._index.size;
  }

  /** Appends an entry and answers what it led to, `Unknown` when that isn't read in time. */
  public async submit(entry: Entry, waitMs: number): Promise<SubmitAnswer> {
    const readBack = this._awaitEntry(entry, waitMs);
    const refused = this._append(entry).then((fate) => {
      if (fate === AppendFate.Refused) {
        readBack.cancel();
      }
      return fate;
    });
    // An entry that is read back needs no answer to its append.
    const read = await readBack.value;
    if (read !== undefined) {
      return { fate: AppendFate.Appended, state: read.state };
    }
    const fate = await Promise.race([refused, Promise.resolve(AppendFate.Unknown)]);
    return { fate: fate === AppendFate.Refused ? fate : AppendFate.Unknown };
  }

  /** The state of a key once the shard is ready and the key is decided, or as it is in the end. */
  public async find(key: string, waitMs: number): Promise<FindAnswer> {
    const { clock } = this._options;
    const deadline = clock.now() + waitMs;
    await this._whenReady(waitMs);
    if (this._index.find(key)?.status === KeyStatus.Claimed) {
      await this._whenDecided(key, deadline);
    }
    return { state: this._index.find(key), isComplete: this._isReady };
  }

  private async _whenDecided(key: string, deadline: number): Promise<void> {
    const { clock } = this._options;
    const isDecided = ({ entry, state }: ReadEntry): boolean =>
      entry.key === key && state?.status !== KeyStatus.Claimed;
    await awaitEvent(clock, this._onEntry.event, isDecided, deadline - clock.now()).value;
  }

  private async _whenReady(waitMs: number): Promise<void> {
    if (!this._isReady) {
      await awaitEvent(this._options.clock, this._onReady.event, () => true, waitMs).value;
    }
  }

  private _awaitEntry({ kind, attempt }: Entry, waitMs: number): PendingEvent<ReadEntry> {
    return awaitEvent(
      this._options.clock,
      this._onEntry.event,
      ({ entry }) => entry.kind === kind && entry.attempt === attempt,
      waitMs,
    );
  }

  private _append(entry: Entry): Promise<AppendFate> {
    return new Promise((settle) => {
      this._queue.push({ entry, settle });
      if (!this._isAppending) {
        this._isAppending = true;
        void this._appendTask();
      }
    });
  }

  /** Sends batches while entries wait; an append without an answer doesn't hold up the next ones. */
  private async _appendTask(): Promise<void> {
    const { batchWaitMs = BATCH_WAIT_MS, clock } = this._options;
    const inFlight = new Set<Promise<void>>();
    while (this._queue.length > 0) {
      await clock.sleep(batchWaitMs);
      if (inFlight.size >= MAX_APPENDS_IN_FLIGHT) {
        await Promise.race(inFlight);
      }
      const sent = this._appendBatch(this._queue.splice(0, BATCH_LIMIT));
      inFlight.add(sent);
      void sent.then(() => inFlight.delete(sent));
    }
    this._isAppending = false;
  }

  private async _appendBatch(batch: readonly QueuedEntry[]): Promise<void> {
    const { log, stream } = this._options;
    const payload = JSON.stringify({ entries: batch.map(({ entry }) => entry) });
    const appended = await log.append(stream, payload);
    const fate = appended.isOk ? AppendFate.Appended : fateOf(appended.error.kind);
    for (const { settle } of batch) {
      settle(fate);
    }
  }

  private async _readTask(): Promise<void> {
    const { clock, log, logger, stream } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      const waitMs = this._isReady ? READ_WAIT_MS : 0;
      const page = await log.read(stream, this._next, READ_LIMIT, waitMs);
      if (page.isOk) {
        this._takePage(page.value);
      } else if (page.error.kind === ErrorKind.RecordsExpired) {
        await this._skipExpired();
      } else {
        logger.log(LogLevel.Debug, page.error.message, { stream });
        await clock.sleep(READ_RETRY_MS, signal);
      }
    }
  }

  private _takePage(page: LogPage): void {
    for (const { offset, payload } of page.records) {
      this._next = offset + 1;
      this._takeRecord(payload);
    }
    if (!this._isReady && this._next >= page.tail) {
      this._isReady = true;
      this._onReady.fire();
    }
  }

  /** Skips to the first record that the log still holds: expired ones are older than any key that is still admitted. */
  private async _skipExpired(): Promise<void> {
    const { clock, log, stream } = this._options;
    const bounds = await log.read(stream, Number.MAX_SAFE_INTEGER, 1, 0);
    if (bounds.isOk) {
      this._next = Math.max(this._next, bounds.value.first);
    } else {
      await clock.sleep(READ_RETRY_MS, this.disposal);
    }
  }

  private _takeRecord(payload: string): void {
    const batch = parseBatch(payload);
    if (batch === undefined) {
      const { logger, stream } = this._options;
      logger.log(LogLevel.Warn, 'unreadable claim record skipped', { stream });
      return;
    }
    for (const entry of batch) {
      this._onEntry.fire({ entry, state: this._apply(entry) });
    }
  }

  /** A claim of an expired key is never granted: the records of an earlier one may be forgotten. */
  private _apply(entry: Entry): KeyState | undefined {
    const isTooLate = entry.kind === EntryKind.Claim && this._options.isExpired(entry.key);
    return isTooLate ? this._index.find(entry.key) : this._index.apply(entry);
  }

  private async _expiryTask(): Promise<void> {
    const { disposal: signal } = this;
    while (!signal.aborted) {
      await this._options.clock.sleep(EXPIRY_INTERVAL_MS, signal);
      this._index.expire(this._options.isExpired);
    }
  }
}

function fateOf(kind: ErrorKind): AppendFate {
  return kind === ErrorKind.AppendUnknown ? AppendFate.Unknown : AppendFate.Refused;
}

function parseBatch(payload: string): readonly Entry[] | undefined {
  try {
    const parsed = batchSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data.entries : undefined;
  } catch {
    return undefined;
  }
}
