/**
 * The nodes that drain and still accept requests, for callers that ask for addresses while too few nodes
 * are ready. A node is listed for a short time only: it counts as not ready within four seconds of its
 * termination signal, and callers keep an address for two.
 */
import { type Clock, DisposableOwner } from '@tanagerdyke/kernel';
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import { isAcceptingInDrain } from './DrainPeers.js';

/** Time for which a node is listed after it was seen to drain, which takes up to a second. */
const LISTED_MS = 2_500;

export interface DrainingNodesOptions {
  readonly clock: Clock;
  readonly membership: Membership;
}

/** A process of a node, and when it began to drain. */
interface Drain {
  readonly startedAt: number;
  /** Undefined while it does not drain. */
  readonly since: number | undefined;
}

/** Records when nodes started to drain. */
export class DrainingNodes extends DisposableOwner {
  /** By name; the entry of a process replaces that of the one before it. */
  private readonly _drains = new Map<string, Drain>();

  constructor(private readonly _options: DrainingNodesOptions) {
    super();
    const { membership } = _options;
    for (const member of membership.live) {
      this._record(member);
    }
    this.register(
      membership.onChange((member) => {
        this._record(member);
      }),
    );
  }

  /** Nodes that callers may use while too few are ready. */
  public get listed(): readonly Member[] {
    const { clock, membership } = this._options;
    const now = clock.now();
    return membership.live.filter((member) => {
      const since = this._drains.get(member.name)?.since;
      return isAcceptingInDrain(member) && since !== undefined && now - since < LISTED_MS;
    });
  }

  /** A process that was first seen while it drained may have done so for long. */
  private _record({ name, startedAt, state, status }: Member): void {
    const known = this._drains.get(name);
    if (status === MemberStatus.Dead || status === MemberStatus.Left) {
      this._drains.delete(name);
    } else if (known?.startedAt !== startedAt) {
      this._drains.set(name, {
        startedAt,
        since: state.isDraining ? Number.NEGATIVE_INFINITY : undefined,
      });
    } else if (state.isDraining && known.since === undefined) {
      this._drains.set(name, { startedAt, since: this._options.clock.now() });
    }
  }
}
