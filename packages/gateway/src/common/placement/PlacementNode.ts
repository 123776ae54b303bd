/** The placement components of one node, connected as in a gateway node. Not shipped. */
import { FixedMembership, type MemoryNetwork } from '@tanagerdyke/fakes';
import { Emitter, Metrics } from '@tanagerdyke/kernel';
import { type Member, ZoneBroadcast } from '@tanagerdyke/mesh';
import { DecisionLog } from '../DecisionLog.js';
import type { EngineProfile, TargetEntry, WarmUp } from '../Messages.js';
import type { ZoneChange } from '../state/ZoneEvacuations.js';
import { ActiveRequestTable } from './ActiveRequestTable.js';
import { CellDirectory } from './CellDirectory.js';
import { ColdReports } from './ColdReports.js';
import { ColdTargets } from './ColdTargets.js';
import { CoordinatorChannel } from './CoordinatorChannel.js';
import { CostEstimates } from './CostEstimates.js';
import { EngineScheduler } from './EngineScheduler.js';
import { LoadReporter } from './LoadReporter.js';
import { PlacementClient } from './PlacementClient.js';
import { simpleProfile } from './PlacementFixtures.js';
import { PlacementServer } from './PlacementServer.js';
import { PromptScheduler } from './PromptScheduler.js';
import { RateLimitReports } from './RateLimitReports.js';
import { RateLimits } from './RateLimits.js';
import { TargetPauses } from './TargetPauses.js';
import { TargetHealth } from './TargetHealth.js';

/** A node of a simulated network, with all that takes part in the placement of prompts. */
export class PlacementNode {
  public readonly table: ActiveRequestTable;
  public readonly prompts: PromptScheduler;
  public readonly rateLimits: RateLimits;
  public readonly coldTargets: ColdTargets;
  public readonly membership: FixedMembership;
  /** Engines that accept requests, by the records of this node. */
  public engines: readonly TargetEntry[];
  public readonly regionByZone = new Map<string, string>();
  private readonly _evacuatedZones = new Set<string>();
  private readonly _onEvacuation = new Emitter<ZoneChange>();
  public profile: EngineProfile | undefined = simpleProfile;
  /** What the engines tolerate while they are cold. */
  public warmUp: WarmUp | undefined;
  /** The most nodes that were live at the same time. */
  public maxNodes: number;
  /** Whether other nodes ask this one if it is a coordinator. */
  public hasJoined = true;
  /** Whether the node applies reports about rates, which earlier builds don't. */
  public appliesRateReports = true;

  constructor(
    self: Member,
    members: readonly Member[],
    network: MemoryNetwork,
    engines: readonly TargetEntry[],
  ) {
    const { clock, random } = network;
    const transport = network.join(self.peerAddress);
    const membership = new FixedMembership(self, members);
    this.membership = membership;
    this.maxNodes = members.length;
    const cells = new CellDirectory(membership);
    const channel = new CoordinatorChannel({ clock, transport, membership, cells });
    const health = new TargetHealth(clock);
    const log = new DecisionLog(clock, self.name, () => true);
    this.engines = engines;
    this.table = new ActiveRequestTable(clock, self.name);
    const isEvacuated = (engine: TargetEntry): boolean =>
      this._evacuatedZones.has(engine.availabilityZone);
    const targets = {
      acceptingTargets: (): readonly TargetEntry[] =>
        this.engines.filter((each) => !isEvacuated(each)),
      evacuatedTargets: (): readonly TargetEntry[] => this.engines.filter(isEvacuated),
      onEvacuation: this._onEvacuation.event,
    };
    const metrics = new Metrics();
    this.coldTargets = new ColdTargets({
      clock,
      log,
      metrics,
      findTarget: (id) => this.engines.find((each) => each.id === id),
      findService: (name) => {
        const { profile: engine, warmUp } = this;
        return { name, maxConnections: 1, warmUp, engine };
      },
    });
    this.rateLimits = new RateLimits({
      clock,
      random,
      log,
      metrics,
      countNodes: () => ({ live: membership.live.length, max: this.maxNodes }),
      coldTargets: this.coldTargets,
    });
    const broadcast = new ZoneBroadcast({ clock, transport, membership });
    new ColdReports({ broadcast, coldTargets: this.coldTargets });
    new RateLimitReports({
      broadcast,
      rateLimits: this.rateLimits,
      isKnown: (id) => this.appliesRateReports && this.engines.some((each) => each.id === id),
    });
    const { rateLimits, table: activeRequests } = this;
    const costs = new CostEstimates({ clock, metrics: new Metrics() });
    const common = { clock, random, targets, health, rateLimits, costs, activeRequests, transport };
    const scheduler = new EngineScheduler({
      ...common,
      isFirstCoordinator: (cell) => cells.isFirst(cell),
    });
    new PlacementServer({ ...common, scheduler, findProfile: () => this.profile });
    const publisher = new LoadReporter({ ...common, channel, node: self.name });
    publisher.start();
    this.prompts = new PromptScheduler({
      ...common,
      pauses: new TargetPauses({ clock, random, log, metrics }),
      scheduler,
      publisher,
      cells,
      client: new PlacementClient({
        clock,
        transport,
        log,
        findEngine: (id) => targets.acceptingTargets().find((each) => each.id === id),
      }),
      isCoordinated: () => this.hasJoined,
      onPlaced: (cell) => {
        channel.recordUse(cell);
      },
      node: self.name,
      availabilityZone: self.availabilityZone,
      regionByZone: this.regionByZone,
    });
  }

  /** Evacuates a zone at this node, or ends its evacuation. */
  public evacuate(zone: string, isEvacuated = true): void {
    if (isEvacuated) {
      this._evacuatedZones.add(zone);
    } else {
      this._evacuatedZones.delete(zone);
    }
    this._onEvacuation.fire({ zone, isEvacuated });
  }
}
