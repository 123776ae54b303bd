/**
 * The claims of this node. A claim is decided by log order in every layout that is in force: while
 * the number of shards changes, a claim must win in the retiring layouts first and then in the
 * current one. An attempt that is abandoned is marked before anyone is told, so that a late answer
 * can't revive it, and is voided in the log.
 */
import { type Clock, DisposableOwner, type Logger, type TimeLine } from '@tanagerdyke/kernel';
import type { PlatformLog } from '@tanagerdyke/contracts';
import type { Membership, Transport } from '@tanagerdyke/mesh';
import { keyTime } from './IdempotencyKey.js';
import {
  AppendFate,
  type ClaimEntry,
  claimStream,
  type Entry,
  EntryKind,
  type FindAnswer,
  KeyStatus,
  type StoredAnswer,
} from './Messages.js';
import { ShardCommitter } from './ShardCommitter.js';
import { ShardRouter } from './ShardRouter.js';

/** How a claim ended. */
export enum ClaimVerdict {
  /** This attempt alone may dispatch, once. */
  Won = 'won',
  /** Another attempt holds the key. */
  Lost = 'lost',
  /** The log took nothing, and this attempt will never dispatch. */
  Refused = 'refused',
  /** The deadline passed first; this attempt is abandoned and will never dispatch. */
  Abandoned = 'abandoned',
}

/** The layouts and times of the configuration in force. */
export interface ClaimLayout {
  /** Shard counts that are being replaced, oldest first. */
  readonly retiringShards: readonly number[];
  readonly shards: number;
  readonly windowMs: number;
}

/** What a ledger needs. */
export interface LedgerOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly logger: Logger;
  readonly timeLine: TimeLine;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly layout: () => ClaimLayout;
}

const FIRST_RETRY_MS = 50;
const LAST_RETRY_MS = 2_000;
/** Interval of adjusting which shards this node tails. */
const ASSIGNMENT_INTERVAL_MS = 1_000;
/** Time past the window for which keys stay indexed, for clocks that differ. */
const WINDOW_MARGIN_MS = 120_000;

/** The claim ledger of one node. */
export class ClaimLedger extends DisposableOwner {
  private readonly _committer: ShardCommitter;
  private readonly _router: ShardRouter;
  private _hasAssignment = false;

  constructor(private readonly _options: LedgerOptions) {
    super();
    const { clock, log, logger, membership, transport } = _options;
    const isExpired = (key: string): boolean =>
      clock.wallTime() - keyTime(key) > _options.layout().windowMs + WINDOW_MARGIN_MS;
    this._committer = this.register(
      new ShardCommitter({ clock, log, logger, transport, isExpired }),
    );
    const local = this._committer;
    this._router = new ShardRouter({ clock, transport, membership, local });
  }

  public start(): void {
    void this._assignmentTask();
  }

  /** Whether the shards that this node commits were replayed to their tails. */
  public get isReady(): boolean {
    return this._hasAssignment && this._committer.isReady;
  }

  public get indexedKeys(): number {
    return this._committer.indexedKeys;
  }

  /** Claims a key for `entry.attempt`, decided at `deadline` at the latest. */
  public async claim(entry: ClaimEntry, deadline: number): Promise<ClaimVerdict> {
    const { clock, timeLine } = this._options;
    const verdict = await this._claimInLayouts(entry, deadline);
    const isLate = clock.now() >= deadline && verdict !== ClaimVerdict.Lost;
    const decided = isLate ? ClaimVerdict.Abandoned : verdict;
    if (decided === ClaimVerdict.Abandoned) {
      void this.release(entry.key, entry.attempt);
    }
    timeLine.record('claim.decided', {
      key: entry.key,
      attempt: entry.attempt,
      verdict: decided,
    });
    return decided;
  }

