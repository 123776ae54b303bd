/**
 * Catching up from peers: a node that is behind, or can't trust its own set, pulls from a peer that
 * is ahead, so that a node cut off from the log alone still follows within seconds.
 */
import { type Clock, DisposableOwner, type ServiceError } from '@tanagerdyke/kernel';
import { checkedHandler, type Member, type Membership, type Transport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import type { ConfigurationFollower } from './ConfigurationFollower.js';
import {
  PULL_METHOD,
  type PullAnswer,
  type PullRequest,
  pullAnswerSchema,
  pullRequestSchema,
  type Snapshot,
} from './Messages.js';
import { ObjectSet } from './ObjectSet.js';

/** Interval of comparing with peers. */
const CHECK_INTERVAL_MS = 400;
const PULL_TIMEOUT_MS = 2_000;
/** Peers asked by a node that starts while the log is down. */
const START_PEERS = 5;

/** What catching up needs. */
export interface CatchUpOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly follower: ConfigurationFollower;
}

/** The catch-up task of one node, and its answers to others. */
export class PeerCatchUp extends DisposableOwner {
  private _behindSince: number | undefined;
  private _pulledAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _options: CatchUpOptions) {
    super();
    this.register(
      _options.transport.handle(
        PULL_METHOD,
        checkedHandler(pullRequestSchema, (request) => this._answerPull(request)),
      ),
    );
  }

  public start(): void {
    void this._task();
  }

  /** When the last pull that a peer answered was asked. */
  public get pulledAt(): number {
    return this._pulledAt;
  }

  /** For how long a peer has been ahead of this node, in milliseconds. */
  public get behindMs(): number {
    return this._behindSince === undefined ? 0 : this._options.clock.now() - this._behindSince;
  }

  private async _task(): Promise<void> {
    const { clock, follower } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      const ahead = this._peersAhead();
      if (ahead.length === 0) {
        this._behindSince = undefined;
        await this._checkAfterPause();
      } else {
        this._behindSince ??= clock.now();
        await this._pullFrom(ahead[0]);
      }
      if (!follower.isReady && follower.isLogDown) {
        await this._startFromPeers();
      }
    }
  }

  /** What peers told before a pause of this node may be old, so one is asked at once. */
  private async _checkAfterPause(): Promise<void> {
    const { membership } = this._options;
    if (membership.resumedAt > this._pulledAt) {
      const peer = membership.serving.find(({ name }) => name !== membership.self.name);
      await this._pullFrom(peer);
    }
  }

  private _peersAhead(): readonly Member[] {
    const { follower, membership } = this._options;
    return membership.live
      .filter(({ state }) => state.configurationOffset > follower.inForce.offset)
      .sort((a, b) => b.state.configurationOffset - a.state.configurationOffset);
  }

  /** With the log down, a node starts from the greatest snapshot of the peers that it reaches. */
  private async _startFromPeers(): Promise<void> {
    const { follower, membership } = this._options;
    const peers = membership.serving.filter(({ name }) => name !== membership.self.name);
    const greatest = [...peers]
      .sort((a, b) => b.state.configurationOffset - a.state.configurationOffset)
      .slice(0, START_PEERS);
    let answers = 0;
    for (const peer of greatest) {
      answers += (await this._pullFrom(peer)) ? 1 : 0;
    }
    if (answers > 0) {
      follower.acceptPeersAsStart();
    }
  }

  private async _pullFrom(peer: Member | undefined): Promise<boolean> {
    const { follower, transport } = this._options;
    if (peer === undefined) {
      return false;
    }
    const askedAt = this._options.clock.now();
    const params = {
      offset: follower.inForce.offset,
      wantsSnapshot: follower.hasDiverged,
    };
    const answer = await transport.request(peer.peerAddress, PULL_METHOD, params, PULL_TIMEOUT_MS);
    const parsed = answer.isOk ? pullAnswerSchema.safeParse(answer.value) : undefined;
    if (parsed?.success !== true) {
      return false;
    }
    this._pulledAt = askedAt;
    const { records, snapshot } = parsed.data;
    if (snapshot !== undefined) {
      this._takeSnapshot(snapshot);
    }
    for (const record of records) {
      follower.takeRecord(record);
    }
    return true;
  }

  private _takeSnapshot({ offset, digest, ids, objects }: Snapshot): void {
    const set = ObjectSet.of(objects);
    if (set.digest === digest) {
      this._options.follower.adopt({ offset, set, ids });
    }
  }

  private _answerPull({ offset, wantsSnapshot }: PullRequest): Result<PullAnswer, ServiceError> {
    const { follower } = this._options;
    const records = wantsSnapshot ? undefined : follower.recordsAfter(offset);
    if (records !== undefined) {
      return Result.ok({ records: [...records] });
    }
    const { inForce } = follower;
    const { set, ids } = inForce;
    const snapshot = {
      offset: inForce.offset,
      digest: set.digest,
      ids: [...ids],
      objects: [...set.objects],
    };
    return Result.ok({ records: [], snapshot });
  }
}
