/**
 * What one node knows of the platform: the configuration in force and the targets, followed at the
 * platform itself and through peers.
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
import { KeyedFollower } from './KeyedFollower.js';
import { KeyedTable } from './KeyedTable.js';
import { PeerRelay } from './PeerRelay.js';
import { TargetTable } from './TargetTable.js';

/** Polls return within three seconds; without an answer for longer the platform is lost. */
const IN_TOUCH_MS = 4_500;
/** An outage of the platform counts this long after its end. */
const UNSETTLED_MS = 2_500;

/** What the view needs. */
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

/** The view of one node. */
export class PlatformView extends DisposableOwner {
  public readonly configuration: ConfigurationState;
  public readonly targets: TargetTable;
  private readonly _targetRecords: KeyedTable;
  private readonly _followers: readonly KeyedFollower[];
  private readonly _relay: PeerRelay;
  private readonly _onKnown = this.register(new Emitter<void>());
  /** Fires with each change while requests can be routed and placed. */
  public readonly onKnown = this._onKnown.event;

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
        isUnsettled: () => this._isUnsettled() || this._relay.heardOfOutage,
      }),
    );
    for (const event of [this.configuration.onChange, this._targetRecords.onChange]) {
      this.register(
        event(() => {
          if (this.isKnown) {
            this._onKnown.fire();
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
        isInTouch: () => this._isInTouch(),
        isUnsettled: () => this._isUnsettled(),
        catchUp: (topic) => this._catchUp(topic),
      }),
    );
  }

  /** Whether requests can be routed and placed. */
  public get isKnown(): boolean {
    return this.configuration.current !== undefined && this._targetRecords.isKnown;
  }

  /** Version of the configuration in force; 0 when none is known. */
  public get version(): number {
    return this.configuration.current?.version ?? 0;
  }

  /** Time since the platform last answered this node or a poller of its zone; both topics count. */
  public get silenceMs(): number {
    const answeredAt = Math.min(...this._followers.map((each) => each.answeredAt));
    return this._options.clock.now() - Math.max(answeredAt, this._relay.pollerHeardAt);
  }

  public start(): void {
    for (const follower of this._followers) {
      follower.start();
    }
    this._relay.start();
  }

  private _follow(topic: KeyedTopic, table: KeyedTable): KeyedFollower {
    const isPolling = (): boolean => this._relay.isPoller;
    return this.register(new KeyedFollower({ ...this._options, topic, table, isPolling }));
  }

  private _isUnsettled(): boolean {
    const now = this._options.clock.now();
    return this._followers.some(({ failedAt }) => now - failedAt < UNSETTLED_MS);
  }

  /** Whether the platform answered every topic lately. */
  private _isInTouch(): boolean {
    const now = this._options.clock.now();
    return this._followers.every(({ answeredAt }) => now - answeredAt < IN_TOUCH_MS);
  }

  private async _catchUp(topic: string): Promise<void> {
    await this._followers.find(({ name }) => name === topic)?.catchUp();
  }
}
