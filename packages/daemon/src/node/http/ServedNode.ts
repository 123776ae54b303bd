/** The part of a node that its HTTP server uses, so that tests can run the real server on fakes. */
import type { Clock, InvariantMonitor, Metrics, RandomSource, TimeLine } from '@tanagerdyke/kernel';
import type { Configuration, Publisher } from '@tanagerdyke/configuration';
import type { Membership } from '@tanagerdyke/mesh';
import type { CompletionServer, TargetDirectory } from '@tanagerdyke/serving';
import type { Settings } from '../../common/Settings.js';
import type { AtMostOnceClient } from '../MechanismFactories.js';
import type { RequestTracker } from '../RequestTracker.js';

/** The components and state of a node that the HTTP routes use. */
export interface ServedNode {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: Settings;
  readonly metrics: Metrics;
  readonly timeLine: TimeLine;
  readonly invariants: InvariantMonitor;
  readonly membership: Membership;
  readonly configuration: Configuration;
  readonly freshness: { readonly isFresh: boolean };
  readonly publisher: Publisher;
  readonly ledger: { readonly isReady: boolean };
  readonly atMostOnceClient: AtMostOnceClient;
  readonly directory: Pick<TargetDirectory, 'service' | 'servicesOf'>;
  readonly completions: CompletionServer;
  readonly requests: RequestTracker;
  /**
   * Whether it serves requests: peers can be expected to list it as live, its configuration is
   * fresh, and it doesn't refuse new requests.
   */
  readonly isReady: boolean;
  /** Whether it has been removed from the address lists. */
  readonly isDraining: boolean;
  /** Whether it refuses new requests because it is shutting down. */
  readonly isRefusingRequests: boolean;
}
