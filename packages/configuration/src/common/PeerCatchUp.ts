/**
 * Pulls the configuration from peers. A node that is behind, or whose set has diverged, pulls from
 * a peer with a greater offset, so that a node that can't reach the log but still reaches its peers
 * catches up within seconds.
 */
import { type Clock, DisposableOwner, keepRunning, type ServiceError } from '@tanagerdyke/kernel';
import {
  checkedHandler,
  Delivery,
  type Member,
  type Membership,
  type Transport,
} from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import type { ConfigurationFollower } from './ConfigurationFollower.js';
import {
  PULL_METHOD,
  type PullResponse,
  type PullRequest,
  pullResponseSchema,
  pullRequestSchema,
  type Snapshot,
} from './Messages.js';
import { ObjectSet } from './ObjectSet.js';

/** Interval at which this node compares its offset with those of its peers. */
const CHECK_INTERVAL_MS = 400;
const PULL_TIMEOUT_MS = 2_000;
/** Peers that a node pulls from when it starts while the log is down. */
const MAX_START_PEERS = 5;

export interface PeerCatchUpOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly follower: ConfigurationFollower;
}

/** Pulls from peers when this node is behind, and handles the pull requests of peers. */
export class PeerCatchUp extends DisposableOwner {
  private _behindSince: number | undefined;
  private _pullStartedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _options: PeerCatchUpOptions) {
    super();
    this.register(
      _options.transport.handle(
        PULL_METHOD,
        checkedHandler(pullRequestSchema, (request) => this._handlePull(request)),
      ),
    );
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'configuration.catch-up', () =>
      this._run(),
    );
  }

  /**
   * When the last successful pull was sent, for the reason given at
   * `ConfigurationFollower.logReadStartedAt`; -Infinity before the first.
   */
  public get pullStartedAt(): number {
    return this._pullStartedAt;
  }

  /** Time for which some peer has been ahead of this node without interruption; 0 if none is. */
  public get behindMs(): number {
    return this._behindSince === undefined ? 0 : this._options.clock.now() - this._behindSince;
  }

  private async _run(): Promise<void> {
    const { clock, follower } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      const ahead = this._peersAhead();
      if (ahead.length === 0) {
        this._behindSince = undefined;
        await this._pullAfterPause();
      } else {
        this._behindSince ??= clock.now();
        await this._pullFrom(ahead[0]);
      }
      if (!follower.isReady && follower.isLogDown) {
        await this._startFromPeers();
      }
    }
  }

  /** Pulls immediately after a pause of this node: the offsets received before may be outdated. */
  private async _pullAfterPause(): Promise<void> {
    const { membership } = this._options;
    if (membership.resumedAt > this._pullStartedAt) {
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

  /** Starts without the log, from the peers with the greatest offsets that can be reached. */
  private async _startFromPeers(): Promise<void> {
    const { follower, membership } = this._options;
    const peers = membership.serving.filter(({ name }) => name !== membership.self.name);
    const mostAdvanced = [...peers]
      .sort((a, b) => b.state.configurationOffset - a.state.configurationOffset)
      .slice(0, MAX_START_PEERS);
    let responses = 0;
    for (const peer of mostAdvanced) {
      responses += (await this._pullFrom(peer)) ? 1 : 0;
    }
    if (responses > 0) {
      follower.markReadyFromPeers();
    }
  }

  private async _pullFrom(peer: Member | undefined): Promise<boolean> {
    const { follower, transport } = this._options;
    if (peer === undefined) {
      return false;
    }
    const startedAt = this._options.clock.now();
    const params = {
      offset: follower.inForce.offset,
      wantsSnapshot: follower.hasDiverged,
    };
    const response = await transport.request(
      peer.peerAddress,
      PULL_METHOD,
      params,
      PULL_TIMEOUT_MS,
      Delivery.AtLeastOnce,
    );
    const parsed = response.isOk ? pullResponseSchema.safeParse(response.value) : undefined;
    if (parsed?.success !== true) {
      return false;
    }
    this._pullStartedAt = startedAt;
    const { records, snapshot } = parsed.data;
    if (snapshot !== undefined) {
      this._installSnapshot(snapshot);
    }
    for (const record of records) {
      follower.applyRecord(record);
    }
    return true;
  }

  private _installSnapshot({ offset, digest, ids, objects }: Snapshot): void {
    const set = ObjectSet.of(objects);
    if (set.digest === digest) {
      this._options.follower.installSnapshot({ offset, set, ids });
    }
  }

  private _handlePull({ offset, wantsSnapshot }: PullRequest): Result<PullResponse, ServiceError> {
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
