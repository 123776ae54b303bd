/**
 * Tails one claim stream into an index and appends queued entries to it in batches (group commit).
 * Whether an entry was appended is determined by reading it back, so losing a response of the log
 * is harmless.
 */
import {
  awaitEvent,
  type Clock,
  DisposableOwner,
  Emitter,
  ErrorKind,
  keepRunning,
  type Logger,
  LogLevel,
  type PendingEvent,
  runInBackground,
} from '@tanagerdyke/kernel';
import type { LogPage, PlatformLog } from '@tanagerdyke/contracts';
import { ClaimIndex } from './ClaimIndex.js';
import {
  AppendOutcome,
  batchSchema,
  type Entry,
  EntryKind,
  type FindResponse,
  type KeyState,
  KeyStatus,
  type SubmitResponse,
} from './Messages.js';

const READ_WAIT_MS = 2_000;
const MAX_RECORDS_PER_READ = 200;
const READ_RETRY_MS = 200;
/** Default for `ClaimShardOptions.batchWaitMs`. */
const DEFAULT_BATCH_WAIT_MS = 16;
const MAX_ENTRIES_PER_APPEND = 200;
/** Appends of one shard that may wait for their responses at the same time. */
const MAX_APPENDS_IN_FLIGHT = 8;
/** How often expired keys are removed from the index. */
const EXPIRY_INTERVAL_MS = 30_000;

export interface ClaimShardOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly logger: Logger;
  readonly stream: string;
  /** Whether a key is too old to be accepted by any node. */
  readonly isExpired: (key: string) => boolean;
  /** How long entries wait for others to join their batch; `DEFAULT_BATCH_WAIT_MS` by default. */
  readonly batchWaitMs?: number;
}

interface QueuedEntry {
  readonly entry: Entry;
  readonly resolve: (outcome: AppendOutcome) => void;
}

interface AppliedEntry {
  readonly entry: Entry;
  /** The state of the entry's key after it. */
  readonly state: KeyState | undefined;
}

/** Reads and appends the entries of one shard at a committer. */
export class ClaimShard extends DisposableOwner {
  private readonly _index = new ClaimIndex();
  private readonly _onEntry = this.register(new Emitter<AppliedEntry>());
  private readonly _onReady = this.register(new Emitter<void>());
  private readonly _queue: QueuedEntry[] = [];
  private _isAppending = false;
  private _nextOffset = 0;
  private _isReady = false;

