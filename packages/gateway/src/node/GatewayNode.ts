/**
 * A gateway node: the part of the forwarding system that runs on one entry host. The adapters to
 * the platform are injected; membership and transport are the same as in the product's other modes.
 */
import {
  callContained,
  type Clock,
  DisposableOwner,
  type Metrics,
  type RandomSource,
  runContained,
  runInBackground,
  TimeLine,
} from '@tanagerdyke/kernel';
import {
  type Member,
  type MemberState,
  MemberStatus,
  SwimMembership,
  type Transport,
} from '@tanagerdyke/mesh';
import type { buildConnector } from 'undici';
import type { DecisionLog } from '../common/DecisionLog.js';
import { callerLimits } from '../common/callers/CallerLimits.js';
import { drainPeersOf } from '../common/DrainPeers.js';
import { type DrainActivity, DrainSchedule } from '../common/DrainSchedule.js';
import { DrainingNodes } from '../common/DrainingNodes.js';
import { NodePhase } from '../common/NodePhase.js';
import type { GatewaySettings } from '../common/GatewaySettings.js';
import { ActiveRequestTable } from '../common/placement/ActiveRequestTable.js';
import { CellDirectory } from '../common/placement/CellDirectory.js';
import { ColdTargets } from '../common/placement/ColdTargets.js';
import { CoordinatorChannel } from '../common/placement/CoordinatorChannel.js';
import { LoadReporter } from '../common/placement/LoadReporter.js';
import { type NodeCounts, RateLimits } from '../common/placement/RateLimits.js';
import { TargetPauses } from '../common/placement/TargetPauses.js';
import type { QuarantineReports } from '../common/quarantine/QuarantineReports.js';
import type {
  Dialect,
  EngineReservations,
  KeyedTopic,
  NodeRegistry,
  QuarantineRegistry,
  RecordDecoder,
} from '../common/services/Services.js';
import { NodeDirectory } from '../common/state/NodeDirectory.js';
import { PlatformView } from '../common/state/PlatformView.js';
import { AnswerBuffers } from './AnswerBuffers.js';
import { ControlServer } from './ControlServer.js';
import { ForwardingComponents } from './ForwardingComponents.js';
import { GatewayFront } from './GatewayFront.js';
import { explainRequest } from './RequestExplainer.js';
import { TargetConnections } from './paths/TargetConnections.js';

const DRAIN_POLL_MS = 50;
/** Time after which a node that found no peers counts as the only one. */
const JOIN_TIMEOUT_MS = 3_000;

/** Services, adapters and settings of a gateway node. */
export interface GatewayNodeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly transport: Transport;
  readonly settings: GatewaySettings;
  readonly dialect: Dialect;
  readonly decoder: RecordDecoder;
  readonly configurationTopic: KeyedTopic;
  readonly targetTopic: KeyedTopic;
  readonly registry: NodeRegistry;
  /** Creates the client that reserves memory on engines over connections of this node. */
  readonly createEngineReservations: (connect: buildConnector.connector) => EngineReservations;
  readonly quarantineRegistry: QuarantineRegistry;
}

/** Creates, connects and owns the components of a gateway node. */
export class GatewayNode extends DisposableOwner {
  private readonly _membership: SwimMembership;
  private readonly _platform: PlatformView;
  private readonly _loadReporter: LoadReporter;
  private readonly _nodeDirectory: NodeDirectory;
  private readonly _quarantineReports: QuarantineReports;
  private readonly _front: GatewayFront;
  private readonly _answerBuffers: AnswerBuffers;
  private readonly _pauses: TargetPauses;
  private readonly _rateLimits: RateLimits;
  private readonly _coldTargets: ColdTargets;
  private readonly _connections: TargetConnections;
  private readonly _controlServer: ControlServer;
  private _startedAt = Number.POSITIVE_INFINITY;
  /** Undefined until the termination signal. */
  private _drain: DrainSchedule | undefined;
  private _isClosed = false;
  private _phase = NodePhase.Starting;
  /** Highest number of live nodes so far; a mass failure must not enlarge this node's shares. */
  private _maxLiveNodes = 1;

