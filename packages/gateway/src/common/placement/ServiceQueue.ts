/**
 * Decides when the calls of a plain service are sent while all its targets have calls waiting. Load
 * pattern: callers repeat calls at once, and the queues of the targets fill up with calls that will be
 * late, most of them of one workspace. So each node then has few calls in flight, the others wait here
 * in a fair order, and those that can't be answered in time are refused at once. While any target has
 * no calls waiting, each call is sent at once.
 */
import { RetrySchedule } from './RetrySchedule.js';
import type { ServiceLoad } from './ServiceLoad.js';
import type { TargetEntry } from '../Messages.js';

/**
 * Calls in flight of all nodes together, as a multiple of the slots. More than 1, since a node with one
 * call in flight is idle while its answer is on the way.
 */
const IN_FLIGHT_PER_SLOT = 1.5;
/** Calls of a service that wait at a node; as many as wait at a target. */
const MAX_WAITING = 24;
/**
 * Part of the known wait that a call is expected to have. All nodes hold calls back meanwhile, so the
 * queues are shorter than known, and a call must not be refused while half of the slots are free.
 */
const EXPECTED_WAIT_SHARE = 0.1;
/** Factor on the rank of a call whose caller was refused before. */
const RETURNING_FACTOR = 2;
/** The rank of a call doubles with each wait of this length. */
const AGING_MS = 200;

/** A call that is to be sent to a target of a service. */
export interface PendingCall {
  readonly service: string;
  readonly workspace: string;
  /** Whether the caller was refused before. */
  readonly isReturning: boolean;
  readonly arrivedAt: number;
  /** When the answer is due. */
  readonly dueAt: number;
}

/** The call is refused; its caller may expect its turn after this time. */
export interface RefusedCall {
  readonly retryAfterMs: number;
}

export enum CallTurn {
  /** The call is sent now. */
  Sent = 'sent',
}

/** What becomes of a call. */
export type CallDecision = CallTurn.Sent | RefusedCall;

interface WaitingCall {
  readonly call: PendingCall;
  readonly decide: (decision: CallDecision) => void;
}

export interface ServiceQueueOptions {
  readonly serviceLoad: ServiceLoad;
  /** Targets of a service that accept requests. */
  readonly acceptingTargets: (service: string) => readonly TargetEntry[];
  /** Number of nodes that share the targets. */
  readonly liveNodes: () => number;
}

/** Holds the calls of this node that wait, and counts those in flight. */
export class ServiceQueue {
  private readonly _waiting = new Set<WaitingCall>();
  /** The calls that were sent and have not ended. */
  private readonly _sent = new Set<PendingCall>();
  private readonly _retries = new RetrySchedule();

  constructor(private readonly _options: ServiceQueueOptions) {}

  /** Number of calls that wait. */
  public get size(): number {
    return this._waiting.size;
  }

  /** Passes the decision on a call to `decide`, now or later. Returns a function that withdraws it. */
  public add(call: PendingCall, now: number, decide: (decision: CallDecision) => void): () => void {
    const waiting = { call, decide };
    if (this._mayPass(call, false, now)) {
      this._send(waiting);
      return () => undefined;
    }
    this._waiting.add(waiting);
    this._refuseHopeless(call.service, now);
    return () => {
      this._waiting.delete(waiting);
    };
  }

  /** Records that a call that was sent has ended, which lets the next one pass. */
  public recordEnd(call: PendingCall, now: number): void {
    this._sent.delete(call);
    this.evaluate(now);
  }

  private _inFlight(service: string): number {
    return [...this._sent].filter((call) => call.service === service).length;
  }

  /** Sends the calls that may pass now, and refuses those that can't be answered any more. */
  public evaluate(now: number): void {
    for (const service of new Set([...this._waiting].map(({ call }) => call.service))) {
      for (const waiting of this._inOrder(service, now)) {
        if (this._mayPass(waiting.call, true, now)) {
          this._send(waiting);
        }
      }
      this._refuseHopeless(service, now);
    }
  }

