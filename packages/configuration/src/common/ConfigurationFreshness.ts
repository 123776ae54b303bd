/**
 * Decides whether the configuration of this node is recent enough to admit requests. A node that
 * can reach neither the log nor half of its known peers may miss a change, and so may one that
 * stays behind its peers; both stop admitting. Peers that were declared dead still count as known,
 * so that a mass failure doesn't lower the number of peers required. A peer is removed only when it
 * leaves, or when the platform no longer lists its host.
 */
import { type Clock, DisposableOwner, type TimeLine } from '@tanagerdyke/kernel';
import { type Membership, MemberStatus } from '@tanagerdyke/mesh';
import type { ConfigurationFollower } from './ConfigurationFollower.js';
import type { PeerCatchUp } from './PeerCatchUp.js';

/** Maximum age of the last successful read of the log. */
const MAX_LOG_READ_AGE_MS = 3_500;
/** Maximum age of the last datagram from a peer. */
const MAX_PEER_CONTACT_AGE_MS = 2_500;
/** Maximum time for which a node may be behind its peers. */
const MAX_BEHIND_MS = 3_500;

export interface FreshnessOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly follower: ConfigurationFollower;
  readonly catchUp: PeerCatchUp;
  readonly timeLine: TimeLine;
}

/** Evaluates whether this node may admit requests under its configuration. */
export class ConfigurationFreshness extends DisposableOwner {
  private readonly _knownPeers = new Set<string>();
  private _wasFresh = false;

  constructor(private readonly _options: FreshnessOptions) {
    super();
    this.register(
      _options.membership.onChange(({ name, status }) => {
        if (status === MemberStatus.Left) {
          this._knownPeers.delete(name);
        } else if (name !== _options.membership.self.name) {
          this._knownPeers.add(name);
        }
      }),
    );
  }

  /** Removes a peer whose host the platform has permanently removed. */
  public removePeer(name: string): void {
    this._knownPeers.delete(name);
  }

  /** Whether this node may admit requests. Each change is recorded on the time line. */
  public get isFresh(): boolean {
    const isFresh = this._evaluate();
    if (isFresh !== this._wasFresh) {
      this._wasFresh = isFresh;
      this._options.timeLine.record('configuration.freshness', { isFresh });
    }
    return isFresh;
  }

  private _evaluate(): boolean {
    const { catchUp, clock, follower } = this._options;
    if (!follower.isReady || catchUp.behindMs > MAX_BEHIND_MS) {
      return false;
    }
    if (!this._hasResponseSincePause()) {
      return false;
    }
    const hasLog = clock.now() - follower.logReadStartedAt <= MAX_LOG_READ_AGE_MS;
    return hasLog || this._reachesHalfOfPeers();
  }

  /** Whether the log or a peer answered a request sent after the last pause of this node. */
  private _hasResponseSincePause(): boolean {
    const { catchUp, follower, membership } = this._options;
    const { resumedAt } = membership;
    return follower.logReadStartedAt >= resumedAt || catchUp.pullStartedAt >= resumedAt;
  }

  private _reachesHalfOfPeers(): boolean {
    const { clock, membership } = this._options;
    if (clock.now() - membership.lastContactAt > MAX_PEER_CONTACT_AGE_MS) {
      return false;
    }
    const alive = [...this._knownPeers].filter(
      (name) => membership.find(name)?.status === MemberStatus.Alive,
    );
    return alive.length * 2 >= this._knownPeers.size;
  }
}
