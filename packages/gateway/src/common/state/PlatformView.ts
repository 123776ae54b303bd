/**
 * A node's copy of the platform's state: the configuration in force, the evacuated zones and the
 * targets. Updates come from the platform itself and from peers.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  Emitter,
  keepRunning,
  type Metrics,
  type RandomSource,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { Membership, Transport } from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedTopic, RecordDecoder } from '../services/Services.js';
import { TimerDelay } from '../TimerDelay.js';
import { ConfigurationState } from './ConfigurationState.js';
import { type EpochStart, KeyedTable, type RecordSuccession } from './KeyedTable.js';
import { PeerRelay } from './PeerRelay.js';
import { isSettled } from './StartupCheck.js';
import { configurationSuccession, targetSuccession } from './RecordSuccessions.js';
import { TargetTable } from './TargetTable.js';
import { TopicFollower } from './TopicFollower.js';
import { ZoneEvacuations } from './ZoneEvacuations.js';

/** The platform counts as disconnected after this time without a response; a late poll takes 2.2 s. */
const CONNECTION_TIMEOUT_MS = 2_700;
/** Longer than a poll without new records takes, and than reports of pollers are apart. */
const UNCONFIRMED_AFTER_MS = 2_000;
/** Interval at which a starting node checks whether its records are current. */
const STARTUP_CHECK_MS = 20;
/** An outage of the platform counts as recent for this long after its end. */
const RECENT_OUTAGE_MS = 2_500;
/**
 * Time from the start of an epoch in which removals of the epoch before it hold. Longer than the
 * platform takes to write lost removals again, or to let the entries of silent targets expire.
 */
const REMOVAL_HOLD_MS = 5_000;

export interface PlatformViewOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly decoder: RecordDecoder;
  readonly configurationTopic: KeyedTopic;
  readonly targetTopic: KeyedTopic;
}

/** Owns the tables, the followers of the platform's topics and the relay between nodes. */
export class PlatformView extends DisposableOwner {
  public readonly configuration: ConfigurationState;
  public readonly evacuations: ZoneEvacuations;
  public readonly targets: TargetTable;
  private readonly _configurationRecords: KeyedTable;
  private readonly _targetRecords: KeyedTable;
  private readonly _followers: readonly TopicFollower[];
  private readonly _relay: PeerRelay;
  private readonly _timerDelay: TimerDelay;
  private readonly _removalHolds = new Map<KeyedTable, Disposable>();
  private _restoredAt = Number.NEGATIVE_INFINITY;
  private readonly _onRestore = this.register(new Emitter<void>());
  /** Fires when the platform's log has been restored, once for each topic. */
  public readonly onRestore = this._onRestore.event;
  private readonly _onUpdate = this.register(new Emitter<void>());
  /** Fires on each update of the configuration or the targets while requests can be routed. */
  public readonly onUpdate = this._onUpdate.event;

  constructor(private readonly _options: PlatformViewOptions) {
    super();
    this.register(
      toDisposable(() => {
        for (const timer of this._removalHolds.values()) {
          timer.dispose();
        }
      }),
    );
    const { clock, configurationTopic, decoder, log, targetTopic } = _options;
    const configurationRecords = this._createTable(
      configurationTopic.name,
      configurationSuccession(decoder),
    );
    this._configurationRecords = configurationRecords;
    this._targetRecords = this._createTable(targetTopic.name, targetSuccession(decoder));
    this.configuration = this.register(
      new ConfigurationState(configurationRecords, decoder, log, { isHeld: true }),
    );
    this.evacuations = this.register(
      new ZoneEvacuations({
        table: configurationRecords,
        decoder,
        log,
        countTargets: (zone) =>
          this._targetRecords.hasSnapshot ? this.targets.targetsInZone(zone).length : undefined,
      }),
    );
    this.targets = this.register(
      new TargetTable({
        clock,
        table: this._targetRecords,
        decoder,
        log,
        evacuations: this.evacuations,
        hadRecentOutage: () => this._hadRecentOutage() || this._relay.isOutageReported,
      }),
    );
    // The configuration is also put in force later than its record arrives, while a node starts.
    const events = [
      configurationRecords.onChange,
      this._targetRecords.onChange,
      this.configuration.onChange,
    ];
    for (const event of events) {
      this.register(
        event(() => {
          if (this.isReady) {
            this._onUpdate.fire();
          }
        }),
      );
    }
    this._followers = [
      this._follow(configurationTopic, configurationRecords),
      this._follow(targetTopic, this._targetRecords),
    ];
    this._timerDelay = this.register(new TimerDelay(clock));
    this._relay = this.register(
      new PeerRelay({
        ..._options,
        tables: [configurationRecords, this._targetRecords],
        isConnected: () => this._isConnected(),
        confirmedAt: () => Math.min(...this._followers.map((each) => each.confirmedAt)),
        hadRecentOutage: () => this._hadRecentOutage(),
        catchUp: (topic) => this._catchUp(topic),
        timerDelayMs: () => this._timerDelay.recentMs,
      }),
    );
  }

