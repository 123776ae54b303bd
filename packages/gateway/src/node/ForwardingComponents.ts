/**
 * Creates and owns what the forwarders of a gateway node share: the health, the load and the cost of
 * targets, the placement of prompts, quarantines, and the reports by which nodes exchange them.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { type Membership, MemberStatus, ZoneBroadcast } from '@tanagerdyke/mesh';
import type { TargetEntry } from '../common/Messages.js';
import type { ActiveRequestTable } from '../common/placement/ActiveRequestTable.js';
import type { CellDirectory } from '../common/placement/CellDirectory.js';
import { ColdReports } from '../common/placement/ColdReports.js';
import type { ColdTargets } from '../common/placement/ColdTargets.js';
import type { CoordinatorChannel } from '../common/placement/CoordinatorChannel.js';
import { CostEstimates } from '../common/placement/CostEstimates.js';
import { EngineScheduler } from '../common/placement/EngineScheduler.js';
import { FailureReports } from '../common/placement/FailureReports.js';
import type { LoadReporter } from '../common/placement/LoadReporter.js';
import { PlacementClient } from '../common/placement/PlacementClient.js';
import { PlacementServer } from '../common/placement/PlacementServer.js';
import { PromptScheduler } from '../common/placement/PromptScheduler.js';
import { RateLimitReports } from '../common/placement/RateLimitReports.js';
import type { RateLimits } from '../common/placement/RateLimits.js';
import { ReservationFailures } from '../common/placement/ReservationFailures.js';
import { ServiceLoad } from '../common/placement/ServiceLoad.js';
import { ServiceLoadReports } from '../common/placement/ServiceLoadReports.js';
import { ServiceQueue } from '../common/placement/ServiceQueue.js';
import { TargetHealth } from '../common/placement/TargetHealth.js';
import type { TargetPauses } from '../common/placement/TargetPauses.js';
import { CrashQuarantine } from '../common/quarantine/CrashQuarantine.js';
import { QuarantineReports } from '../common/quarantine/QuarantineReports.js';
import { SharedRetryBudget } from '../common/SharedRetryBudget.js';
import { LeavingReports } from '../common/state/LeavingReports.js';
import type { PlatformView } from '../common/state/PlatformView.js';
import type { AnswerBuffers } from './AnswerBuffers.js';
import type { ForwardingDependencies } from './ForwardedRequest.js';
import type { GatewayNodeOptions } from './GatewayNode.js';
import type { TargetConnections } from './paths/TargetConnections.js';

/** Components of the node that the forwarding relies on. */
export interface ForwardingComponentsOptions extends GatewayNodeOptions {
  readonly membership: Membership;
  readonly platform: PlatformView;
  readonly connections: TargetConnections;
  readonly pauses: TargetPauses;
  readonly rateLimits: RateLimits;
  readonly coldTargets: ColdTargets;
  readonly activeRequests: ActiveRequestTable;
  readonly cells: CellDirectory;
  readonly channel: CoordinatorChannel;
  readonly loadReporter: LoadReporter;
  readonly answerBuffers: AnswerBuffers;
  /** Number of nodes by which shares of common limits are divided. */
  readonly liveNodes: () => number;
  /** Whether this node has joined its peers, or is the only one. */
  readonly isCoordinated: () => boolean;
}

/** The components behind the front of one node. */
export class ForwardingComponents extends DisposableOwner {
  public readonly dependencies: ForwardingDependencies;
  public readonly quarantineReports: QuarantineReports;

  constructor(options: ForwardingComponentsOptions) {
    super();
    const { clock, log, metrics, random, settings, transport } = options;
    const { activeRequests, cells, channel, connections, liveNodes } = options;
    const { coldTargets, membership, pauses, platform, rateLimits } = options;
    const { configuration, targets } = platform;
    const { regionByZone } = settings;
    const { availabilityZone, name: node } = settings.node;
    const health = this.register(new TargetHealth(clock, () => connections.cutOffSince));
    const broadcast = this.register(new ZoneBroadcast({ clock, transport, membership }));
    this.register(new FailureReports({ broadcast, health, node }));
    this.register(new LeavingReports({ broadcast, membership, targets }));
    const costs = this.register(new CostEstimates(options));
    this.register(
      costs.speeds.onChange(({ isSlow, slowdown, target }) => {
        const factor = Math.round(slowdown * 100) / 100;
        log.write(isSlow ? 'target.slow' : 'target.usual-speed', { target, factor });
      }),
    );
    const isKnown = (id: string): boolean => targets.find(id) !== undefined;
    this.register(new RateLimitReports({ broadcast, rateLimits, isKnown }));
    this.register(new ColdReports({ broadcast, coldTargets }));
    const serviceLoad = this.register(new ServiceLoad({ clock, log, liveNodes }));
    this.register(new ServiceLoadReports({ broadcast, serviceLoad, isKnown }));
    const serviceQueue = new ServiceQueue({
      serviceLoad,
      acceptingTargets: (service) => targets.acceptingTargets(service),
      liveNodes,
    });
    metrics.gauge('tanager_calls_waiting', () => serviceQueue.size);
    const quarantine = this.register(new CrashQuarantine(options));
    this.quarantineReports = this.register(
      new QuarantineReports({
        ...options,
        broadcast,
        membership,
        quarantine,
        registry: options.quarantineRegistry,
      }),
    );
    const { connect, upstream } = connections;
    const reservationFailures = new ReservationFailures(clock);
    this.register(
      targets.onChange((entry) => {
        if (targets.find(entry.id) === undefined) {
          upstream.closeTarget(entry);
          health.remove(entry.id);
          rateLimits.remove(entry.id);
          costs.speeds.remove(entry.id);
          coldTargets.remove(entry);
          serviceLoad.remove(entry.id);
          reservationFailures.remove(entry.id);
        }
      }),
    );
    this.register(
      membership.onChange((member) => {
        if (member.status === MemberStatus.Dead || member.status === MemberStatus.Left) {
          activeRequests.removeNode(member.name);
        }
      }),
    );
    const common = {
      ...{ clock, random, targets, health, pauses },
      ...{ rateLimits, costs, coldTargets, availabilityZone, regionByZone, liveNodes },
    };
    const engineScheduler = this.register(
      new EngineScheduler({
        ...common,
        activeRequests,
        isFirstCoordinator: (cell) => cells.isFirst(cell),
      }),
    );
    metrics.gauge('tanager_prompts_waiting', () => engineScheduler.waiting);
    this.register(
      new PlacementServer({
        clock,
        transport,
        scheduler: engineScheduler,
        activeRequests,
        findProfile: (service) => configuration.service(service)?.engine,
      }),
    );
    const findEngine = (id: string): TargetEntry | undefined =>
      targets.acceptsRequests(id) ? targets.find(id) : undefined;
    const scheduler = new PromptScheduler({
      ...common,
      node,
      scheduler: engineScheduler,
      publisher: options.loadReporter,
      cells,
      isCoordinated: options.isCoordinated,
      client: this.register(new PlacementClient({ clock, transport, log, findEngine })),
      onPlaced: (cell) => {
        channel.recordUse(cell);
      },
    });
    const budget = new SharedRetryBudget(clock, settings.retries, liveNodes);
    const engineReservations = options.createEngineReservations(connect);
    this.dependencies = {
      ...options,
      ...common,
      configuration,
      mayBeOutdated: () => platform.mayBeOutdated,
      scheduler,
      budget,
      upstream,
      quarantine,
      engineReservations,
      reservationFailures,
      serviceLoad,
      serviceQueue,
      answerBuffers: options.answerBuffers,
    };
  }
}
