/**
 * Tracks the health of targets by the outcome of this node's own requests, and by what other nodes
 * report. A target that could not be reached or stopped responding is suspect for a limited time,
 * which doubles with each further failure; any answer clears it. Answers that report a failure only
 * raise its failure rate.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';

/** How long a target is suspect after one connection failure; each further one doubles it. */
const FIRST_SUSPICION_MS = 400;
const MAX_SUSPICION_MS = 3_000;
/** Weight of the newest outcome in the failure rate, a moving average. */
const FAILURE_RATE_WEIGHT = 0.12;

/** How long a first report of another node counts; each further recent one doubles the time. */
const FIRST_REPORT_TTL_MS = 1_000;
const MAX_REPORT_TTL_MS = 4_000;
/** Reports in this time count as recent. */
const REPORT_WINDOW_MS = 6_000;
/**
 * A node with this many suspect targets is probably cut off itself, so it doesn't report them.
 */
const MAX_REPORTED_SUSPECTS = 3;

interface TargetRecord {
  /** Connection failures since the last answer. */
  failures: number;
  suspectUntil: number;
  failureRate: number;
  inFlight: number;
  /** Recent reports of other nodes, oldest first. */
  reports: readonly FailureReportRecord[];
  /** Until when the reports count. */
  reportedUntil: number;
}

interface FailureReportRecord {
  readonly node: string;
  readonly at: number;
}

/** Holds the health of all targets that this node has sent requests to. */
export class TargetHealth extends DisposableOwner {
  private readonly _records = new Map<string, TargetRecord>();
  private readonly _onFailure = this.register(new Emitter<string>());
  /** Fires with the id of a target that failed this node, for other nodes to avoid it. */
  public readonly onFailure = this._onFailure.event;

  /**
   * @param _cutOffSince when this node lost its own links to all targets; `undefined` while it has
   * not
   */
  constructor(
    private readonly _clock: Clock,
    private readonly _cutOffSince: () => number | undefined = () => undefined,
  ) {
    super();
  }

  /** Whether the target was recently unreachable or unresponsive, so that others are preferred. */
  public isSuspect(id: string): boolean {
    const record = this._records.get(id);
    return record !== undefined && this._clock.now() < record.suspectUntil;
  }

  /** Number of other nodes that recently reported that the target failed them. */
  public countReporters(id: string): number {
    const record = this._records.get(id);
    if (record === undefined || this._clock.now() >= record.reportedUntil) {
      return 0;
    }
    return new Set(record.reports.map(({ node }) => node)).size;
  }

  /** Records that the target failed another node. */
  public recordReport(id: string, node: string): void {
    const record = this._recordOf(id);
    const now = this._clock.now();
    const recent = record.reports.filter(({ at }) => now - at < REPORT_WINDOW_MS);
    const ttlMs = FIRST_REPORT_TTL_MS * 2 ** recent.length;
    record.reports = [...recent, { node, at: now }];
    record.reportedUntil = now + Math.min(MAX_REPORT_TTL_MS, ttlMs);
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
    record.reportedUntil = 0;
    record.failureRate += ((isFailure ? 1 : 0) - record.failureRate) * FAILURE_RATE_WEIGHT;
  }

  /**
   * Records that the target was not reached, broke the connection or stopped responding for a
   * request sent at `sentAt`. Returns how long it is suspect: not at all if the request was sent
   * before this node lost its links to all targets.
   */
  public recordConnectionFailure(id: string, sentAt = this._clock.now()): number {
    const cutOffSince = this._cutOffSince();
    if (cutOffSince !== undefined && sentAt <= cutOffSince) {
      return 0;
    }
    const record = this._recordOf(id);
    const suspectMs = Math.min(
      MAX_SUSPICION_MS,
      FIRST_SUSPICION_MS * 2 ** Math.min(record.failures, 5),
    );
    record.failures++;
    record.suspectUntil = this._clock.now() + suspectMs;
    record.failureRate += (1 - record.failureRate) * FAILURE_RATE_WEIGHT;
    if (cutOffSince === undefined && this._countSuspects() <= MAX_REPORTED_SUSPECTS) {
      this._onFailure.fire(id);
    }
    return suspectMs;
  }

  /** Removes the record of a target that is gone. */
  public remove(id: string): void {
    this._records.delete(id);
  }

  private _countSuspects(): number {
    return [...this._records.keys()].filter((id) => this.isSuspect(id)).length;
  }

  private _recordOf(id: string): TargetRecord {
    let record = this._records.get(id);
    if (record === undefined) {
      record = {
        failures: 0,
        suspectUntil: 0,
        failureRate: 0,
        inFlight: 0,
        reports: [],
        reportedUntil: 0,
      };
      this._records.set(id, record);
    }
    return record;
  }
}
