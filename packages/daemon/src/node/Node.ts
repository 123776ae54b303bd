/**
 * A node: the part of the system that runs on one entry host. Clock, random source, transport,
 * platform and target adapters are injected, so that it can run as a daemon or be embedded in
 * another program.
 */
import {
  type Clock,
  DisposableOwner,
  type InvariantMonitor,
  keepRunning,
  type Logger,
  LogLevel,
  type Metrics,
  type RandomSource,
  Registry,
  type TimeLine,
  toDisposable,
} from '@tanagerdyke/kernel';
import { LengthClass } from '@tanagerdyke/contracts';
import type { ClaimLedger } from '@tanagerdyke/claims';
import type {
  ConfigurationFollower,
  ConfigurationFreshness,
  ConfigurationPublisher,
} from '@tanagerdyke/configuration';
import type { FleetController } from '@tanagerdyke/fleet';
import type { SwimMembership } from '@tanagerdyke/mesh';
import {
  type CompletionServer,
  type Placer,
  type PlacementPolicy,
  type PolicyEnvironment,
  type PolicyRegistry,
  registerPolicies,
  type TargetDirectory,
} from '@tanagerdyke/serving';
import type { Settings } from '../common/Settings.js';
import type { AtMostOnceClient } from './MechanismFactories.js';
import {
  type ConfigurationComponents,
  createClaimComponents,
  createConfigurationComponents,
  createContext,
  createFleetController,
  createMembership,
  createServingComponents,
  type NodeOptions,
  type ServingComponents,
} from './NodeComponents.js';
import { drainRequests } from './RequestDrain.js';
import { RequestTracker } from './RequestTracker.js';

/** Added to the time to live of an address list before a draining node refuses new requests. */
const DRAIN_MARGIN_MS = 500;

/** The placement policies included in the daemon. */
export const policies: PolicyRegistry = new Registry<
  (environment: PolicyEnvironment) => PlacementPolicy
>('placement policy');
registerPolicies(policies);

/** Creates a node, which does nothing until `start` is called. */
export function createNode(options: NodeOptions): Node {
  return new Node(options);
}

/** Owns the components of a node and starts and drains them. */
export class Node extends DisposableOwner {
  public readonly clock: Clock;
  public readonly random: RandomSource;
  public readonly settings: Settings;
  public readonly metrics: Metrics;
  public readonly timeLine: TimeLine;
  public readonly invariants: InvariantMonitor;
  public readonly membership: SwimMembership;
  public readonly configuration: ConfigurationFollower;
  public readonly freshness: ConfigurationFreshness;
  public readonly publisher: ConfigurationPublisher;
  public readonly ledger: ClaimLedger;
  public readonly atMostOnceClient: AtMostOnceClient;
  public readonly directory: TargetDirectory;
  public readonly completions: CompletionServer;
  public readonly requests = new RequestTracker();
  private readonly _configuration: ConfigurationComponents;
  private readonly _serving: ServingComponents;
  private readonly _fleet: FleetController;
  private readonly _logger: Logger;
  private _isDraining = false;
  private _isRefusingRequests = false;

  constructor(options: NodeOptions) {
    super();
    const { clock, random, settings, metrics } = options;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
    this.metrics = metrics;
    const context = createContext(options, (disposable) => this.register(disposable));
    this.timeLine = context.timeLine;
    this.invariants = context.invariants;
    this._logger = context.logger('node');
    this.membership = createMembership(context);
    this._configuration = createConfigurationComponents(context, this.membership);
    this.configuration = this._configuration.follower;
    this.freshness = this._configuration.freshness;
    this.publisher = this._configuration.publisher;
    const claims = createClaimComponents(context, this.membership, this.configuration);
    this.ledger = claims.ledger;
    this.atMostOnceClient = claims.atMostOnceClient;
    this._serving = createServingComponents(context, this.membership, this.configuration);
    this.directory = this._serving.directory;
    this.completions = this._serving.completions;
    this._fleet = createFleetController(
      context,
      this.membership,
      this.configuration,
      this.directory,
    );
    this._registerGauges(this._serving.placer);
  }

  /** Whether new requests are refused because the node shuts down. */
  public get isRefusingRequests(): boolean {
    return this._isRefusingRequests;
  }

  public get isDraining(): boolean {
    return this._isDraining;
  }

  /**
   * Whether the node serves requests: peers can be expected to list it as live, its configuration
   * is fresh, and it doesn't refuse new requests.
   */
  public get isReady(): boolean {
    return this.membership.isConfirmed && this.freshness.isFresh && !this._isRefusingRequests;
  }

  public start(): void {
    this.membership.start();
    this.configuration.start();
    this._configuration.catchUp.start();
    this._configuration.checkpointer.start();
    this.ledger.start();
    this.directory.start();
    this._serving.reservationService.start();
    this._fleet.start();
    keepRunning(this.clock, this.disposalSignal, 'node.readiness', () => this._publishReadiness());
  }

  /**
   * Removes this node from the address lists, accepts new requests until cached lists have expired,
   * then waits for the requests in flight. Requests that are still running when the drain timeout
   * expires or `forceSignal` aborts get a typed final answer.
   */
  public async drain(forceSignal: AbortSignal): Promise<void> {
    const startedAt = this.clock.now();
    this._isDraining = true;
    this.timeLine.record('node.draining', { running: this.requests.running });
    this.membership.publish({ isDraining: true });
    const { addressTimeToLiveMs } = this.configuration.set.system;
    await this.clock.sleep(addressTimeToLiveMs + DRAIN_MARGIN_MS, forceSignal);
    this._isRefusingRequests = true;
    const { timeoutMs } = this.settings.drain;
    const { clock, requests } = this;
    const abortedCount = await drainRequests({ clock, requests, timeoutMs }, forceSignal);
    await this._fleet.release();
    await this.membership.leave();
    const tookMs = this.clock.now() - startedAt;
    this.timeLine.record('node.drained', { cut: abortedCount, tookMs });
    this._logger.log(LogLevel.Info, 'drained', { cut: abortedCount, tookMs });
  }

  private async _publishReadiness(): Promise<void> {
    const abort = new AbortController();
    this.register(
      toDisposable(() => {
        abort.abort();
      }),
    );
    while (!abort.signal.aborted) {
      const { isReady } = this;
      if (isReady !== this.membership.self.state.isReady) {
        this.membership.publish({ isReady });
        const { offset } = this.configuration.inForce;
        this._logger.log(LogLevel.Info, isReady ? 'ready' : 'not ready', { offset });
      }
      await this.clock.sleep(READY_POLL_MS, abort.signal);
    }
  }

  private _registerGauges(placer: Placer): void {
    for (const lengthClass of Object.values(LengthClass)) {
      this.metrics.gauge('tanager_queue_length', () => placer.queueLength(lengthClass), {
        class: lengthClass,
      });
    }
    this.metrics.gauge('tanager_configuration_offset', () => this.configuration.inForce.offset);
    this.metrics.gauge('tanager_members_live', () => this.membership.live.length);
    this.metrics.gauge('tanager_requests_running', () => this.requests.running);
    this.metrics.gauge('tanager_claim_keys', () => this.ledger.indexedKeys);
  }
}

const READY_POLL_MS = 50;
