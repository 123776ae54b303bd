/**
 * What this node learned of targets from its own requests. A target that could not be reached or
 * fell silent is suspect for a while, longer each time; any answer clears it. Failed answers only
 * raise its failure rate.
 */
import type { Clock } from '@tanagerdyke/kernel';

const FIRST_SUSPICION_MS = 400;
const MAX_SUSPICION_MS = 3_000;
/** Weight of the newest result in the failure rate. */
const FAILURE_RATE_WEIGHT = 0.12;

interface TargetRecord {
  failures: number;
  suspectUntil: number;
  failureRate: number;
  inFlight: number;
}

/** The health of all targets, as one node sees it. */
export class TargetHealth {
  private readonly _records = new Map<string, TargetRecord>();

  constructor(private readonly _clock: Clock) {}

  public isSuspect(id: string): boolean {
    const record = this._records.get(id);
    return record !== undefined && this._clock.now() < record.suspectUntil;
  }

  public failureRate(id: string): number {
    return this._records.get(id)?.failureRate ?? 0;
  }

  public inFlight(id: string): number {
    return this._records.get(id)?.inFlight ?? 0;
  }

  public noteStart(id: string): void {
    this._recordOf(id).inFlight++;
  }

  public noteEnd(id: string): void {
    this._recordOf(id).inFlight--;
  }

  /** The target answered; `isFailure` tells of an answer that failed. */
  public noteAnswer(id: string, isFailure: boolean): void {
    const record = this._recordOf(id);
    record.failures = 0;
    record.suspectUntil = 0;
    record.failureRate += ((isFailure ? 1 : 0) - record.failureRate) * FAILURE_RATE_WEIGHT;
  }

  /** The target was not reached, broke off or fell silent. Returns how long it is suspect. */
  public noteBreak(id: string): number {
    const record = this._recordOf(id);
    const forMs = Math.min(
      MAX_SUSPICION_MS,
      FIRST_SUSPICION_MS * 2 ** Math.min(record.failures, 5),
    );
    record.failures++;
    record.suspectUntil = this._clock.now() + forMs;
    record.failureRate += (1 - record.failureRate) * FAILURE_RATE_WEIGHT;
    return forMs;
  }

  public forget(id: string): void {
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
