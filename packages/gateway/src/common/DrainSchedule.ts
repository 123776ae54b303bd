/**
 * Decides what a draining node accepts, when refused callers are to return, and when it ends.
 * Callers keep addresses for some seconds, so the node still accepts requests at first. It stops early
 * enough for the longest usual answers to complete before the process is killed. Addresses the load
 * pattern that all nodes of a zone are stopped at the same moment, or one after the other: while too
 * few nodes are ready, half of the draining ones of each zone accept for longer, and the others end early,
 * so that they are back before the first half stops.
 */

/** Share of the time until the process is killed during which new requests are accepted. */
const ACCEPT_TIME_SHARE = 0.3;
/** The same while too few nodes are ready; what remains is enough for most answers. */
const LATE_ACCEPT_TIME_SHARE = 0.6;
/** Callers switch to other addresses within this time. */
const MIN_DRAIN_MS = 2_500;
/** A node without requests for this long may exit. */
const MIN_IDLE_MS = 1_000;
/** The node answers what is unanswered this long before the process is killed. */
const LAST_ANSWER_MARGIN_MS = 1_000;
/** The node exits by itself this long before it would be killed. */
const SHUTDOWN_MARGIN_MS = 700;
/** Retry-After while another node accepts requests: the caller only has to change the address. */
const OTHER_NODE_RETRY_AFTER_MS = 20;
/** Retry-After while none does: nodes that have ended are back after about this time. */
const NO_NODE_RETRY_AFTER_MS = 1_000;
/** Refused callers return spread over this time. */
const RETRY_SPREAD_MS = 1_000;

/** The request activity of a draining node. */
export interface DrainActivity {
  /** Requests in flight. */
  readonly running: number;
  /** When the last request arrived, on the node's clock; negative infinity when none did. */
  readonly lastRequestAt: number;
}

/** The other nodes, as the membership lists them. */
export interface DrainPeers {
  /** Whether any node is ready. */
  readonly isAnyReady: boolean;
  /** Whether the ready nodes are enough to take over from those that drain. */
  readonly areEnoughReady: boolean;
  /** Whether another node of the zone drains and still accepts requests. */
  readonly isAnyAccepting: boolean;
  /** Position of this node among the draining ones of its zone, in an order that all of them use. */
  readonly rank: number;
}

/** The schedule of one drain. All times are on the node's clock. */
export class DrainSchedule {
  constructor(
    private readonly _startedAt: number,
    /** Time from the termination signal until the process is killed. */
    private readonly _shutdownTimeoutMs: number,
  ) {}

  /** Time at which the node answers all requests that are unanswered by then. */
  public get lastAnswerAt(): number {
    return this._startedAt + this._shutdownTimeoutMs - LAST_ANSWER_MARGIN_MS;
  }

  /** Whether new requests are accepted; may become true again when the last ready node drains. */
  public acceptsRequests(now: number, peers: DrainPeers): boolean {
    const share = acceptsLonger(peers) ? LATE_ACCEPT_TIME_SHARE : ACCEPT_TIME_SHARE;
    return now - this._startedAt < this._shutdownTimeoutMs * share;
  }

  /**
   * Whether a request may be accepted that ends at its deadline at the latest. What is accepted late
   * must not be cut off when the node ends.
   */
  public admits(now: number, deadlineAt: number): boolean {
    const isLate = now - this._startedAt >= this._shutdownTimeoutMs * ACCEPT_TIME_SHARE;
    return !isLate || deadlineAt <= this.lastAnswerAt;
  }

  /**
   * The time after which a refused caller is to come back.
   *
   * @param draw a random number from 0 to 1
   */
  public retryAfterMs({ isAnyAccepting, isAnyReady }: DrainPeers, draw: number): number {
    return isAnyReady || isAnyAccepting
      ? OTHER_NODE_RETRY_AFTER_MS
      : NO_NODE_RETRY_AFTER_MS + draw * RETRY_SPREAD_MS;
  }

  /** Whether the node should stop to listen and exit, even if requests are still in flight. */
  public isOver(now: number, { lastRequestAt, running }: DrainActivity): boolean {
    if (now >= this.lastAnswerAt) {
      return true;
    }
    const isIdle = running === 0 && now - lastRequestAt > MIN_IDLE_MS;
    return isIdle && now - this._startedAt > MIN_DRAIN_MS;
  }

  /** Whether the process must exit, although answers may not have been sent. */
  public mustExit(now: number): boolean {
    return now >= this._startedAt + this._shutdownTimeoutMs - SHUTDOWN_MARGIN_MS;
  }
}

/** Whether a node is one of those that go on while too few nodes are ready. */
function acceptsLonger({ areEnoughReady, isAnyAccepting, isAnyReady, rank }: DrainPeers): boolean {
  const isLast = !isAnyAccepting && !isAnyReady;
  return !areEnoughReady && (isLast || rank % 2 === 1);
}
