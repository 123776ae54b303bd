/**
 * The causes of crashes that are blocked on this node, with the requests that are let through to find
 * out whether they still crash targets. A wrong quarantine of a request that comes often so ends soon.
 */
import type { Clock } from '@tanagerdyke/kernel';
import { CauseKind, kindOfCause } from './CrashEvidence.js';

/** What makes targets crash is not tried again for this long. */
export const QUARANTINE_MS = 600_000;
/** Times from the start of a quarantine after which a request is let through, one for each. */
const TRIAL_DELAYS_MS: Readonly<Record<CauseKind, readonly number[]>> = {
  [CauseKind.Part]: [],
  [CauseKind.Request]: [1_000, 10_000, 40_000],
};

/** A cause that is blocked. */
export interface QuarantinedCause {
  /** A part of prompts, or the fingerprint of a request. */
  readonly cause: string;
  readonly remainingMs: number;
  /** Number of targets that crashed before the cause was blocked. */
  readonly targets: number;
  /** Number of requests with the cause that were let through since. */
  readonly trials: number;
}

interface BlockedCause {
  readonly at: number;
  readonly until: number;
  readonly targets: number;
  trials: number;
  /** Whether the next request with the cause may pass at this node. */
  isTrialOffered: boolean;
}

/** Holds the blocked causes until their time is over or they are removed. */
export class BlockedCauses {
  private readonly _blocked = new Map<string, BlockedCause>();

  constructor(private readonly _clock: Clock) {}

  /** All causes that are blocked now. */
  public get all(): readonly QuarantinedCause[] {
    return [...this._blocked].flatMap(([cause, { targets, trials, until }]) => {
      const remainingMs = until - this._clock.now();
      return remainingMs > 0 ? [{ cause, targets, trials, remainingMs }] : [];
    });
  }

  /** Blocks a cause; returns for how long. */
  public add({ cause, remainingMs, targets, trials }: QuarantinedCause): number {
    const at = this._clock.now();
    const forMs = Math.min(remainingMs, QUARANTINE_MS);
    for (const [each, { until }] of this._blocked) {
      if (until <= at) {
        this._blocked.delete(each);
      }
    }
    this._blocked.set(cause, { at, until: at + forMs, targets, trials, isTrialOffered: false });
    return forMs;
  }

  public remove(cause: string): void {
    this._blocked.delete(cause);
  }

  public has(cause: string): boolean {
    return this.find(cause) !== undefined;
  }

  public find(cause: string): Readonly<BlockedCause> | undefined {
    const blocked = this._blocked.get(cause);
    return blocked !== undefined && blocked.until > this._clock.now() ? blocked : undefined;
  }

  /** Returns the first of the causes that is blocked and has no trial to be taken, if any. */
  public findBlocking(causes: readonly string[]): QuarantinedCause | undefined {
    if (this._blocked.size === 0) {
      return undefined;
    }
    return this.all.find(
      ({ cause }) => causes.includes(cause) && this.find(cause)?.isTrialOffered !== true,
    );
  }

  /** Takes the trials that are offered for the causes of a request; returns those causes. */
  public takeTrials(causes: readonly string[]): readonly QuarantinedCause[] {
    const taken = causes.filter((cause) => this.find(cause)?.isTrialOffered === true);
    for (const cause of taken) {
      this.countTrials(cause, (this.find(cause)?.trials ?? 0) + 1);
    }
    return this.all.filter(({ cause }) => taken.includes(cause));
  }

  /** Offers a trial if one is due and this node is the one to make it; withdraws it otherwise. */
  public updateTrial(cause: string, isTrialNode: boolean): void {
    const blocked = this._blocked.get(cause);
    if (blocked !== undefined) {
      const delayMs = TRIAL_DELAYS_MS[kindOfCause(cause)][blocked.trials];
      const isDue = delayMs !== undefined && this._clock.now() - blocked.at >= delayMs;
      blocked.isTrialOffered = isTrialNode && isDue;
    }
  }

  /** Records how many requests all nodes have let through. */
  public countTrials(cause: string, trials: number): void {
    const blocked = this._blocked.get(cause);
    if (blocked !== undefined && trials > blocked.trials) {
      blocked.trials = trials;
      blocked.isTrialOffered = false;
    }
  }
}
