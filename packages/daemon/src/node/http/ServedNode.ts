/** What the HTTP front needs of a node. A test can put small fakes behind the real front. */
import type { Clock, InvariantMonitor, Metrics, RandomSource, TimeLine } from '@tanagerdyke/kernel';
import type { Configuration, Publisher } from '@tanagerdyke/configuration';
import type { Membership } from '@tanagerdyke/mesh';
import type { CompletionServer, TargetDirectory } from '@tanagerdyke/serving';
import type { Settings } from '../../common/Settings.js';
import type { GuardedCaller } from '../Mechanisms.js';
import type { RequestTracker } from '../RequestTracker.js';

/** A node as its HTTP front sees it. */
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
  readonly atMostOnce: GuardedCaller;
  readonly directory: Pick<TargetDirectory, 'service' | 'servicesOf'>;
  readonly completions: CompletionServer;
  readonly requests: RequestTracker;
  /** Whether it takes new requests: it knows what is in force and isn't closed. */
  readonly isReady: boolean;
  /** Whether it has left the address answers. */
  readonly isDraining: boolean;
  /** Whether it refuses new requests because it shuts down. */
  readonly isRefusingRequests: boolean;
}