  private _mayPass(call: PendingCall, isFirst: boolean, now: number): boolean {
    const { dueAt, service } = call;
    if (this._queueWaitMs(service) === 0) {
      return true;
    }
    const isBehind = !isFirst && [...this._waiting].some((each) => each.call.service === service);
    const isFree = this._inFlight(service) < this._limit(service);
    return !isBehind && isFree && now + this._answerMs(service) <= dueAt;
  }

  private _send(waiting: WaitingCall): void {
    this._waiting.delete(waiting);
    this._sent.add(waiting.call);
    waiting.decide(CallTurn.Sent);
  }

  /** Refuses the calls whose turn comes too late, and those that exceed the bound of the queue. */
  private _refuseHopeless(service: string, now: number): void {
    for (const [ahead, waiting] of this._inOrder(service, now).entries()) {
      const expectedMs = this._expectedMs(service, ahead);
      if (ahead >= MAX_WAITING || now + expectedMs > waiting.call.dueAt) {
        this._waiting.delete(waiting);
        const turnMs = this._turnMs(service);
        waiting.decide({ retryAfterMs: this._retries.next(now, expectedMs, turnMs) });
      }
    }
  }

  /** Time until the answer to a call with `ahead` others before it in the queue. */
  private _expectedMs(service: string, ahead: number): number {
    const isFree = this._inFlight(service) < this._limit(service);
    // The calls in flight are half done in the mean.
    return this._answerMs(service) + (ahead + (isFree ? 0 : 0.5)) * this._turnMs(service);
  }

  /** Time until the answer to a call that is sent now. */
  private _answerMs(service: string): number {
    const waitMs = this._queueWaitMs(service) * EXPECTED_WAIT_SHARE;
    return waitMs + this._options.serviceLoad.usualMs(service);
  }

  /** Time between two calls that this node may send. */
  private _turnMs(service: string): number {
    return this._answerMs(service) / this._limit(service);
  }

  /** The shortest wait at a target; 0 if one has no calls waiting. */
  private _queueWaitMs(service: string): number {
    const { acceptingTargets, serviceLoad } = this._options;
    const waits = acceptingTargets(service).map(({ id }) => serviceLoad.fullWaitMs(id));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Calls that this node may have in flight while all targets have calls waiting. */
  private _limit(service: string): number {
    const { acceptingTargets, liveNodes } = this._options;
    const slots = acceptingTargets(service).reduce((sum, target) => sum + target.slots, 0);
    return Math.max(1, Math.floor((slots * IN_FLIGHT_PER_SLOT) / Math.max(1, liveNodes())));
  }

  /**
   * Waiting calls of a service by rank, where the second call of a workspace counts half of its rank,
   * the third one a third, and so on; those in flight count, too.
   */
  private _inOrder(service: string, now: number): readonly WaitingCall[] {
    const ranked = [...this._waiting]
      .filter(({ call }) => call.service === service)
      .map((waiting) => ({ waiting, rank: this._rankOf(waiting.call, now) }))
      .sort((a, b) => b.rank - a.rank);
    const countByWorkspace = new Map<string, number>();
    for (const { workspace } of [...this._sent].filter((call) => call.service === service)) {
      countByWorkspace.set(workspace, (countByWorkspace.get(workspace) ?? 0) + 1);
    }
    return ranked
      .map(({ rank, waiting }) => {
        const { workspace } = waiting.call;
        const count = (countByWorkspace.get(workspace) ?? 0) + 1;
        countByWorkspace.set(workspace, count);
        return { waiting, rank: rank / count };
      })
      .sort((a, b) => b.rank - a.rank)
      .map(({ waiting }) => waiting);
  }

  private _rankOf({ arrivedAt, isReturning }: PendingCall, now: number): number {
    return (isReturning ? RETURNING_FACTOR : 1) * (1 + (now - arrivedAt) / AGING_MS);
  }
}
