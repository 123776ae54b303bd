/** The specification of a stand-in, which its process receives as JSON on the command line. */
import type { EngineProfile } from '../common/EngineEmulator.js';
import type { LogLimits } from '../common/LogStore.js';

/** The kinds of stand-ins. */
export enum StandInKind {
  Log = 'log',
  HostList = 'host-list',
  WeightStore = 'weight-store',
  Engine = 'engine',
  Service = 'service',
}

/** One stand-in of a process. Optional fields that don't apply to its kind are ignored. */
export interface StandInSpecification {
  readonly kind: StandInKind;
  readonly port: number;
  readonly seed: number;
  /** Limits of the log that differ from the defaults. */
  readonly log?: Partial<LogLimits>;
  /** Delay until a change shows in the host list. */
  readonly lagMs?: number;
  /** Rate limit of the weight store. */
  readonly loadsPerMinute?: number;
  /** Duration of a load from the weight store. */
  readonly loadMs?: number;
  /** Values of the engine profile that differ from the defaults. */
  readonly profile?: Partial<EngineProfile>;
  /** Address of the weight store that an engine loads from. */
  readonly weightStore?: string;
  /** Whether a service returns the outcome of a key. */
  readonly offersLookUp?: boolean;
  /** Name of the stand-in in its records. */
  readonly target?: string;
  /** File of the records; none are written without it. */
  readonly recordFile?: string;
}
