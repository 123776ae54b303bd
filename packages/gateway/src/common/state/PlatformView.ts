/**
 * A node's copy of the platform's state: the configuration in force and the targets. Updates come
 * from the platform itself and from peers.
 */
import {
  type Clock,
  DisposableOwner,
  Emitter,
  type Metrics,
  type RandomSource,
} from '@tanagerdyke/kernel';
import type { Membership, Transport } from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedTopic, RecordDecoder } from '../services/Services.js';
import { ConfigurationState } from './ConfigurationState.js';
import { KeyedTable } from './KeyedTable.js';
import { PeerRelay } from './PeerRelay.js';
import { TargetTable } from './TargetTable.js';
import { TopicFollower } from './TopicFollower.js';

/**
 * The platform counts as disconnected after this time without a response. Polls return within three
 * seconds.
 */
const CONNECTION_TIMEOUT_MS = 4_500;
/** An outage of the platform counts as recent for this long after its end. */
const RECENT_OUTAGE_MS = 2_500;

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
  public readonly targets: TargetTable;
  private readonly _targetRecords: KeyedTable;
  private readonly _followers: readonly TopicFollower[];
  private readonly _relay: PeerRelay;
  private readonly _onUpdate = this.register(new Emitter<void>());
  /** Fires on each update of the configuration or the targets while requests can be routed. */
  public readonly onUpdate = this._onUpdate.event;

  constructor(private readonly _options: PlatformViewOptions) {
    super();
    const { clock, configurationTopic, decoder, log, targetTopic } = _options;
    const configurationRecords = this.register(new KeyedTable(configurationTopic.name));
    this._targetRecords = this.register(new KeyedTable(targetTopic.name));
    this.configuration = this.register(new ConfigurationState(configurationRecords, decoder, log));
    this.targets = this.register(
      new TargetTable({
        clock,
        table: this._targetRecords,
        decoder,
        log,
        hadRecentOutage: () => this._hadRecentOutage() || this._relay.isOutageReported,
      }),
    );
    for (const event of [this.configuration.onChange, this._targetRecords.onChange]) {
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
    this._relay = this.register(
      new PeerRelay({
        ..._options,
        tables: [configurationRecords, this._targetRecords],
        isConnected: () => this._isConnected(),
        hadRecentOutage: () => this._hadRecentOutage(),
        catchUp: (topic) => this._catchUp(topic),
      }),
    );
  }

  /** Whether a configuration and the targets are loaded, so that requests can be routed. */
  public get isReady(): boolean {
    return this.configuration.current !== undefined && this._targetRecords.hasSnapshot;
  }

  /** Version of the configuration in force; 0 before the first one is loaded. */
  public get version(): number {
    return this.configuration.current?.version ?? 0;
  }

  /**
   * Time since the platform last responded to this node, for the topic that waits the longest, or
   * to another poller, whichever is more recent.
   */
  public get silenceMs(): number {
    const lastResponseAt = Math.min(...this._followers.map((each) => each.lastResponseAt));
    return this._options.clock.now() - Math.max(lastResponseAt, this._relay.pollerConnectedAt);
  }

  public start(): void {
    for (const follower of this._followers) {
      follower.start();
    }
    this._relay.start();
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
    return this._followers.some(({ lastFailureAt }) => now - lastFailureAt < RECENT_OUTAGE_MS);
  }

  /** Whether the platform responded recently for every topic. */
  private _isConnected(): boolean {
    const now = this._options.clock.now();
    return this._followers.every(
      ({ lastResponseAt }) => now - lastResponseAt < CONNECTION_TIMEOUT_MS,
    );
  }

  private async _catchUp(topic: string): Promise<void> {
    await this._followers.find(({ name }) => name === topic)?.catchUp();
  }
}
