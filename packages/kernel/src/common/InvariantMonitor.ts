/**
 * Checks invariants at run time, also in production. A violation is recorded on the time line,
 * counted and logged with the trace of its request. It never stops the process, so that a proof run
 * can collect all violations.
 */
import type { Metrics } from './Metrics.js';
import { type Fields, type Logger, LogLevel } from './services/Services.js';
import type { TimeLine } from './TimeLine.js';

/** Checks conditions that must always hold and reports violations. */
export class InvariantMonitor {
  private _violations = 0;

  constructor(
    private readonly _timeLine: TimeLine,
    private readonly _metrics: Metrics,
    private readonly _logger: Logger,
  ) {}

  public get violations(): number {
    return this._violations;
  }

  /** Reports a violation of `name` unless `holds`; returns `holds`. */
  public check(holds: boolean, name: string, fields: Fields = {}): boolean {
    if (holds) {
      return true;
    }
    this._violations++;
    this._timeLine.record('invariant.violated', { ...fields, invariant: name });
    this._metrics.increment('tanager_invariant_violations_total', { invariant: name });
    this._logger.log(LogLevel.Error, `invariant violated: ${name}`, fields);
    return false;
  }
}
