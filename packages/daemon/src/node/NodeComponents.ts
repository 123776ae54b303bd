/**
 * Creates the components of a node, layer by layer. Each component that holds resources is
 * registered with the node, which disposes them in reverse order.
 */
import {
  type Clock,
  createLogger,
  type Disposable,
  InvariantMonitor,
  type Logger,
  type Metrics,
  type RandomSource,
  TimeLine,
} from '@tanagerdyke/kernel';
import type { TargetAdapters } from '@tanagerdyke/contracts';
import { AnswerStore, type ClaimLayout, ClaimLedger } from '@tanagerdyke/claims';
import {
  Checkpointer,
  type Configuration,
  type ConfigurationFollower,
  ConfigurationFreshness,
  ConfigurationPublisher,
  NO_OFFSET,
  PeerCatchUp,
  type System,
} from '@tanagerdyke/configuration';
import { FleetController } from '@tanagerdyke/fleet';
import { type Member, MemberStatus, SwimMembership, type Transport } from '@tanagerdyke/mesh';
import {
  AttemptRegistry,
  type CompletionServer,
  Placer,
  type PolicyRegistry,
  ReservationClient,
  ReservationService,
  type TargetDirectory,
} from '@tanagerdyke/serving';
import type { Settings } from '../common/Settings.js';
import type { Platform } from './adapters/register.js';
import { countEvents } from './EventMetrics.js';
import type { AtMostOnceClient, MechanismFactories } from './MechanismFactories.js';

/** The dependencies and settings of a node. */
export interface NodeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  readonly platform: Platform;
  readonly targets: TargetAdapters;
  readonly policies: PolicyRegistry;
  readonly mechanisms: MechanismFactories;
  readonly settings: Settings;
  readonly metrics: Metrics;
}

/** Dependencies shared by all components of a node. */
export interface NodeContext extends NodeOptions {
  readonly timeLine: TimeLine;
  readonly invariants: InvariantMonitor;
  /** Wall time of the start, in milliseconds; also the first incarnation of this process. */
  readonly startedAt: number;
  readonly logger: (area: string) => Logger;
  readonly register: <T extends Disposable>(disposable: T) => T;
}

/** The components that follow and publish the configuration. */
export interface ConfigurationComponents {
  readonly follower: ConfigurationFollower;
  readonly catchUp: PeerCatchUp;
  readonly checkpointer: Checkpointer;
  readonly freshness: ConfigurationFreshness;
  readonly publisher: ConfigurationPublisher;
}

/** The components of calls that may not be repeated. */
export interface ClaimComponents {
  readonly ledger: ClaimLedger;
  readonly atMostOnceClient: AtMostOnceClient;
}

/** The components that place and stream completions. */
export interface ServingComponents {
  readonly directory: TargetDirectory;
  readonly reservationService: ReservationService;
  readonly placer: Placer;
  readonly completions: CompletionServer;
}

export function createContext(
  options: NodeOptions,
  register: NodeContext['register'],
): NodeContext {
  const { clock, metrics, settings } = options;
  const { name } = settings.node;
  // The wall time gives a restarted node a higher incarnation without stored state.
  const startedAt = clock.wallTime();
  const timeLine = new TimeLine(clock, name, startedAt);
  const logger = (area: string): Logger => createLogger(clock, name, area);
  const invariants = new InvariantMonitor(timeLine, metrics, logger('node'));
  register(countEvents(timeLine, metrics));
  return { ...options, timeLine, invariants, startedAt, logger, register };
}

export function createMembership(context: NodeContext): SwimMembership {
  const { clock, random, register, settings, timeLine, transport } = context;
  const { seeds } = settings;
  const self = createSelfMember(context);
  return register(new SwimMembership({ clock, random, transport, timeLine, seeds, self }));
}

