/**
 * Tracks which targets this node reaches by its own link. A target is lost when a connection to it
 * fails, until one succeeds. A node that has lost several targets in a row and reached none in
 * between counts as cut off from all of them; a target that is silent but accepts connections is not
 * lost. The decisions only select how new connections are opened, so a wrong one costs a connection
 * and no request.
 */
import { type Clock, DisposableOwner, Emitter, type Metrics } from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';

/** Targets lost in a row from which on the node counts as cut off; one alone may have crashed. */
const MIN_LOST_IF_CUT_OFF = 3;
/** A target is no longer lost when no connection to it was needed for this long. */
const LOST_TTL_MS = 10_000;

export interface TargetPathsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** A target that was lost. */
interface LostTarget {
  readonly since: number;
  lastFailureAt: number;
}

/** Holds the state of the links from this node to the targets, by the address of the target. */
export class TargetPaths extends DisposableOwner {
  private readonly _lost = new Map<string, LostTarget>();
  private _lastReachedAt = Number.NEGATIVE_INFINITY;
  private _cutOffSince: number | undefined;
  private readonly _onChange = this.register(new Emitter<string>());
  private readonly _onCutOff = this.register(new Emitter<void>());
  /** Fires with the address of a target that was lost or is reached again. */
  public readonly onChange = this._onChange.event;
  /** Fires when the node counts as cut off from all targets. */
  public readonly onCutOff = this._onCutOff.event;

  constructor(private readonly _options: TargetPathsOptions) {
    super();
    const { metrics } = _options;
    metrics.gauge('tanager_targets_unreachable', () => this.lostAddresses.length);
    metrics.gauge('tanager_cut_off', () => Number(this.isCutOff));
  }

  /** Whether this node seems to be cut off from all targets. */
  public get isCutOff(): boolean {
    return this._cutOffSince !== undefined;
  }

  /** When the node was cut off; `undefined` while it is not. */
  public get cutOffSince(): number | undefined {
    return this._cutOffSince;
  }

  /** Addresses of the targets that are lost, the one lost first in front. */
  public get lostAddresses(): readonly string[] {
    return [...this._lost.keys()];
  }

  /** Whether a new connection to the target will probably fail on this node's own link. */
  public isLost(address: string): boolean {
    return this.isCutOff || this._lost.has(address);
  }

  /** Records that a connection to the target succeeded on this node's own link. */
  public recordReached(address: string): void {
    const { clock, log } = this._options;
    const now = clock.now();
    this._lastReachedAt = now;
    if (this._cutOffSince !== undefined) {
      const tookMs = Math.round(now - this._cutOffSince);
      log.write('targets.reached', { address, lost: this._lost.size, tookMs });
      this._cutOffSince = undefined;
    }
    if (this._lost.delete(address)) {
      this._onChange.fire(address);
    }
  }

  /** Records that a connection to the target failed on this node's own link. */
  public recordFailure(address: string): void {
    const { clock, log } = this._options;
    const now = clock.now();
    const lost = this._lost.get(address);
    if (lost === undefined) {
      this._lost.set(address, { since: now, lastFailureAt: now });
      this._onChange.fire(address);
    } else {
      lost.lastFailureAt = now;
    }
    if (this._cutOffSince === undefined && this._lostInARow() >= MIN_LOST_IF_CUT_OFF) {
      this._cutOffSince = now;
      log.write('targets.cut-off', { lost: this._lost.size });
      this._onCutOff.fire();
    }
  }

  /** Discards targets to which no connection was needed for a while, such as those that are gone. */
  public expire(): void {
    const now = this._options.clock.now();
    for (const [address, { lastFailureAt }] of this._lost) {
      if (now - lastFailureAt >= LOST_TTL_MS) {
        this._lost.delete(address);
      }
    }
    if (this._lost.size === 0) {
      this._cutOffSince = undefined;
    }
  }

  /** Number of targets that failed since one was last reached. */
  private _lostInARow(): number {
    return [...this._lost.values()].filter(
      ({ lastFailureAt }) => lastFailureAt > this._lastReachedAt,
    ).length;
  }
}
