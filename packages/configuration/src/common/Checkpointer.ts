/**
 * Writes checkpoints before the log discards the records that they replace. Nodes are ranked by
 * rendezvous hash, and each waits longer than the one before it, so that normally only the first
 * one writes a checkpoint. A duplicate has no effect.
 */
import {
  type Clock,
  DisposableOwner,
  keepRunning,
  type RandomSource,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { PlatformLog } from '@tanagerdyke/contracts';
import { type Membership, rankByRendezvous } from '@tanagerdyke/mesh';
import { encodeCheckpoint } from './Checkpoint.js';
import { CONFIGURATION_STREAM, NO_OFFSET } from './ConfigurationRule.js';
import type { ConfigurationFollower } from './ConfigurationFollower.js';

/** Checkpoints per retention time of the log. */
const CHECKPOINTS_PER_RETENTION = 4;
/** Additional wait per rank, as a fraction of the checkpoint interval. */
const RANK_DELAY_FRACTION = 0.25;
/** Greater ranks wait as long as this one. */
const MAX_RANK = 4;
const CHECK_INTERVAL_MS = 1_000;

export interface CheckpointerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: PlatformLog;
  readonly follower: ConfigurationFollower;
  readonly membership: Membership;
  readonly timeLine: TimeLine;
}

/** Writes a checkpoint when none was read from the stream for a checkpoint interval. */
export class Checkpointer extends DisposableOwner {
  constructor(private readonly _options: CheckpointerOptions) {
    super();
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'configuration.checkpoints', () =>
      this._run(),
    );
  }

  private async _run(): Promise<void> {
    const { clock, follower } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (follower.isReady && follower.inForce.offset !== NO_OFFSET && this._isDue()) {
        await this._writeCheckpoint();
      }
    }
  }

  private _isDue(): boolean {
    const { clock, follower } = this._options;
    const { logRetentionMs } = follower.set.system;
    const intervalMs = logRetentionMs / CHECKPOINTS_PER_RETENTION;
    const delayMs = intervalMs * RANK_DELAY_FRACTION * Math.min(MAX_RANK, this._rank());
    return clock.now() - follower.checkpointSeenAt > intervalMs + delayMs;
  }

  private _rank(): number {
    const { self, serving } = this._options.membership;
    const names = serving.map(({ name }) => name);
    return Math.max(0, rankByRendezvous(CONFIGURATION_STREAM, names).indexOf(self.name));
  }

  private async _writeCheckpoint(): Promise<void> {
    const { follower, log, random, timeLine } = this._options;
    const { inForce } = follower;
    const parts = encodeCheckpoint(random.identifier(), inForce);
    for (const payload of parts) {
      const appended = await log.append(CONFIGURATION_STREAM, payload);
      if (appended.isErr) {
        // Readers ignore an incomplete checkpoint; the next check writes a new one.
        return;
      }
    }
    timeLine.record('configuration.checkpoint', { of: inForce.offset, parts: parts.length });
  }
}
