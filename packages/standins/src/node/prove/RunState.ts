/** State of a proof run: the fleet, its load and the evidence that is collected during the run. */
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

/** Mutable state that the faults, the load and the monitor of one run share. */
export class RunState {
  public readonly requests: RequestEvidence[] = [];
  public readonly disturbances: Disturbance[] = [];
  public readonly leavings: LeavingPeriod[] = [];
  public readonly samples: StatusSample[] = [];
  public readonly accepted: AcceptedPublish[] = [];
  public readonly leakedItems = new Set<string>();
  /** Number of injected faults by kind. */
  public readonly faultCounts = new Map<FaultKind, number>();
  /** Names of processes with a fault in progress; another fault of the same process is skipped. */
  public readonly faultyProcesses = new Set<string>();

  constructor(
    public readonly fleet: Fleet,
    public readonly load: LoadRunner,
    public readonly hostListLagMs: number,
  ) {}

  /** The current wall-clock time, as in the timestamps of the evidence. */
  public get now(): number {
    return this.fleet.clock.wallTime();
  }

  /** Records that a daemon is killed, frozen or draining from now on, until `end` is called. */
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

  /** Records that a target must receive no new requests from `from` on, until `end` is called. */
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
