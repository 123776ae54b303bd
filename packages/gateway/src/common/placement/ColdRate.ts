/**
 * Paces the requests to a cold target, which crashes if it gets many more in one second than its
 * service states. Load pattern: a zone returns with cold engines and looks the emptiest to every node
 * at the same moment. Requests that are made up for, nodes that decide alone, and nodes that can't
 * reach each other would exceed the rate in some second, so each of them has a bounded part of it.
 */
import { RequestRate } from './RequestRate.js';

/** Time of which unused requests may be made up for. The rate must hold in each second. */
const MAX_CREDIT_MS = 150;
/**
 * How long a turn of a node lasts. Turns that are not used end, so that those of all nodes do not add
 * up while the target gets few requests.
 */
const TURN_MS = 250;
/**
 * Shares of the rate for the standby of a coordinator and for the turns of all nodes that decide
 * alone. All may decide at the same moment without messages of each other, and the whole must stay
 * below one and a half times the rate.
 */
const STANDBY_SHARE = 0.25;
const TURNS_SHARE = 0.25;
const MS_PER_SECOND = 1_000;

/** The part of the rate of a cold target that a decision of this node may use. */
export interface ColdShare {
  /** Part for all nodes that this one can reach, from 0 to 1. */
  readonly reachable: number;
  /** Whether this node decides as the standby of a coordinator that may decide as well. */
  readonly isStandby: boolean;
  /**
   * This node's part of the turns, from 0 to 1, if it does not see what others send; `undefined` if it
   * does.
   */
  readonly turns: number | undefined;
}

/** The pace of the requests to one cold target. */
export class ColdRate {
  /** The requests of all nodes, as far as this one sees them. */
  private readonly _shared: RequestRate;
  /** The requests that this node places as a standby. */
  private readonly _asStandby: RequestRate;
  private _placedAt = Number.NEGATIVE_INFINITY;

  /** @param _phase position of this node's turns in their interval, from 0 to 1 */
  constructor(
    private _requestsPerSecond: number,
    private readonly _startedAt: number,
    private readonly _phase: number,
  ) {
    this._shared = new RequestRate(_requestsPerSecond, _startedAt, MAX_CREDIT_MS);
    this._asStandby = new RequestRate(_requestsPerSecond, _startedAt, MAX_CREDIT_MS);
  }

  public set requestsPerSecond(value: number) {
    this._requestsPerSecond = value;
    this._shared.requestsPerSecond = value;
    this._asStandby.requestsPerSecond = value;
  }

  /** Time between two requests of the nodes that use the same part of the rate. */
  public intervalMs({ isStandby, reachable, turns }: ColdShare): number {
    return turns === undefined
      ? this._shared.intervalMs(reachable * (isStandby ? STANDBY_SHARE : 1))
      : this._turnIntervalMs(turns);
  }

  /** Time until a request may be sent; 0 if it may be sent now. */
  public waitMs(now: number, { isStandby, reachable, turns }: ColdShare): number {
    return Math.max(
      this._shared.waitMs(now, reachable),
      isStandby ? this._asStandby.waitMs(now, reachable * STANDBY_SHARE) : 0,
      turns === undefined ? 0 : this._turnWaitMs(now, turns),
    );
  }

  /** Counts a request of any node. */
  public count(now: number, reachable: number): void {
    this._shared.count(now, reachable);
  }

  /** Records that this node placed a request, besides counting it. */
  public recordPlaced(now: number, { isStandby, reachable }: ColdShare): void {
    this._placedAt = now;
    if (isStandby) {
      this._asStandby.count(now, reachable * STANDBY_SHARE);
    }
  }

  private _turnIntervalMs(turns: number): number {
    return MS_PER_SECOND / (this._requestsPerSecond * turns * TURNS_SHARE);
  }

  /** Turns begin at times that differ between nodes, as each has its own phase. */
  private _turnWaitMs(now: number, turns: number): number {
    const intervalMs = this._turnIntervalMs(turns);
    const elapsed = (now - this._startedAt) / intervalMs + this._phase;
    const sinceTurnMs = (elapsed - Math.floor(elapsed)) * intervalMs;
    const isOpen = sinceTurnMs < TURN_MS && now - this._placedAt > sinceTurnMs;
    return isOpen ? 0 : intervalMs - sinceTurnMs;
  }
}
