/** The settings of a gateway node, after an adapter has read them. Durations are milliseconds. */
import type { RetryBound } from './SharedRetryBudget.js';

/** Where a node is, where it listens, and the bounds that it keeps. */
export interface GatewaySettings {
  readonly node: {
    readonly name: string;
    readonly region: string;
    readonly availabilityZone: string;
  };
  /** `IP:port` each; without an address a resource isn't served. */
  readonly listen: {
    readonly caller: string;
    readonly peer: string;
    readonly control: readonly string[];
  };
  readonly metricsPath: string;
  /** Peer addresses to join through. */
  readonly seeds: readonly string[];
  readonly retries: RetryBound;
  /** Time from a termination signal to the forced end of the process. */
  readonly shutdownMs: number;
}
