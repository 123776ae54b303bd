/**
 * Engines that fail to answer reservations. Load pattern: an engine leaves orders unanswered, or answers
 * without an end, and each large prompt asks it again, and others like it one after the other, until
 * its deadline. Prompts that need reservations avoid such engines for a while; others don't, as the
 * engine may well run them.
 */
import type { Clock } from '@tanagerdyke/kernel';

const FIRST_AVOIDANCE_MS = 1_000;
const MAX_AVOIDANCE_MS = 8_000;

interface FailedEngine {
  /** Failures since the last answer. */
  readonly failures: number;
  readonly until: number;
}

/** Holds the engines that failed reservations of this node. */
export class ReservationFailures {
  private readonly _failed = new Map<string, FailedEngine>();

  constructor(private readonly _clock: Pick<Clock, 'now'>) {}

  /** Ids of the engines that are avoided now. */
  public get avoided(): readonly string[] {
    const now = this._clock.now();
    return [...this._failed].filter(([, { until }]) => now < until).map(([id]) => id);
  }

  /** Records that an engine gave no answer to a reservation; each further time doubles the wait. */
  public recordFailure(id: string): void {
    const failures = (this._failed.get(id)?.failures ?? 0) + 1;
    const waitMs = Math.min(MAX_AVOIDANCE_MS, FIRST_AVOIDANCE_MS * 2 ** (failures - 1));
    this._failed.set(id, { failures, until: this._clock.now() + waitMs });
  }

  /** Records that an engine granted a reservation, or refused it for want of memory. */
  public recordAnswer(id: string): void {
    this._failed.delete(id);
  }

  /** Removes the record of a target that is gone. */
  public remove(id: string): void {
    this._failed.delete(id);
  }
}
