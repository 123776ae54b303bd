/**
 * A gateway node: one entry host's share of the forwarding system, with the platform injected. It
 * shares membership and transport with the other modes of the product.
 */
import {
  type Clock,
  DisposableOwner,
  type Metrics,
  type RandomSource,
  TimeLine,
} from '@tanagerdyke/kernel';
import {
  type Member,
  MemberStatus,
  SwimMembership,
  type Transport,
  ZoneBroadcast,
} from '@tanagerdyke/mesh';
import type { DecisionLog } from '../common/DecisionLog.js';
import { DrainSchedule } from '../common/DrainSchedule.js';
import type { GatewaySettings } from '../common/GatewaySettings.js';
import { EngineScheduler } from '../common/placement/EngineScheduler.js';
import { LoadBoard } from '../common/placement/LoadBoard.js';
import { LoadNews } from '../common/placement/LoadNews.js';
import { TargetHealth } from '../common/placement/TargetHealth.js';
import type {
  Dialect,
  EngineReservations,
  KeyedTopic,
  NodeRegistry,
  RecordDecoder,
} from '../common/services/Services.js';
import { SharedRetryBudget } from '../common/SharedRetryBudget.js';
import { NodeDirectory } from '../common/state/NodeDirectory.js';
import { PlatformView } from '../common/state/PlatformView.js';
import { ControlFronts } from './ControlFronts.js';
import type { ForwardingParts } from './ForwardedRequest.js';
import { GatewayFront } from './GatewayFront.js';
import { Upstream } from './Upstream.js';

const DRAIN_POLL_MS = 50;

/** Everything a gateway node meets. */
export interface GatewayOptions {
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
  readonly engines: EngineReservations;
}

/** One gateway node with all its parts. */
export class GatewayNode extends DisposableOwner {
  private readonly _membership: SwimMembership;
  private readonly _platform: PlatformView;
  private readonly _news: LoadNews;
  private readonly _nodes: NodeDirectory;
  private readonly _front: GatewayFront;
  private readonly _control: ControlFronts;
  private _isDraining = false;
  private _isClosed = false;
  /** The most nodes seen alive, so that a mass failure doesn't enlarge this node's shares. */
  private _mostNodes = 1;

  constructor(private readonly _options: GatewayOptions) {
    super();
    const { clock, dialect, log, metrics, registry, settings, transport } = _options;
    const { name } = settings.node;
    const membership = this._createMembership();
    this._membership = membership;
    this._platform = this.register(new PlatformView({ ..._options, membership }));
    this.register(
      this._platform.onKnown(() => {
        this._publishReadiness();
      }),
    );
    const board = this.register(new LoadBoard(clock, name));
    const broadcast = this.register(new ZoneBroadcast({ clock, transport, membership }));
    this._news = this.register(new LoadNews({ clock, broadcast, node: name, board }));
    this._nodes = this.register(new NodeDirectory({ clock, log, membership, registry }));
    const state = {
      isClosed: () => this._isClosed,
      isDraining: () => this._isDraining,
    };
    this._front = this.register(new GatewayFront(this._createForwardingParts(board), state));
    this._control = this.register(
      new ControlFronts({
        dialect,
        membership,
        metrics,
        metricsPath: settings.metricsPath,
        isReady: () => this.isReady,
      }),
    );
    this._registerGauges();
  }

  /** Whether callers should be sent here. */
  public get isReady(): boolean {
    return this._platform.isKnown && !this._isDraining;
  }

  /** Listens and starts to follow the platform and the peers. */
  public async start(): Promise<void> {
    const { listen } = this._options.settings;
    await this._front.listen(listen.caller);
    for (const address of new Set(listen.control)) {
      await this._control.listen(address);
    }
    this._membership.start();
    this._platform.start();
    this._news.start();
    this._nodes.start();
  }

  /**
   * Leaves the address answers at once, serves what still comes for a while, waits for what runs,
   * and returns before the process would be ended by force.
   */
  public async drain(): Promise<void> {
    const { clock, log, settings } = this._options;
    const startedAt = clock.now();
    const schedule = new DrainSchedule(startedAt, settings.shutdownMs);
    this._isDraining = true;
    this._membership.publish({ isReady: false, isDraining: true });
    log.note('node.draining', { running: this._front.running });
    while (!schedule.isOver(clock.now(), this._front)) {
      this._isClosed ||= !schedule.accepts(clock.now());
      await clock.sleep(DRAIN_POLL_MS);
    }
    await this._membership.leave();
    const tookMs = Math.round(clock.now() - startedAt);
    log.note('node.drained', { cut: this._front.running, tookMs });
  }

  private _createMembership(): SwimMembership {
    const { clock, log, random, settings, transport } = this._options;
    // A restarted node has a higher incarnation than before, without any stored state.
    const startedAt = clock.wallTime();
    const timeLine = new TimeLine(clock, settings.node.name, startedAt);
    this.register(
      timeLine.onEvent((event) => {
        log.note(event.name, event.fields);
      }),
    );
    const self = describeSelf(settings, transport.address, startedAt);
    const { seeds } = settings;
    return this.register(new SwimMembership({ clock, random, transport, timeLine, seeds, self }));
  }

  private _createForwardingParts(board: LoadBoard): ForwardingParts {
    const { clock, random, settings } = this._options;
    const { configuration, targets } = this._platform;
    const { availabilityZone } = settings.node;
    const health = new TargetHealth(clock);
    const upstream = this.register(new Upstream());
    const liveNodes = (): number => this._countNodes();
    this.register(
      targets.onChange((entry) => {
        if (targets.find(entry.id) === undefined) {
          upstream.forget(entry);
          health.forget(entry.id);
        }
      }),
    );
    this.register(
      this._membership.onChange((member) => {
        if (member.status === MemberStatus.Dead || member.status === MemberStatus.Left) {
          board.forget(member.name);
        }
      }),
    );
    const common = { clock, random, targets, health, availabilityZone, liveNodes };
    const scheduler = new EngineScheduler({
      ...common,
      board,
      publisher: this._news,
      newsDelayMs: () => this._news.delayMs,
    });
    const budget = new SharedRetryBudget(clock, settings.retries, liveNodes);
    return { ...this._options, ...common, configuration, scheduler, budget, upstream };
  }

  private _registerGauges(): void {
    const { log, metrics } = this._options;
    metrics.gauge('tanager_members_live', () => this._membership.live.length);
    metrics.gauge('tanager_requests_running', () => this._front.running);
    metrics.gauge('tanager_configuration_version', () => this._platform.version);
    metrics.gauge('tanager_platform_silence_ms', () => Math.round(this._platform.silenceMs));
    metrics.gauge('tanager_log_lines_dropped', () => log.dropped);
  }

  private _countNodes(): number {
    this._mostNodes = Math.max(this._mostNodes, this._membership.live.length);
    return this._mostNodes;
  }

  private _publishReadiness(): void {
    if (this.isReady && !this._membership.self.state.isReady) {
      this._membership.publish({ isReady: true });
      this._options.log.note('node.ready', { version: this._platform.version });
    }
  }
}

/** This node as it first tells others of itself. */
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
