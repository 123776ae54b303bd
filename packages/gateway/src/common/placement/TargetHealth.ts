/**
 * Tracks the health of targets by the outcome of this node's own requests. A target that could not
 * be reached or stopped responding is suspect for a limited time, which doubles with each further
 * failure; any answer clears it. Answers that report a failure only raise its failure rate.
 */
import type { Clock } from '@tanagerdyke/kernel';

/** How long a target is suspect after one connection failure; each further one doubles it. */
const FIRST_SUSPICION_MS = 400;
const MAX_SUSPICION_MS = 3_000;
/** Weight of the newest outcome in the failure rate, a moving average. */
const FAILURE_RATE_WEIGHT = 0.12;

interface TargetRecord {
  /** Connection failures since the last answer. */
  failures: number;
  suspectUntil: number;
  failureRate: number;
  inFlight: number;
}

/** Holds the health of all targets that this node has sent requests to. */
export class TargetHealth {
  private readonly _records = new Map<string, TargetRecord>();

  constructor(private readonly _clock: Clock) {}

  /** Whether the target was recently unreachable or unresponsive, so that others are preferred. */
  public isSuspect(id: string): boolean {
    const record = this._records.get(id);
    return record !== undefined && this._clock.now() < record.suspectUntil;
  }

  /** Recent share of failures, from 0 to 1. */
  public failureRate(id: string): number {
    return this._records.get(id)?.failureRate ?? 0;
  }

  /** Requests of this node to the target that have not ended; counted for plain services only. */
  public inFlight(id: string): number {
    return this._records.get(id)?.inFlight ?? 0;
  }

  /** Records that a request was sent. */
  public recordStart(id: string): void {
    this._recordOf(id).inFlight++;
  }

  /** Records that a request ended, with any outcome. */
  public recordEnd(id: string): void {
    this._recordOf(id).inFlight--;
  }

  /** Records an answer of the target; `isFailure` says whether it reports a failure. */
  public recordAnswer(id: string, isFailure: boolean): void {
    const record = this._recordOf(id);
    record.failures = 0;
    record.suspectUntil = 0;
    record.failureRate += ((isFailure ? 1 : 0) - record.failureRate) * FAILURE_RATE_WEIGHT;
  }

  /**
   * Records that the target was not reached, broke the connection or stopped responding. Returns
   * how long it is suspect.
   */
  public recordConnectionFailure(id: string): number {
    const record = this._recordOf(id);
    const suspectMs = Math.min(
      MAX_SUSPICION_MS,
      FIRST_SUSPICION_MS * 2 ** Math.min(record.failures, 5),
    );
    record.failures++;
    record.suspectUntil = this._clock.now() + suspectMs;
    record.failureRate += (1 - record.failureRate) * FAILURE_RATE_WEIGHT;
    return suspectMs;
  }

  /** Removes the record of a target that is gone. */
  public remove(id: string): void {
    this._records.delete(id);
  }

  private _recordOf(id: string): TargetRecord {
    let record = this._records.get(id);
    if (record === undefined) {
      record = { failures: 0, suspectUntil: 0, failureRate: 0, inFlight: 0 };
      this._records.set(id, record);
    }
    return record;
  }
}