  constructor(private readonly _options: GatewayNodeOptions) {
    super();
    const { clock, dialect, log, metrics, random, registry, settings, transport } = _options;
    const { name } = settings.node;
    const limits = callerLimits(settings);
    this._answerBuffers = new AnswerBuffers(limits.answerBytes);
    const membership = this._createMembership();
    this._membership = membership;
    this._platform = this.register(new PlatformView({ ..._options, membership }));
    this.register(
      this._platform.onUpdate(() => {
        this._publishReadiness();
      }),
    );
    this._pauses = this.register(new TargetPauses(_options));
    this._coldTargets = this._createColdTargets();
    const countNodes = (): NodeCounts => {
      return { live: membership.live.length, max: this._countNodesForShares() };
    };
    const { _coldTargets: coldTargets } = this;
    this._rateLimits = this.register(new RateLimits({ ..._options, countNodes, coldTargets }));
    this._connections = this.register(
      new TargetConnections({
        ..._options,
        membership,
        targets: this._platform.targets,
        pauses: this._pauses,
        rateLimits: this._rateLimits,
        coldTargets,
        relayAddress: settings.listen.relay,
        isDraining: () => this._drain !== undefined,
      }),
    );
    const activeRequests = this.register(new ActiveRequestTable(clock, name));
    const cells = this.register(new CellDirectory(membership));
    const channel = this.register(new CoordinatorChannel({ clock, transport, membership, cells }));
    this._loadReporter = this.register(
      new LoadReporter({ clock, channel, node: name, activeRequests }),
    );
    this._nodeDirectory = this.register(
      new NodeDirectory({ clock, random, log, membership, registry }),
    );
    this.register(
      this._platform.onRestore(() => {
        runInBackground('node.announcement', () => this._nodeDirectory.renew());
      }),
    );
    const state = {
      isClosed: () => this._isClosed,
      admits: (deadlineAt: number) => this._drain?.admits(clock.now(), deadlineAt) ?? true,
      retryAfterMs: () => this._drain?.retryAfterMs(drainPeersOf(membership), random.next()) ?? 0,
      lastAnswerAt: () => this._drain?.lastAnswerAt ?? Number.POSITIVE_INFINITY,
      isDraining: () => this._drain !== undefined,
    };
    const components = this.register(
      new ForwardingComponents({
        ..._options,
        ...{ membership, activeRequests, cells, channel, coldTargets },
        platform: this._platform,
        connections: this._connections,
        pauses: this._pauses,
        rateLimits: this._rateLimits,
        loadReporter: this._loadReporter,
        answerBuffers: this._answerBuffers,
        liveNodes: () => this._countNodesForShares(),
        isCoordinated: () => this._isCoordinated(),
      }),
    );
    const { dependencies: forwarding } = components;
    this._quarantineReports = components.quarantineReports;
    this._front = this.register(new GatewayFront(forwarding, state, limits));
    this._controlServer = this.register(
      new ControlServer({
        dialect,
        membership,
        drainingNodes: this.register(new DrainingNodes({ clock, membership })),
        metrics,
        metricsPath: settings.metricsPath,
        isReady: () => this.isReady,
        clock,
        log,
        limits: limits.control,
        explain: (search) => explainRequest({ ...forwarding, node: name }, search),
      }),
    );
    this._registerGauges();
  }

  /** Whether callers should be directed to this node. */
  public get isReady(): boolean {
    return this._platform.isReady && this._drain === undefined;
  }

  /** The phase of the process, from its start to its end. */
  public get phase(): NodePhase {
    return this._phase === NodePhase.Draining && this._isClosed ? NodePhase.Closed : this._phase;
  }

  /** Requests of this node's callers. */
  public get running(): number {
    return this._front.running;
  }

  /** Listens, joins the peers and starts to receive updates from the platform. */
  public async start(): Promise<void> {
    const { clock, settings } = this._options;
    const { listen } = settings;
    this._startedAt = clock.now();
    await this._front.listen(listen.caller);
    await this._connections.listen();
    for (const address of new Set(listen.control)) {
      await this._controlServer.listen(address);
    }
    this._membership.start();
    this._platform.start();
    this._loadReporter.start();
    this._nodeDirectory.start();
    this._quarantineReports.start();
    this._phase = NodePhase.Serving;
  }

  /**
   * Removes this node from the address responses immediately, accepts new requests for a limited
   * time, waits for the requests in flight, answers those that are left, and returns before the
   * process would be killed.
   */
  public async drain(): Promise<void> {
    const { clock, log, settings } = this._options;
    const startedAt = clock.now();
    const schedule = new DrainSchedule(startedAt, settings.shutdownTimeoutMs);
    this._drain = schedule;
    this._phase = NodePhase.Draining;
    // Ready and draining is a node that drains and still accepts requests.
    this._publish({ isReady: this._platform.isReady, isDraining: true });
    log.write('node.draining', { running: this._front.running });
    while (!schedule.isOver(clock.now(), this._activity)) {
      this._setClosed(!schedule.acceptsRequests(clock.now(), drainPeersOf(this._membership)));
      await clock.sleep(DRAIN_POLL_MS);
    }
    const { running } = this._front;
    this._setClosed(true);
    callContained('node.close', () => {
      this._front.close();
    });
    do {
      await clock.sleep(DRAIN_POLL_MS);
    } while (this._front.running > 0 && !schedule.mustExit(clock.now()));
    this._phase = NodePhase.Leaving;
    await runContained('node.leave', () => this._membership.leave());
    this._phase = NodePhase.Stopped;
    const tookMs = Math.round(clock.now() - startedAt);
    log.write('node.drained', { ended: running, cut: this._front.running, tookMs });
  }

