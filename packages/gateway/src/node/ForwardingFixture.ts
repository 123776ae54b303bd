/**
 * Dependencies of the forwarders for tests, with a dialect, routes and targets that are independent
 * of any platform. Not shipped.
 */
import { type Clock, ErrorKind, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { DecisionLog } from '../common/DecisionLog.js';
import { findHeader, keepEndToEnd } from '../common/HttpHeaders.js';
import {
  CallKind,
  type EngineProfile,
  type ForwardingConfiguration,
  type ForwardRoute,
  type TargetEntry,
  type WarmUp,
} from '../common/Messages.js';
import { type ActiveRequest, ActiveRequestTable } from '../common/placement/ActiveRequestTable.js';
import { CostEstimates } from '../common/placement/CostEstimates.js';
import { ColdTargets } from '../common/placement/ColdTargets.js';
import { EngineScheduler } from '../common/placement/EngineScheduler.js';
import {
  type ActiveRequestPublisher,
  type CoordinatorClient,
  PromptScheduler,
} from '../common/placement/PromptScheduler.js';
import { RateLimits } from '../common/placement/RateLimits.js';
import { ReservationFailures } from '../common/placement/ReservationFailures.js';
import { ServiceLoad } from '../common/placement/ServiceLoad.js';
import { ServiceQueue } from '../common/placement/ServiceQueue.js';
import { TargetPauses } from '../common/placement/TargetPauses.js';
import { TargetHealth } from '../common/placement/TargetHealth.js';
import { CrashQuarantine } from '../common/quarantine/CrashQuarantine.js';
import type { Dialect, EngineReservations, RecordDecoder } from '../common/services/Services.js';
import { SharedRetryBudget } from '../common/SharedRetryBudget.js';
import { ConfigurationState } from '../common/state/ConfigurationState.js';
import { KeyedTable } from '../common/state/KeyedTable.js';
import { TargetTable } from '../common/state/TargetTable.js';
import { ZoneEvacuations } from '../common/state/ZoneEvacuations.js';
import { AnswerBuffers } from './AnswerBuffers.js';
import type { ForwardingDependencies } from './ForwardedRequest.js';
import type { RequestSender } from './Upstream.js';

const ZONE = 'a';
/** Region of each zone of the test targets. */
const REGION_BY_ZONE: ReadonlyMap<string, string> = new Map([
  ['a', 'north'],
  ['b', 'south'],
]);
const CONFIGURATION_KEY = 'configuration';
const EVACUATION_PREFIX = 'evacuate/';

/** Refuses every reservation. */
export const noReservations: EngineReservations = {
  reserve: () => Promise.resolve(Result.err(refusal('reservations are not supported'))),
  release: () => Promise.resolve(Result.ok(undefined)),
  inspect: () => Promise.resolve(Result.err(refusal('reservations are not supported'))),
};

/** The only node coordinates all cells, so it asks nobody. */
const noClient: CoordinatorClient = {
  shouldAsk: () => false,
  ask: () => Promise.resolve(undefined),
};

/** Applies the updates of the only node, `n`, to its table of active requests. */
function publisherTo(activeRequests: ActiveRequestTable): ActiveRequestPublisher {
  const keep = (request: ActiveRequest): void => {
    activeRequests.set('n', request);
  };
  return {
    publish: keep,
    markGenerating: ({ id }) => {
      activeRequests.markGenerating('n', id);
    },
    remove: (id) => {
      activeRequests.remove('n', id);
    },
  };
}

/** Uses short header names in place of those of a platform. */
export const testDialect: Dialect = {
  readyPath: '/ready',
  addressPath: '/addresses',
  parseCallerRequest: (headers) => ({
    attemptId: findHeader(headers, 'attempt'),
    host: findHeader(headers, 'host') ?? '',
    remainingMs: numberOf(findHeader(headers, 'waits')),
    key: findHeader(headers, 'key'),
    promptTokens: numberOf(findHeader(headers, 'prompt')) ?? 0,
    outputTokens: numberOf(findHeader(headers, 'output')) ?? 0,
    expectedOutputTokens: numberOf(findHeader(headers, 'hint')),
    lastEventId: findHeader(headers, 'last'),
    sharedParts: [],
    ownPart: undefined,
  }),
  buildForwardedHeaders: (headers, gatewayHeaders) => {
    if (findHeader(headers, 'defect') !== undefined) {
      throw new Error('a defect that the test requested');
    }
    const kept = keepEndToEnd(headers, new Set(['content-length', 'key', 'waits', 'last']));
    const last =
      gatewayHeaders.lastEventId === undefined ? [] : ['Last', gatewayHeaders.lastEventId];
    return [
      ...kept,
      'Waits',
      String(Math.floor(gatewayHeaders.remainingMs)),
      'Target',
      gatewayHeaders.targetId,
      ...last,
    ];
  },
  parseTargetAnswer: (status, headers) => ({
    status,
    attemptId: findHeader(headers, 'attempt'),
    isNotRun: findHeader(headers, 'not-run') !== undefined,
    isMisdirected: false,
    isLeaving: findHeader(headers, 'leaving') !== undefined,
    pauseMs: numberOf(findHeader(headers, 'pause')),
    coldMs: numberOf(findHeader(headers, 'cold')),
    failedAddress: findHeader(headers, 'failed-at'),
    requestsPerSecond: numberOf(findHeader(headers, 'rate')),
  }),
  parseAddressQuery: () => ({ region: '', availabilityZone: '' }),
  formatAddresses: (addresses) => JSON.stringify(addresses),
};

const profile: EngineProfile = {
  slots: 4,
  memoryTokens: 100_000,
  stepMs: 1,
  msPerSequence: 0,
  msPerThousandContextTokens: 0,
  prefillTokensPerMs: 1_000,
  msPerMillionPairs: 0,
  chunkTokens: 2_000,
  stride: 1,
};

/** A configuration with one route of each kind. */
export const configuration: ForwardingConfiguration = {
  version: 1,
  routes: [
    routeOf('/idempotent/', CallKind.Idempotent, 'app'),
    routeOf('/once/', CallKind.NonIdempotent, 'app'),
    routeOf('/stream/', CallKind.Stream, 'engine'),
  ],
  services: [
    { name: 'app', maxConnections: 50, warmUp: undefined, engine: undefined },
    { name: 'engine', maxConnections: 50, warmUp: undefined, engine: profile },
  ],
  requiresKeys: true,
  workspaces: [{ name: 'w', keys: ['k'], priority: undefined, allowedRegions: undefined }],
  limits: { headerBytes: 8_192, bodyBytes: 1_000, headerTimeoutMs: 2_000, idleTimeoutMs: 5_000 },
};

function routeOf(pathPrefix: string, kind: CallKind, service: string): ForwardRoute {
  return {
    name: pathPrefix,
    host: 'test',
    pathPrefix,
    kind,
    timeoutMs: 3_000,
    latencyTargetMs: 300,
    pauseTargetMs: 200,
    maxAttempts: 2,
    allowsAnonymous: false,
    allowedRegions: undefined,
    isResumable: true,
    priority: 1,
    shares: [{ service, weight: 1 }],
  };
}

/** A target that accepts requests. */
export function targetEntry(id: string, service: string, address: string): TargetEntry {
  return {
    id,
    service,
    address,
    availabilityZone: ZONE,
    slots: profile.slots,
    isDraining: false,
    coldMs: 0,
    startedAt: undefined,
  };
}

/** Dependencies and settings that differ between tests. */
export interface ForwardingFixtureOptions {
  readonly clock: Clock;
  readonly upstream: RequestSender;
  /** Receives each line of the decision log. */
  readonly onLine?: (line: string) => void;
  /** Size of the retry budget, which is not replenished. */
  readonly budgetAllowance?: number;
  /** What the targets of all services tolerate while they are cold. */
  readonly warmUp?: WarmUp;
  /** Differs between nodes that take part in one test. */
  readonly seed?: number;
  /** Refuses every reservation by default. */
  readonly engineReservations?: EngineReservations;
}

/** Dependencies of the forwarders on one node, `n`; tests add targets and the configuration. */
export class ForwardingFixture {
  public readonly dependencies: ForwardingDependencies;
  /** Whether a newer configuration may be in force than the published one. */
  public mayBeOutdated = false;
  private _published = configuration;
  private readonly _configurationRecords = new KeyedTable('configuration');
  private readonly _targetRecords = new KeyedTable('targets');
  private readonly _entries = new Map<string, TargetEntry>();

  constructor({
    budgetAllowance = 100,
    clock,
    engineReservations = noReservations,
    onLine,
    upstream,
    warmUp,
    seed = 1,
  }: ForwardingFixtureOptions) {
    const random = new SeededRandom(seed);
    const log = new DecisionLog(clock, 'n', (line) => {
      onLine?.(line);
      return true;
    });
    const decoder: RecordDecoder = {
      isConfiguration: (key) => key === CONFIGURATION_KEY,
      evacuatedZone: (key) =>
        key.startsWith(EVACUATION_PREFIX) ? key.slice(EVACUATION_PREFIX.length) : undefined,
      configuration: () => Result.ok(this._published),
      target: (id) => {
        const entry = this._entries.get(id);
        return entry === undefined ? Result.err(refusal('unknown')) : Result.ok(entry);
      },
    };
    const evacuations = new ZoneEvacuations({
      table: this._configurationRecords,
      decoder,
      log,
      countTargets: (zone) => targets.targetsInZone(zone).length,
    });
    const targets: TargetTable = new TargetTable({
      clock,
      table: this._targetRecords,
      decoder,
      log,
      evacuations,
      hadRecentOutage: () => false,
    });
    const activeRequests = new ActiveRequestTable(clock, 'n');
    const liveNodes = (): number => 1;
    const health = new TargetHealth(clock);
    const metrics = new Metrics();
    const coldTargets = new ColdTargets({
      clock,
      log,
      metrics,
      findTarget: (id) => targets.find(id),
      findService: (name) => {
        const service = configuration.services.find((each) => each.name === name);
        return service === undefined ? undefined : { ...service, warmUp };
      },
    });
    targets.onRead((read) => {
      coldTargets.applyEntry(read);
    });
    const rateLimits = new RateLimits({
      clock,
      random,
      log,
      metrics,
      countNodes: () => ({ live: 1, max: 1 }),
      coldTargets,
    });
    const pauses = new TargetPauses({ clock, random, log, metrics });
    const common = {
      clock,
      random,
      targets,
      health,
      pauses,
      rateLimits,
      costs: new CostEstimates({ clock, metrics }),
      coldTargets,
      availabilityZone: ZONE,
      regionByZone: REGION_BY_ZONE,
      liveNodes,
    };
    const serviceLoad = new ServiceLoad({ clock, log, liveNodes });
    const acceptingTargets = (service: string): readonly TargetEntry[] =>
      targets.acceptingTargets(service);
    this.dependencies = {
      ...common,
      serviceLoad,
      serviceQueue: new ServiceQueue({ serviceLoad, acceptingTargets, liveNodes }),
      metrics,
      quarantine: new CrashQuarantine({ clock, log, metrics }),
      log,
      dialect: testDialect,
      configuration: new ConfigurationState(this._configurationRecords, decoder, log),
      scheduler: new PromptScheduler({
        ...common,
        node: 'n',
        scheduler: new EngineScheduler({
          ...common,
          activeRequests,
          isFirstCoordinator: () => true,
        }),
        publisher: publisherTo(activeRequests),
        cells: { coordinatorsOf: () => [{ name: 'n', peerAddress: '' }] },
        isCoordinated: () => true,
        client: noClient,
        onPlaced: () => undefined,
      }),
      engineReservations,
      reservationFailures: new ReservationFailures(clock),
      budget: new SharedRetryBudget(
        clock,
        { ratio: 0, windowMs: 10_000, allowance: budgetAllowance },
        liveNodes,
      ),
      upstream,
      answerBuffers: new AnswerBuffers(),
      mayBeOutdated: () => this.mayBeOutdated,
    };
  }

  /** Applies the configuration record. */
  public publishConfiguration(): void {
    this._configurationRecords.applySnapshot({
      epoch: undefined,
      records: [{ key: CONFIGURATION_KEY, offset: 0, value: Buffer.from('x') }],
      end: 1,
    });
  }

  /** Applies a newer configuration with some changes. */
  public changeConfiguration(changes: Partial<ForwardingConfiguration>): void {
    this._published = { ...this._published, ...changes, version: this._published.version + 1 };
    const offset = this._configurationRecords.end;
    const record = { key: CONFIGURATION_KEY, offset, value: Buffer.from('x') };
    this._configurationRecords.apply([record], offset + 1);
  }

  /** Applies a record that evacuates a zone, or that ends its evacuation. */
  public evacuate(zone: string, isEvacuated = true): void {
    const offset = this._configurationRecords.end;
    const value = isEvacuated ? Buffer.from('{}') : undefined;
    const record = { key: `${EVACUATION_PREFIX}${zone}`, offset, value };
    this._configurationRecords.apply([record], offset + 1);
  }

  /** Applies the removal of a target. */
  public removeTarget(id: string): void {
    this._entries.delete(id);
    const offset = this._targetRecords.end;
    this._targetRecords.apply([{ key: id, offset, value: undefined }], offset + 1);
  }

  /** Applies the record of a target. */
  public addTarget(entry: TargetEntry): void {
    this._entries.set(entry.id, entry);
    const offset = this._targetRecords.end;
    this._targetRecords.apply([{ key: entry.id, offset, value: Buffer.from('x') }], offset + 1);
  }
}

function numberOf(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

function refusal(message: string): ServiceError {
  return new ServiceError(ErrorKind.Overloaded, message, { remedy: 'none' });
}
