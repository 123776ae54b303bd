/**
 * Claims idempotency keys for attempts of this node. Log order decides a claim in every layout in
 * force: while the number of shards changes, a claim must win in the retiring layouts first and
 * then in the current one. An attempt that misses its deadline is abandoned before its verdict is
 * returned, so that a late response can't revive it, and is voided in the log by a release record.
 */
import {
  type Clock,
  DisposableOwner,
  keepRunning,
  type Logger,
  runInBackground,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { PlatformLog } from '@tanagerdyke/contracts';
import type { Membership, Transport } from '@tanagerdyke/mesh';
import { keyTime } from './IdempotencyKey.js';
import {
  AppendOutcome,
  type ClaimEntry,
  claimStream,
  type Entry,
  EntryKind,
  type FindResponse,
  KeyStatus,
  type StoredAnswer,
} from './Messages.js';
import { ShardCommitter } from './ShardCommitter.js';
import { ShardRouter } from './ShardRouter.js';

/** The outcome of a claim. */
export enum ClaimVerdict {
  /** Only this attempt may dispatch, and only once. */
  Won = 'won',
  /** Another attempt holds the key. */
  Lost = 'lost',
  /** The claim is not in the log and never will be; this attempt will never dispatch. */
  Refused = 'refused',
  /** The claim was not decided by the deadline; this attempt will never dispatch. */
  Abandoned = 'abandoned',
}

/** The shard layouts and the claim window of the configuration in force. */
export interface ClaimLayout {
  /** Shard counts that are being replaced, oldest first. */
  readonly retiringShards: readonly number[];
  /** The current shard count. */
  readonly shards: number;
  /** Maximum age of a key that is still accepted. */
  readonly windowMs: number;
}

export interface ClaimLedgerOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly logger: Logger;
  readonly timeLine: TimeLine;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly layout: () => ClaimLayout;
}

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2_000;
/** How often this node updates which shards it tails. */
const ASSIGNMENT_INTERVAL_MS = 1_000;
/** How long keys stay indexed after the window, because the clocks of nodes differ. */
const WINDOW_MARGIN_MS = 120_000;

/** Submits claims, outcomes and releases to the claim log and finds the states of keys. */
export class ClaimLedger extends DisposableOwner {
  private readonly _committer: ShardCommitter;
  private readonly _router: ShardRouter;
  private _hasAssignment = false;