  /** Refuses new requests, or accepts them again since no other node does. */
  private _setClosed(isClosed: boolean): void {
    if (this._isClosed === isClosed) {
      return;
    }
    this._isClosed = isClosed;
    this._publish({ isReady: !isClosed && this._platform.isReady });
    this._options.log.write(isClosed ? 'node.closed' : 'node.reopened', {
      running: this._front.running,
    });
    if (isClosed) {
      callContained('node.refusals', () => {
        this._front.refuseIncomplete();
      });
    }
  }

  /** Publishes the state of a node that drains; a failure must not end the drain with its requests. */
  private _publish(state: Partial<MemberState>): void {
    callContained('node.state', () => {
      this._membership.publish(state);
    });
  }

  /** Requests of this node's callers, and of others whose connections it relays. */
  private get _activity(): DrainActivity {
    const { lastRequestAt, running } = this._front;
    return { lastRequestAt, running: running + this._connections.relayed };
  }

  private _createMembership(): SwimMembership {
    const { clock, log, random, settings, transport } = this._options;
    // The start time as incarnation number grows with each restart, without stored state.
    const startedAt = clock.wallTime();
    const timeLine = new TimeLine(clock, settings.node.name, startedAt);
    this.register(
      timeLine.onEvent((event) => {
        log.write(event.name, event.fields);
      }),
    );
    const self = describeSelf(settings, transport.address, startedAt);
    const { seeds } = settings;
    return this.register(new SwimMembership({ clock, random, transport, timeLine, seeds, self }));
  }

  private _createColdTargets(): ColdTargets {
    const { configuration, targets } = this._platform;
    const coldTargets = this.register(
      new ColdTargets({
        ...this._options,
        findTarget: (id) => targets.find(id),
        findService: (name) => configuration.service(name),
      }),
    );
    this.register(
      targets.onRead((read) => {
        coldTargets.applyEntry(read);
      }),
    );
    // Before the scheduler places prompts on the targets of a zone that returns.
    this.register(
      targets.onEvacuation(({ isEvacuated, zone }) => {
        if (!isEvacuated) {
          coldTargets.recordReturn(targets.targetsInZone(zone).map(({ id }) => id));
        }
      }),
    );
    return coldTargets;
  }

  private _registerGauges(): void {
    const { log, metrics } = this._options;
    metrics.gauge('tanager_members_live', () => this._membership.live.length);
    metrics.gauge('tanager_requests_running', () => this._front.running);
    metrics.gauge('tanager_configuration_version', () => this._platform.version);
    metrics.gauge('tanager_answers_buffered_bytes', () => this._answerBuffers.bytes);
    metrics.gauge('tanager_targets_leaving', () => this._platform.targets.leavingCount);
    metrics.gauge('tanager_zones_evacuated', () => this._platform.evacuations.zones.length);
    metrics.gauge('tanager_platform_epoch', () => this._platform.epoch);
    metrics.gauge('tanager_platform_silence_ms', () => Math.round(this._platform.unconfirmedMs));
    metrics.gauge('tanager_timer_delay_ms', () => this._platform.timerDelayMs);
    metrics.gauge('tanager_log_lines_dropped', () => log.dropped);
  }

  /** Whether this node has joined its peers, or is the only one. */
  private _isCoordinated(): boolean {
    const upMs = this._options.clock.now() - this._startedAt;
    return this._membership.live.length > 1 || upMs >= JOIN_TIMEOUT_MS;
  }

  private _countNodesForShares(): number {
    this._maxLiveNodes = Math.max(this._maxLiveNodes, this._membership.live.length);
    return this._maxLiveNodes;
  }

  private _publishReadiness(): void {
    if (this.isReady && !this._membership.self.state.isReady) {
      this._membership.publish({ isReady: true });
      this._options.log.write('node.ready', { version: this._platform.version });
    }
  }
}

/** The membership record with which this node joins. */
function describeSelf(settings: GatewaySettings, peerAddress: string, startedAt: number): Member {
  return {
    ...settings.node,
    peerAddress,
    callerAddress: `http://${settings.listen.caller}`,
    incarnation: startedAt,
    startedAt,
    stateVersion: 0,
    status: MemberStatus.Alive,
    state: {
      configurationOffset: 0,
      configurationDigest: '',
      isReady: false,
      isDraining: false,
    },
  };
}
