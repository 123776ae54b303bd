/** The settings of a gateway node, as parsed by an adapter. Durations are in milliseconds. */
import type { RetryLimits } from './SharedRetryBudget.js';

/** A node's location, its listening addresses and its limits. */
export interface GatewaySettings {
  readonly node: {
    readonly name: string;
    readonly region: string;
    readonly availabilityZone: string;
  };
  /** `IP:port` each; a resource is served only on the addresses given for it. */
  readonly listen: {
    readonly caller: string;
    readonly peer: string;
    /** Where this node relays connections of others; all nodes use the same port. */
    readonly relay: string;
    readonly control: readonly string[];
  };
  readonly metricsPath: string;
  /** Peer addresses through which the node joins the mesh. */
  readonly seeds: readonly string[];
  readonly retries: RetryLimits;
  /** Time from a termination signal until the process is killed. */
  readonly shutdownTimeoutMs: number;
  /** Region of each availability zone. */
  readonly regionByZone: ReadonlyMap<string, string>;
  /** Memory of the process; more ends it. */
  readonly memoryBytes: number;
  /** File descriptors that the process may have open, connections among them. */
  readonly maxDescriptors: number;
}