  constructor(private readonly _options: ClaimShardOptions) {
    super();
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'claim.log', () => this._readTask());
    keepRunning(this._options.clock, this.disposalSignal, 'claim.expiry', () => this._expiryTask());
  }

  /** Whether the stream has been read to its tail since the start. */
  public get isReady(): boolean {
    return this._isReady;
  }

  public get indexedKeys(): number {
    return this._index.size;
  }

  /** Appends an entry and returns the resulting state; `Unknown` if it isn't read back in time. */
  public async submit(entry: Entry, waitMs: number): Promise<SubmitResponse> {
    const readBack = this._awaitEntry(entry, waitMs);
    const appended = this._append(entry).then((outcome) => {
      if (outcome === AppendOutcome.Refused) {
        readBack.cancel();
      }
      return outcome;
    });
    // An entry that is read back needs no response to its append.
    const applied = await readBack.value;
    if (applied !== undefined) {
      return { fate: AppendOutcome.Appended, state: applied.state };
    }
    const outcome = await Promise.race([appended, Promise.resolve(AppendOutcome.Unknown)]);
    return { fate: outcome === AppendOutcome.Refused ? outcome : AppendOutcome.Unknown };
  }

  /**
   * The state of a key as soon as the shard is ready and no claim of the key awaits its outcome, at
   * the latest after `waitMs`.
   */
  public async find(key: string, waitMs: number): Promise<FindResponse> {
    const { clock } = this._options;
    const deadline = clock.now() + waitMs;
    await this._waitUntilReady(waitMs);
    if (this._index.find(key)?.status === KeyStatus.Claimed) {
      await this._waitWhileClaimed(key, deadline);
    }
    return { state: this._index.find(key), isComplete: this._isReady };
  }

  private async _waitWhileClaimed(key: string, deadline: number): Promise<void> {
    const { clock } = this._options;
    const isNoLongerClaimed = ({ entry, state }: AppliedEntry): boolean =>
      entry.key === key && state?.status !== KeyStatus.Claimed;
    await awaitEvent(clock, this._onEntry.event, isNoLongerClaimed, deadline - clock.now()).value;
  }

  private async _waitUntilReady(waitMs: number): Promise<void> {
    if (!this._isReady) {
      await awaitEvent(this._options.clock, this._onReady.event, () => true, waitMs).value;
    }
  }

  private _awaitEntry({ kind, attempt }: Entry, waitMs: number): PendingEvent<AppliedEntry> {
    return awaitEvent(
      this._options.clock,
      this._onEntry.event,
      ({ entry }) => entry.kind === kind && entry.attempt === attempt,
      waitMs,
    );
  }

  private _append(entry: Entry): Promise<AppendOutcome> {
    return new Promise((resolve) => {
      this._queue.push({ entry, resolve });
      if (!this._isAppending) {
        this._isAppending = true;
        runInBackground('claim.append', () => this._appendTask());
      }
    });
  }

  /**
   * Appends batches until the queue is empty. An append without a response delays the next ones
   * only when `MAX_APPENDS_IN_FLIGHT` are waiting.
   */
  private async _appendTask(): Promise<void> {
    const { batchWaitMs = DEFAULT_BATCH_WAIT_MS, clock } = this._options;
    const inFlight = new Set<Promise<void>>();
    try {
      while (this._queue.length > 0) {
        await clock.sleep(batchWaitMs);
        if (inFlight.size >= MAX_APPENDS_IN_FLIGHT) {
          await Promise.race(inFlight);
        }
        const sent = this._appendBatch(this._queue.splice(0, MAX_ENTRIES_PER_APPEND));
        inFlight.add(sent);
        runInBackground('claim.append', () => sent.then(() => inFlight.delete(sent)));
      }
    } finally {
      this._isAppending = false;
    }
  }

  private async _appendBatch(batch: readonly QueuedEntry[]): Promise<void> {
    const { log, stream } = this._options;
    const payload = JSON.stringify({ entries: batch.map(({ entry }) => entry) });
    const appended = await log.append(stream, payload);
    const outcome = appended.isOk ? AppendOutcome.Appended : appendOutcomeOf(appended.error.kind);
    for (const { resolve } of batch) {
      resolve(outcome);
    }
  }

  private async _readTask(): Promise<void> {
    const { clock, log, logger, stream } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      const waitMs = this._isReady ? READ_WAIT_MS : 0;
      const page = await log.read(stream, this._nextOffset, MAX_RECORDS_PER_READ, waitMs);
      if (page.isOk) {
        this._applyPage(page.value);
      } else if (page.error.kind === ErrorKind.RecordsExpired) {
        await this._skipExpired();
      } else {
        logger.log(LogLevel.Debug, page.error.message, { stream });
        await clock.sleep(READ_RETRY_MS, signal);
      }
    }
  }

  private _applyPage(page: LogPage): void {
    for (const { offset, payload } of page.records) {
      this._nextOffset = offset + 1;
      this._applyRecord(payload);
    }
    if (!this._isReady && this._nextOffset >= page.tail) {
      this._isReady = true;
      this._onReady.fire();
    }
  }

  /** Skips to the first record that the log still holds; expired ones predate all accepted keys. */
  private async _skipExpired(): Promise<void> {
    const { clock, log, stream } = this._options;
    const bounds = await log.read(stream, Number.MAX_SAFE_INTEGER, 1, 0);
    if (bounds.isOk) {
      this._nextOffset = Math.max(this._nextOffset, bounds.value.first);
    } else {
      await clock.sleep(READ_RETRY_MS, this.disposalSignal);
    }
  }

  private _applyRecord(payload: string): void {
    const batch = parseBatch(payload);
    if (batch === undefined) {
      const { logger, stream } = this._options;
      logger.log(LogLevel.Warn, 'skipping a claim record that cannot be parsed', { stream });
      return;
    }
    for (const entry of batch) {
      this._onEntry.fire({ entry, state: this._applyEntry(entry) });
    }
  }

  /** Never grants a claim of an expired key: an earlier claim may be gone from the index. */
  private _applyEntry(entry: Entry): KeyState | undefined {
    const isExpiredClaim = entry.kind === EntryKind.Claim && this._options.isExpired(entry.key);
    return isExpiredClaim ? this._index.find(entry.key) : this._index.apply(entry);
  }

  private async _expiryTask(): Promise<void> {
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      await this._options.clock.sleep(EXPIRY_INTERVAL_MS, signal);
      this._index.expire(this._options.isExpired);
    }
  }
}

function appendOutcomeOf(kind: ErrorKind): AppendOutcome {
  return kind === ErrorKind.AppendUnknown ? AppendOutcome.Unknown : AppendOutcome.Refused;
}

function parseBatch(payload: string): readonly Entry[] | undefined {
  try {
    const parsed = batchSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data.entries : undefined;
  } catch {
    return undefined;
  }
}
