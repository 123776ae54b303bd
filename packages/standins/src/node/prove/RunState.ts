/** What the parts of a proof run share: the fleet and the evidence as it is gathered. */
import type {
  AcceptedPublish,
  Disturbance,
  DisturbanceKind,
  LeavingPeriod,
  RequestEvidence,
  StatusSample,
} from '../../common/prove/Evidence.js';
import type { FaultKind } from '../../common/prove/FaultSchedule.js';
import type { Fleet } from '../Fleet.js';
import type { LoadRunner } from '../LoadRunner.js';

/** One run under way. */
export class RunState {
  public readonly requests: RequestEvidence[] = [];
  public readonly disturbances: Disturbance[] = [];
  public readonly leavings: LeavingPeriod[] = [];
  public readonly samples: StatusSample[] = [];
  public readonly accepted: AcceptedPublish[] = [];
  public readonly leakedItems = new Set<string>();
  public readonly faultCounts = new Map<FaultKind, number>();
  /** Parts that a fault has taken; another fault on the same part is skipped. */
  public readonly faultyProcesses = new Set<string>();

  constructor(
    public readonly fleet: Fleet,
    public readonly load: LoadRunner,
    public readonly hostListLagMs: number,
  ) {}

  public get now(): number {
    return this.fleet.clock.wallTime();
  }

  /** Notes that a daemon can't answer from now on; `end` sets when it can again. */
  public recordDisturbance(kind: DisturbanceKind, daemon: number): { end: () => void } {
    const entry = this.fleet.callerAddress(daemon);
    const disturbance = { kind, entry, from: this.now, until: Number.POSITIVE_INFINITY };
    this.disturbances.push(disturbance);
    return {
      end: () => {
        disturbance.until = this.now;
      },
    };
  }

  /** Notes that a target must get no new work, counted from `from`. */
  public recordLeaving(target: string, from: number): { end: () => void } {
    const period = { target, from, until: Number.POSITIVE_INFINITY };
    this.leavings.push(period);
    return {
      end: () => {
        period.until = this.now;
      },
    };
  }
}