  /**
   * Whether the configuration, the evacuated zones and the targets are loaded, so that requests can
   * be routed. A configuration without a snapshot of its topic does not show which zones are evacuated.
   */
  public get isReady(): boolean {
    const tables = [this._configurationRecords, this._targetRecords];
    return this.configuration.current !== undefined && tables.every((each) => each.hasSnapshot);
  }

  /** Newest epoch of the platform's log that this node has a record of; 0 if none is stated. */
  public get epoch(): number {
    return this._targetRecords.epoch;
  }

  /** Version of the configuration in force; 0 before the first one is loaded. */
  public get version(): number {
    return this.configuration.current?.version ?? 0;
  }

  /** Time since this node is known to have had all records that were confirmed by then. */
  public get unconfirmedMs(): number {
    return this._options.clock.now() - this._relay.confirmedAt;
  }

  /**
   * Whether a newer configuration may be in force than this node has: a peer has reported one, or
   * neither the platform nor a peer has confirmed the records for a while. What the present one does
   * not allow must not be denied for good then.
   */
  public get mayBeOutdated(): boolean {
    return (
      this.unconfirmedMs > UNCONFIRMED_AFTER_MS || this._relay.isBehind(this._configurationRecords)
    );
  }

  /** Longest recent delay of a timer of this process, in ms. */
  public get timerDelayMs(): number {
    return this._timerDelay.recentMs;
  }

  public start(): void {
    for (const follower of this._followers) {
      follower.start();
    }
    this._relay.start();
    keepRunning(this._options.clock, this.disposalSignal, 'node.settle', () => this._settle());
  }

  /** Puts the configuration in force once the node has the records of its ready peers. */
  private async _settle(): Promise<void> {
    const { clock, log, membership } = this._options;
    const startedAt = clock.now();
    const hasReadyPeers = (): boolean =>
      membership.serving.some(({ name }) => name !== membership.self.name);
    let { isConfirmed } = this._relay;
    while (!isSettled(startedAt, clock.now(), { hasReadyPeers: hasReadyPeers(), isConfirmed })) {
      await clock.sleep(STARTUP_CHECK_MS, this.disposalSignal);
      if (this.isDisposed) {
        return;
      }
      ({ isConfirmed } = this._relay);
    }
    const tookMs = Math.round(clock.now() - startedAt);
    log.write('node.settled', { isConfirmed, hasReadyPeers: hasReadyPeers(), tookMs });
    this.configuration.release();
  }

  private _createTable(name: string, succession: RecordSuccession): KeyedTable {
    const table = this.register(new KeyedTable(name, succession));
    this._holdRemovals(table);
    this.register(
      table.onEpoch((start) => {
        this._recordEpoch(table, start);
      }),
    );
    return table;
  }

  private _recordEpoch(table: KeyedTable, start: EpochStart): void {
    const { clock, log } = this._options;
    const { before, endBefore, epoch, isRestore } = start;
    log.write('platform.epoch', { topic: table.name, epoch, before, end: table.end, endBefore });
    this._holdRemovals(table);
    if (isRestore) {
      this._restoredAt = clock.now();
      this._onRestore.fire();
    }
  }

  private _holdRemovals(table: KeyedTable): void {
    this._removalHolds.get(table)?.dispose();
    const timer = this._options.clock.schedule(REMOVAL_HOLD_MS, () => {
      table.endRemovalHold();
    });
    this._removalHolds.set(table, timer);
  }

  private _follow(topic: KeyedTopic, table: KeyedTable): TopicFollower {
    const shouldPoll = (): boolean => this._relay.isPoller;
    const isAppointedPoller = (): boolean => this._relay.isAppointedPoller;
    return this.register(
      new TopicFollower({ ...this._options, topic, table, shouldPoll, isAppointedPoller }),
    );
  }

  private _hadRecentOutage(): boolean {
    const now = this._options.clock.now();
    return (
      now - this._restoredAt < RECENT_OUTAGE_MS ||
      this._followers.some(({ lastFailureAt }) => now - lastFailureAt < RECENT_OUTAGE_MS)
    );
  }

  /** Whether the platform responded recently for every topic. */
  private _isConnected(): boolean {
    const now = this._options.clock.now();
    return this._followers.every(
      ({ lastResponseAt }) => now - lastResponseAt < CONNECTION_TIMEOUT_MS,
    );
  }

  private async _catchUp(topic: string): Promise<boolean> {
    const follower = this._followers.find(({ name }) => name === topic);
    return (await follower?.catchUp()) ?? false;
  }
}