  constructor(private readonly _options: ClaimLedgerOptions) {
    super();
    const { clock, log, logger, membership, transport } = _options;
    const isExpired = (key: string): boolean =>
      clock.wallTime() - keyTime(key) > _options.layout().windowMs + WINDOW_MARGIN_MS;
    this._committer = this.register(
      new ShardCommitter({ clock, log, logger, transport, isExpired }),
    );
    const localCommitter = this._committer;
    this._router = new ShardRouter({ clock, transport, membership, localCommitter });
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'claim.assignment', () =>
      this._assignmentTask(),
    );
  }

  /** Whether this node has replayed the shards it is a committer of to their tails. */
  public get isReady(): boolean {
    return this._hasAssignment && this._committer.isReady;
  }

  public get indexedKeys(): number {
    return this._committer.indexedKeys;
  }

  /** Claims a key for `entry.attempt`; a claim undecided at `deadline` is abandoned. */
  public async claim(entry: ClaimEntry, deadline: number): Promise<ClaimVerdict> {
    const { clock, timeLine } = this._options;
    const verdict = await this._claimInLayouts(entry, deadline);
    const isLate = clock.now() >= deadline && verdict !== ClaimVerdict.Lost;
    const decided = isLate ? ClaimVerdict.Abandoned : verdict;
    if (decided === ClaimVerdict.Abandoned) {
      runInBackground('claim.release', () => this.release(entry.key, entry.attempt));
    }
    timeLine.record('claim.decided', {
      key: entry.key,
      attempt: entry.attempt,
      verdict: decided,
    });
    return decided;
  }

  /**
   * The recorded state of a key; waits while it is claimed and `deadline` hasn't passed. The
   * current layout is queried first, because a claim is won only once it holds there.
   */
  public async find(key: string, deadline: number): Promise<FindResponse> {
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

  /** Records the outcome of the dispatch of a won claim; retried until appended, for one window. */
  public recordOutcome(
    key: string,
    attempt: string,
    answer: StoredAnswer | undefined,
  ): Promise<void> {
    return this._submitUntilAppended({ kind: EntryKind.Outcome, key, attempt, answer });
  }

  /** Releases or voids a claim whose attempt sent no byte and never will. */
  public release(key: string, attempt: string): Promise<void> {
    return this._submitUntilAppended({ kind: EntryKind.Release, key, attempt });
  }

  private async _claimInLayouts(entry: ClaimEntry, deadline: number): Promise<ClaimVerdict> {
    let verdict = ClaimVerdict.Refused;
    for (const [index, shards] of this._layouts().entries()) {
      verdict = await this._claimInLayout(entry, shards, deadline);
      if (verdict !== ClaimVerdict.Won) {
        return index > 0 ? this._releasePartialClaim(entry, verdict) : verdict;
      }
    }
    return verdict;
  }

  /** Releases a claim that won only some layouts, so that it does not hold the key there. */
  private _releasePartialClaim(entry: ClaimEntry, verdict: ClaimVerdict): ClaimVerdict {
    if (verdict === ClaimVerdict.Lost) {
      runInBackground('claim.release', () => this.release(entry.key, entry.attempt));
    }
    return verdict === ClaimVerdict.Refused ? ClaimVerdict.Abandoned : verdict;
  }

  private async _claimInLayout(
    entry: ClaimEntry,
    shards: number,
    deadline: number,
  ): Promise<ClaimVerdict> {
    const shard = this._router.shardOf(entry.key, shards);
    const { fate: outcome, state } = await this._router.submit(shard, entry, deadline);
    if (outcome === AppendOutcome.Refused) {
      return ClaimVerdict.Refused;
    }
    if (outcome === AppendOutcome.Unknown) {
      return ClaimVerdict.Abandoned;
    }
    const isWon = state?.status === KeyStatus.Claimed && state.attempt === entry.attempt;
    return isWon ? ClaimVerdict.Won : ClaimVerdict.Lost;
  }

  private async _submitUntilAppended(entry: Entry): Promise<void> {
    const { clock, layout } = this._options;
    const deadline = clock.now() + layout().windowMs;
    const submissions = this._layouts().map((shards) =>
      this._submitToLayout(entry, shards, deadline),
    );
    await Promise.all(submissions);
  }

  private async _submitToLayout(entry: Entry, shards: number, deadline: number): Promise<void> {
    const { clock } = this._options;
    const shard = this._router.shardOf(entry.key, shards);
    let delayMs = INITIAL_RETRY_DELAY_MS;
    while (clock.now() < deadline && !this.isDisposed) {
      const { fate: outcome } = await this._router.submit(shard, entry, deadline);
      if (outcome === AppendOutcome.Appended) {
        return;
      }
      await clock.sleep(delayMs, this.disposalSignal);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
  }

  /** Opens the shards that this node is a committer of and closes all others. */
  private async _assignmentTask(): Promise<void> {
    const { clock } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      const streams = new Set<string>();
      for (const shards of this._layouts()) {
        for (let shard = 0; shard < shards; shard++) {
          if (this._router.isCommitter({ shards, shard })) {
            streams.add(claimStream({ shards, shard }));
            this._committer.open({ shards, shard });
          }
        }
      }
      this._committer.keepOnly((stream) => streams.has(stream));
      this._hasAssignment = true;
      await clock.sleep(ASSIGNMENT_INTERVAL_MS, signal);
    }
  }

  /** Shard counts of the layouts, in the order in which a claim must win them. */
  private _layouts(): readonly number[] {
    const { retiringShards, shards } = this._options.layout();
    return [...retiringShards.filter((each) => each !== shards), shards];
  }
}