export function createConfigurationComponents(
  context: NodeContext,
  membership: SwimMembership,
): ConfigurationComponents {
  const { clock, invariants, mechanisms, platform, random, register, timeLine, transport } =
    context;
  const { log } = platform;
  const logger = context.logger('configuration');
  const follower = register(
    mechanisms.createFollower({ clock, log, membership, timeLine, logger, invariants }),
  );
  const catchUp = register(new PeerCatchUp({ clock, transport, membership, follower }));
  const checkpointer = register(
    new Checkpointer({ clock, random, log, follower, membership, timeLine }),
  );
  const freshness = register(
    new ConfigurationFreshness({ clock, membership, follower, catchUp, timeLine }),
  );
  const publisher = register(
    new ConfigurationPublisher({ clock, log, configuration: follower, timeLine }),
  );
  return { follower, catchUp, checkpointer, freshness, publisher };
}

export function createClaimComponents(
  context: NodeContext,
  membership: SwimMembership,
  configuration: Configuration,
): ClaimComponents {
  const { clock, invariants, mechanisms, random, register, timeLine, transport } = context;
  const { log } = context.platform;
  const logger = context.logger('claims');
  const layout = (): ClaimLayout => toClaimLayout(configuration.set.system);
  const ledger = register(
    new ClaimLedger({ clock, log, logger, timeLine, transport, membership, layout }),
  );
  const answers = register(new AnswerStore(transport, membership));
  const atMostOnceClient = mechanisms.createAtMostOnceClient({
    clock,
    random,
    ledger,
    answers,
    membership,
    timeLine,
    invariants,
  });
  return { ledger, atMostOnceClient };
}

export function createServingComponents(
  context: NodeContext,
  membership: SwimMembership,
  configuration: Configuration,
): ServingComponents {
  const { clock, mechanisms, metrics, platform, policies, random, register, timeLine, transport } =
    context;
  const { hostList } = platform;
  const adapters = context.targets;
  const directory = register(
    mechanisms.createDirectory({ clock, configuration, membership, timeLine, hostList, adapters }),
  );
  const attempts = register(new AttemptRegistry(transport));
  const common = { clock, transport, membership, directory, timeLine };
  const reconciler = register(mechanisms.createReconciler({ ...common, attempts, metrics }));
  const reservationService = register(new ReservationService({ ...common, reconciler }));
  const reservationClient = new ReservationClient({
    clock,
    transport,
    membership,
    directory,
    local: reservationService,
  });
  const placer = register(
    new Placer({
      clock,
      random,
      directory,
      reservations: reservationClient,
      attempts,
      membership,
      policies,
    }),
  );
  const completions = mechanisms.createCompletions({
    clock,
    random,
    directory,
    reservations: reservationClient,
    placer,
    membership,
    timeLine,
    metrics,
  });
  return { directory, reservationService, placer, completions };
}

export function createFleetController(
  context: NodeContext,
  membership: SwimMembership,
  configuration: Configuration,
  directory: TargetDirectory,
): FleetController {
  const { clock, metrics, platform, random, register, timeLine } = context;
  const { log, weightStore } = platform;
  const logger = context.logger('fleet');
  return register(
    new FleetController({
      clock,
      random,
      log,
      weightStore,
      configuration,
      membership,
      directory,
      logger,
      timeLine,
      metrics,
    }),
  );
}

/** The member record with which this node joins. */
function createSelfMember({ settings, startedAt, transport }: NodeContext): Member {
  return {
    ...settings.node,
    peerAddress: transport.address,
    callerAddress: `http://${settings.listen.caller}`,
    incarnation: startedAt,
    startedAt,
    stateVersion: 0,
    status: MemberStatus.Alive,
    state: {
      configurationOffset: NO_OFFSET,
      configurationDigest: '',
      isReady: false,
      isDraining: false,
    },
  };
}

function toClaimLayout({ claimShards, claimWindowMs, retiringClaimShards }: System): ClaimLayout {
  return { shards: claimShards, retiringShards: retiringClaimShards, windowMs: claimWindowMs };
}
