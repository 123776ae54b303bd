/**
 * Sends orders to engines. For each model and region only one node at a time, the holder of a lease
 * in the log, derives orders from the configuration in force. It checks its lease right before each
 * send. A target that ignores fencing numbers gets orders of a new holder only after the longest
 * time that an order of the previous holder may still run, and after its state was read again.
 */
import {
  type Clock,
  DisposableOwner,
  keepRunning,
  type Logger,
  LogLevel,
  type Metrics,
  type RandomSource,
  runInBackground,
  type TimeLine,
  toDisposable,
} from '@tanagerdyke/kernel';
import {
  type LoadReport,
  OrderKind,
  type PlatformLog,
  type WeightStore,
} from '@tanagerdyke/contracts';
import { type Configuration, type Model, ObjectKind, type Host } from '@tanagerdyke/configuration';
import { type Membership, rankByRendezvous } from '@tanagerdyke/mesh';
import type { TargetDirectory } from '@tanagerdyke/serving';
import { LeaseKeeper } from './LeaseKeeper.js';
import { enginesOfModel, type PlannedOrder, planOrders } from './OrderPlan.js';
import { WeightLoadLimiter } from './WeightLoadLimiter.js';

/** Number of nodes that compete for a lease. */
const CANDIDATES_PER_LEASE = 3;
/** How much longer each lower-ranked candidate waits before it acquires a free lease. */
const EXTRA_WAIT_PER_RANK_MS = 2_000;
const ASSIGNMENT_INTERVAL_MS = 1_000;
const ORDER_INTERVAL_MS = 1_000;
/** Longest time that an engine may take to execute an order. */
const MAX_ORDER_DURATION_MS = 60_000;

export interface FleetControllerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: PlatformLog;
  readonly weightStore: WeightStore;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly directory: TargetDirectory;
  readonly logger: Logger;
  readonly timeLine: TimeLine;
  readonly metrics: Metrics;
}

/** A lease that this node competes for or holds. */
interface Candidacy {
  readonly model: string;
  readonly region: string;
  readonly keeper: LeaseKeeper;
  readonly loadLimiter: WeightLoadLimiter;
  /** Orders sent and not yet answered, by target, kind and version. */
  readonly inFlight: Set<string>;
  /** The fencing number at the last order interval; `undefined` if the lease wasn't held then. */
  fencingNumber: number | undefined;
  /** When `fencingNumber` last changed. */
  heldSince: number;
}

/** Competes for leases and sends the orders of those that this node holds. */
export class FleetController extends DisposableOwner {
  private readonly _candidacies = new Map<string, Candidacy>();
  private readonly _abort = new AbortController();

  constructor(private readonly _options: FleetControllerOptions) {
    super();
    this.register(
      toDisposable(() => {
        this._abort.abort();
      }),
    );
  }

  public start(): void {
    keepRunning(this._options.clock, this._abort.signal, 'order.assignment', () =>
      this._assignmentTask(),
    );
    keepRunning(this._options.clock, this._abort.signal, 'order.sending', () => this._orderTask());
  }

  /** Streams of the leases under which this node may currently send orders. */
  public get heldStreams(): readonly string[] {
    return [...this._candidacies]
      .filter(([, { keeper }]) => keeper.fencingNumber !== undefined)
      .map(([stream]) => stream);
  }

  /** Releases all leases, before this node leaves. */
  public async release(): Promise<void> {
    this._abort.abort();
    await Promise.all([...this._candidacies.values()].map(({ keeper }) => keeper.release()));
  }

  private async _assignmentTask(): Promise<void> {
    const { clock } = this._options;
    const { signal } = this._abort;
    while (!signal.aborted) {
      this._adjustCandidacies();
      await clock.sleep(ASSIGNMENT_INTERVAL_MS, signal);
    }
  }

  private _adjustCandidacies(): void {
    const streams = new Set<string>();
    for (const { model, region, stream } of this._allLeases()) {
      if (this._rank(stream) < CANDIDATES_PER_LEASE) {
        streams.add(stream);
        this._openCandidacy(model, region, stream);
      }
    }
    for (const [stream, { keeper }] of this._candidacies) {
      if (!streams.has(stream)) {
        this._candidacies.delete(stream);
        runInBackground('lease.release', () => keeper.release());
      }
    }
  }

  private _allLeases(): readonly { model: string; region: string; stream: string }[] {
    const { set } = this._options.configuration;
    const regions = new Set(set.ofKind<Host>(ObjectKind.Host).map(({ region }) => region));
    return set.ofKind<Model>(ObjectKind.Model).flatMap(({ name }) =>
      [...regions].map((region) => ({
        model: name,
        region,
        stream: `leases/${name}/${region}`,
      })),
    );
  }