  /**
   * What is known of a key; waits while it is claimed and `deadline` hasn't passed. The current
   * layout is asked first, since a claim isn't won before it holds there.
   */
  public async find(key: string, deadline: number): Promise<FindAnswer> {
    let isComplete = true;
    for (const shards of this._layouts().toReversed()) {
      const shard = this._router.shardOf(key, shards);
      const found = await this._router.find(shard, key, deadline);
      isComplete &&= found.isComplete;
      if (found.state !== undefined && found.state.status !== KeyStatus.Released) {
        return found;
      }
    }
    return { isComplete };
  }

  /** Records how the dispatch of a won claim ended; retried until the log takes it. */
  public recordOutcome(
    key: string,
    attempt: string,
    answer: StoredAnswer | undefined,
  ): Promise<void> {
    return this._submitUntilAppended({ kind: EntryKind.Outcome, key, attempt, answer });
  }

  /** Gives back or voids a claim whose attempt sent no byte and never will. */
  public release(key: string, attempt: string): Promise<void> {
    return this._submitUntilAppended({ kind: EntryKind.Release, key, attempt });
  }

  private async _claimInLayouts(entry: ClaimEntry, deadline: number): Promise<ClaimVerdict> {
    let verdict = ClaimVerdict.Refused;
    for (const [index, shards] of this._layouts().entries()) {
      verdict = await this._claimInLayout(entry, shards, deadline);
      if (verdict !== ClaimVerdict.Won) {
        return index > 0 ? this._giveBackPart(entry, verdict) : verdict;
      }
    }
    return verdict;
  }

  /** A claim that won only some layouts must not keep the key there. */
  private _giveBackPart(entry: ClaimEntry, verdict: ClaimVerdict): ClaimVerdict {
    if (verdict === ClaimVerdict.Lost) {
      void this.release(entry.key, entry.attempt);
    }
    return verdict === ClaimVerdict.Refused ? ClaimVerdict.Abandoned : verdict;
  }

  private async _claimInLayout(
    entry: ClaimEntry,
    shards: number,
    deadline: number,
  ): Promise<ClaimVerdict> {
    const shard = this._router.shardOf(entry.key, shards);
    const { fate, state } = await this._router.submit(shard, entry, deadline);
    if (fate === AppendFate.Refused) {
      return ClaimVerdict.Refused;
    }
    if (fate === AppendFate.Unknown) {
      return ClaimVerdict.Abandoned;
    }
    const isWon = state?.status === KeyStatus.Claimed && state.attempt === entry.attempt;
    return isWon ? ClaimVerdict.Won : ClaimVerdict.Lost;
  }

  private async _submitUntilAppended(entry: Entry): Promise<void> {
    const { clock, layout } = this._options;
    const deadline = clock.now() + layout().windowMs;
    const done = this._layouts().map((shards) => this._submitOne(entry, shards, deadline));
    await Promise.all(done);
  }

  private async _submitOne(entry: Entry, shards: number, deadline: number): Promise<void> {
    const { clock } = this._options;
    const shard = this._router.shardOf(entry.key, shards);
    let pauseMs = FIRST_RETRY_MS;
    while (clock.now() < deadline && !this.isDisposed) {
      const { fate } = await this._router.submit(shard, entry, deadline);
      if (fate === AppendFate.Appended) {
        return;
      }
      await clock.sleep(pauseMs, this.disposal);
      pauseMs = Math.min(pauseMs * 2, LAST_RETRY_MS);
    }
  }

  /** Opens the shards that this node commits and closes those that it no longer does. */
  private async _assignmentTask(): Promise<void> {
    const { clock } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      const wanted = new Set<string>();
      for (const shards of this._layouts()) {
        for (let shard = 0; shard < shards; shard++) {
          if (this._router.isCommitter({ shards, shard })) {
            wanted.add(claimStream({ shards, shard }));
            this._committer.open({ shards, shard });
          }
        }
      }
      this._committer.keepOnly((stream) => wanted.has(stream));
      this._hasAssignment = true;
      await clock.sleep(ASSIGNMENT_INTERVAL_MS, signal);
    }
  }

  /** Shard counts in the order in which a claim must win them. */
  private _layouts(): readonly number[] {
    const { retiringShards, shards } = this._options.layout();
    return [...retiringShards.filter((each) => each !== shards), shards];
  }
}
