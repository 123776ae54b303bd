/**
 * Writes checkpoints before the log forgets the records that they stand for. One node, chosen by
 * rendezvous hash, goes first; the others wait a while longer, so that normally a single checkpoint
 * is written, and a second one does no harm.
 */
import { type Clock, DisposableOwner, type RandomSource, type TimeLine } from '@tanagerdyke/kernel';
import type { PlatformLog } from '@tanagerdyke/contracts';
import { type Membership, rankByRendezvous } from '@tanagerdyke/mesh';
import { encodeCheckpoint } from './Checkpoint.js';
import { CONFIGURATION_STREAM, NO_OFFSET } from './ConfigurationRule.js';
import type { ConfigurationFollower } from './ConfigurationFollower.js';

/** Checkpoints within one retention of the log. */
const CHECKPOINTS_PER_RETENTION = 4;
/** Share of the interval that each lower rank waits longer. */
const RANK_DELAY = 0.25;
const MAX_RANK = 4;
const CHECK_INTERVAL_MS = 1_000;

/** What a checkpointer needs. */
export interface CheckpointerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: PlatformLog;
  readonly follower: ConfigurationFollower;
  readonly membership: Membership;
  readonly timeLine: TimeLine;
}

/** The checkpoint task of one node. */
export class Checkpointer extends DisposableOwner {
  constructor(private readonly _options: CheckpointerOptions) {
    super();
  }

  public start(): void {
    void this._task();
  }

  private async _task(): Promise<void> {
    const { clock, follower } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (follower.isReady && follower.inForce.offset !== NO_OFFSET && this._isDue()) {
        await this._write();
      }
    }
  }

  private _isDue(): boolean {
    const { clock, follower } = this._options;
    const { logRetentionMs } = follower.set.system;
    const intervalMs = logRetentionMs / CHECKPOINTS_PER_RETENTION;
    const delayMs = intervalMs * RANK_DELAY * Math.min(MAX_RANK, this._rank());
    return clock.now() - follower.checkpointSeenAt > intervalMs + delayMs;
  }

  private _rank(): number {
    const { self, serving } = this._options.membership;
    const names = serving.map(({ name }) => name);
    return Math.max(0, rankByRendezvous(CONFIGURATION_STREAM, names).indexOf(self.name));
  }

  private async _write(): Promise<void> {
    const { follower, log, random, timeLine } = this._options;
    const { inForce } = follower;
    const parts = encodeCheckpoint(random.identifier(), inForce);
    for (const payload of parts) {
      const appended = await log.append(CONFIGURATION_STREAM, payload);
      if (appended.isErr) {
        // An unfinished checkpoint is never used; the next interval writes a new one.
        return;
      }
    }
    timeLine.record('configuration.checkpoint', { of: inForce.offset, parts: parts.length });
  }
}