  private _openCandidacy(model: string, region: string, stream: string): void {
    if (this._candidacies.has(stream)) {
      return;
    }
    const { clock, log, logger, membership, random, timeLine } = this._options;
    const { name, startedAt } = membership.self;
    const keeper = this.register(
      new LeaseKeeper({
        clock,
        random,
        log,
        logger,
        timeLine,
        stream,
        node: name,
        startedAt,
        extraWaitMs: () => this._rank(stream) * EXTRA_WAIT_PER_RANK_MS,
      }),
    );
    const loadLimiter = new WeightLoadLimiter(clock, 0);
    const inFlight = new Set<string>();
    const candidacy = {
      model,
      region,
      keeper,
      loadLimiter,
      inFlight,
      fencingNumber: undefined,
      heldSince: 0,
    };
    this._candidacies.set(stream, candidacy);
    keeper.start();
  }

  /** The rank of this node among the candidates for a lease, 0 for the first. */
  private _rank(stream: string): number {
    const { self, serving } = this._options.membership;
    const names = serving.map(({ name }) => name);
    const rank = rankByRendezvous(stream, names).indexOf(self.name);
    return rank < 0 ? Number.MAX_SAFE_INTEGER : rank;
  }

  private async _orderTask(): Promise<void> {
    const { clock } = this._options;
    const { signal } = this._abort;
    while (!signal.aborted) {
      await clock.sleep(ORDER_INTERVAL_MS, signal);
      await this._updateLoadRates();
      for (const candidacy of this._candidacies.values()) {
        await this._sendOrders(candidacy);
      }
    }
  }

  /** Gives each lease an equal share of the store's rate, so that holders need no coordination. */
  private async _updateLoadRates(): Promise<void> {
    if (this.heldStreams.length === 0) {
      return;
    }
    const rate = await this._options.weightStore.loadsPerMinute();
    const share = rate.isOk ? rate.value / Math.max(1, this._allLeases().length) : 0;
    for (const { loadLimiter } of this._candidacies.values()) {
      loadLimiter.setRate(share);
    }
  }

  private async _sendOrders(candidacy: Candidacy): Promise<void> {
    const { clock, configuration } = this._options;
    const { fencingNumber } = candidacy.keeper;
    if (fencingNumber !== candidacy.fencingNumber) {
      candidacy.fencingNumber = fencingNumber;
      candidacy.heldSince = clock.now();
    }
    if (fencingNumber === undefined) {
      return;
    }
    const { set } = configuration;
    const engines = enginesOfModel(set, candidacy.model, candidacy.region);
    const reports = await this._readReports(engines);
    for (const planned of planOrders(set, candidacy.model, engines, reports)) {
      this._sendIfAllowed(candidacy, planned, fencingNumber);
    }
  }

  private async _readReports(
    engines: readonly PlannedOrder['hostedTarget'][],
  ): Promise<ReadonlyMap<string, LoadReport>> {
    const reports = new Map<string, LoadReport>();
    await Promise.all(
      engines.map(async ({ target }) => {
        const engine = this._options.directory.engine(target);
        const report = engine.isOk ? await engine.value.load() : undefined;
        if (report?.isOk === true) {
          reports.set(target.name, report.value);
        }
      }),
    );
    return reports;
  }

  private _sendIfAllowed(candidacy: Candidacy, planned: PlannedOrder, fencingNumber: number): void {
    const { clock, directory } = this._options;
    const { target } = planned.hostedTarget;
    const isAwaitingPredecessor =
      !target.checksFencing && clock.now() - candidacy.heldSince < MAX_ORDER_DURATION_MS;
    // The lease may have been lost while the load reports were read.
    const isHeld = candidacy.keeper.fencingNumber === fencingNumber;
    const key = `${target.name}/${planned.order.kind}/${planned.order.version ?? ''}`;
    const engine = directory.engine(target);
    if (isAwaitingPredecessor || !isHeld || candidacy.inFlight.has(key) || engine.isErr) {
      return;
    }
    if (planned.order.kind === OrderKind.LoadVersion && !candidacy.loadLimiter.tryTake()) {
      return;
    }
    candidacy.inFlight.add(key);
    runInBackground('order.execution', () =>
      this._executeOrder(candidacy, key, planned, fencingNumber),
    );
  }

  private async _executeOrder(
    candidacy: Candidacy,
    key: string,
    planned: PlannedOrder,
    fencingNumber: number,
  ): Promise<void> {
    const { directory, logger, metrics, timeLine } = this._options;
    const { name } = planned.hostedTarget.target;
    const { kind, version } = planned.order;
    timeLine.record('order.sent', { target: name, kind, version, fencing: fencingNumber });
    metrics.increment('tanager_orders_total', { kind });
    const engine = directory.engine(planned.hostedTarget.target);
    const result = await engine
      .map((each) => each.order({ ...planned.order, fencing: fencingNumber }))
      .unwrapOr(undefined);
    if (result?.isErr === true) {
      logger.log(LogLevel.Warn, result.error.message, { target: name, kind: result.error.kind });
    }
    timeLine.record('order.ended', { target: name, kind, version, isOk: result?.isOk === true });
    candidacy.inFlight.delete(key);
  }
}
