/**
 * Estimates how long a call waits in the queue of each target of a plain service. Load pattern: each of
 * many nodes has less than one call in flight, so its own calls say nothing of the load, and calls end
 * before a report of their start arrives. What lasts is the queue of a target, and answers show it:
 * they take longer than usual, or refuse the call since the queue is full. A node that
 * detects this reports it unless another node has; in calm nothing is sent.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';

/** Answers up to this many times the usual duration are within the spread of the work of calls. */
const SPREAD_FACTOR = 3;
/** Shorter waits make no call late. */
const MIN_WAIT_MS = 20;
/** Longest wait that is believed, so that a wrong report excludes no target for long. */
const MAX_WAIT_MS = 1_000;
/**
 * Time in which a known wait ends, as a multiple of it. More than 1, since calls go on arriving while
 * the queue of the target drains.
 */
const DRAIN_FACTOR = 2;
/** A full target has this many calls waiting for each slot; its entry does not state how many. */
const WAITING_PER_SLOT_WHEN_FULL = 4;
/** Mean work of a call, as a multiple of the usual duration, which is that of a short one. */
const MEAN_TO_USUAL = 1.5;
/**
 * Steps by which the usual duration follows observed ones. It settles where a fifth of them are
 * shorter, and so hardly rises while most calls wait.
 */
const RISE = 1.05;
const FALL = 0.8;
/** Waits are reported again after this time, or when they are this much longer than known. */
const REPORT_INTERVAL_MS = 100;
const LONGER_FACTOR = 1.5;
/** Reports of all nodes together; 40 of 70 bytes are a quarter of the control traffic of a node. */
const REPORTS_PER_SECOND = 40;
const MS_PER_SECOND = 1_000;

/** A call would wait this long in the queue of a target. */
export interface WaitReport {
  readonly target: string;
  readonly waitMs: number;
  /** Whether the target refused a call as its queue is full; otherwise its answer was late. */
  readonly isFull: boolean;
}

interface KnownWait {
  /** When no call waits any more, if none arrives. */
  readonly until: number;
  readonly knownAt: number;
  /** When its queue is empty, if it was full; the past otherwise. */
  readonly fullUntil: number;
}

export interface ServiceLoadOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Number of nodes that share the rate of reports. */
  readonly liveNodes: () => number;
}

/** Holds the waits at all targets, by the answers to this node and the reports of others. */
export class ServiceLoad extends DisposableOwner {
  private readonly _waits = new Map<string, KnownWait>();
  private readonly _usualMs = new Map<string, number>();
  private _reportedAt = Number.NEGATIVE_INFINITY;
  private readonly _onReport = this.register(new Emitter<WaitReport>());
  /** Fires with a wait that other nodes may not know. */
  public readonly onReport = this._onReport.event;

  constructor(private readonly _options: ServiceLoadOptions) {
    super();
  }

  /** Usual duration of the calls of a service on a target with a free slot; 0 if none is known. */
  public usualMs(service: string): number {
    return this._usualMs.get(service) ?? 0;
  }

  /** Time that a call sent now is expected to wait for a slot of the target. */
  public waitMs(target: string): number {
    return this._leftMs(this._waits.get(target)?.until) / DRAIN_FACTOR;
  }

  /**
   * The same for a target whose queue was full, and 0 for others. A late answer may be due to the call
   * or to the node, so no call is refused because of it.
   */
  public fullWaitMs(target: string): number {
    return this._leftMs(this._waits.get(target)?.fullUntil);
  }

  /** Records that a target answered a call which was sent at `sentAt`. */
  public recordAnswer({ id, service }: TargetEntry, sentAt: number): void {
    const durationMs = this._options.clock.now() - sentAt;
    const usualMs = this._usualMs.get(service) ?? durationMs;
    this._usualMs.set(service, usualMs * (durationMs < usualMs ? FALL : RISE));
    const wait = this._waits.get(id);
    if (durationMs > usualMs * SPREAD_FACTOR + MIN_WAIT_MS) {
      this._record(id, durationMs - usualMs, false);
    } else if (wait !== undefined && sentAt >= wait.knownAt) {
      this._waits.delete(id);
    }
  }

  /** Records that a target refused a call as its queue is full. */
  public recordFull({ id, service }: TargetEntry): void {
    const workMs = Math.max(MIN_WAIT_MS, this.usualMs(service) * MEAN_TO_USUAL);
    this._record(id, workMs * WAITING_PER_SLOT_WHEN_FULL, true);
  }

  /** Applies what another node saw. */
  public applyReport({ isFull, target, waitMs }: WaitReport): void {
    const now = this._options.clock.now();
    const believedMs = Math.min(MAX_WAIT_MS, waitMs);
    const known = this._waits.get(target);
    this._waits.set(target, {
      until: Math.max(now + believedMs * DRAIN_FACTOR, known?.until ?? 0),
      knownAt: now,
      fullUntil: Math.max(isFull ? now + believedMs : 0, known?.fullUntil ?? 0),
    });
  }

  /** Removes a target that is gone. */
  public remove(target: string): void {
    this._waits.delete(target);
  }

  private _record(target: string, waitMs: number, isFull: boolean): void {
    const now = this._options.clock.now();
    const known = this._waits.get(target);
    const isNews =
      known === undefined ||
      now - known.knownAt >= REPORT_INTERVAL_MS ||
      waitMs > this.waitMs(target) * LONGER_FACTOR;
    const report = { target, waitMs, isFull };
    this.applyReport(report);
    const intervalMs = (this._options.liveNodes() * MS_PER_SECOND) / REPORTS_PER_SECOND;
    if (isNews && now - this._reportedAt >= intervalMs) {
      this._reportedAt = now;
      this._options.log.write('target.busy', { target, waitMs: Math.round(waitMs) });
      this._onReport.fire(report);
    }
  }

  private _leftMs(until = 0): number {
    return Math.max(0, until - this._options.clock.now());
  }
}
