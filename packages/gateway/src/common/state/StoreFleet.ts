/**
 * Nodes of three zones in memory that follow one store, for tests of how soon versions of the
 * configuration are in force. Not shipped.
 */
import { FixedMembership, memberOf, MemoryLink, MemoryNetwork } from '@tanagerdyke/fakes';
import { type Clock, ErrorKind, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { DecisionLog } from '../DecisionLog.js';
import type { RecordDecoder } from '../services/Services.js';
import { LinkedStore } from './LinkedStore.js';
import { PlatformView } from './PlatformView.js';

const ZONES = ['a', 'b', 'c'];

const decoder: RecordDecoder = {
  isConfiguration: (key) => key === 'config',
  evacuatedZone: () => undefined,
  configuration: (value) =>
    Result.ok({
      version: Number(value.toString()),
      routes: [],
      services: [],
      requiresKeys: false,
      workspaces: [],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    }),
  target: () =>
    Result.err(new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' })),
};

/** A version and when it came into force on a node. */
interface InForce {
  readonly version: number;
  readonly at: number;
}

/** Starts and stops the nodes, writes versions, and records when they come into force. */
export class StoreFleet {
  public readonly operatorStore: LinkedStore;
  public readonly targetStore: LinkedStore;
  public readonly views: PlatformView[] = [];
  /** Nodes whose calls the store leaves unanswered, by index. */
  public readonly ignored = new Set<number>();
  private readonly _members;
  private readonly _network: MemoryNetwork;
  private readonly _inForce: InForce[][] = [];
  private _version = 0;

  constructor(
    private readonly _clock: Clock,
    nodes: number,
  ) {
    this._network = new MemoryNetwork(_clock, new SeededRandom(1));
    const storeLink = new MemoryLink(_clock);
    this.operatorStore = new LinkedStore(_clock, 'operator', storeLink);
    this.targetStore = new LinkedStore(_clock, 'targets', storeLink);
    this._members = Array.from({ length: nodes }, (_each, index) => ({
      ...memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
      availabilityZone: ZONES[index % ZONES.length] ?? '',
    }));
    this.publish();
  }

  /** Calls that the store has got. */
  public get calls(): number {
    return this.operatorStore.calls + this.targetStore.calls;
  }

  public startAll(): void {
    for (const index of this._members.keys()) {
      this.start(index);
    }
  }

  /** Starts a node, again if it runs. */
  public start(index: number): void {
    this.views[index]?.dispose();
    const self = this._members[index] ?? memberOf('n', '127.0.0.1:1');
    const link = new MemoryLink(this._clock);
    const isIgnored = (): boolean => this.ignored.has(index);
    const view = new PlatformView({
      clock: this._clock,
      random: new SeededRandom(index),
      log: new DecisionLog(this._clock, self.name, () => true),
      metrics: new Metrics(),
      transport: this._network.join(self.peerAddress, link),
      membership: new FixedMembership(self, this._members),
      decoder,
      configurationTopic: this.operatorStore.topicFor(link, isIgnored),
      targetTopic: this.targetStore.topicFor(link, isIgnored),
    });
    const inForce: InForce[] = [];
    this._inForce[index] = inForce;
    view.configuration.onChange(({ version }) => {
      inForce.push({ version, at: this._clock.now() });
    });
    this.views[index] = view;
    view.start();
  }

  /** Writes the next version of the configuration; returns it. */
  public publish(): number {
    this._version++;
    this.operatorStore.write('config', Buffer.from(String(this._version)));
    return this._version;
  }

  /** When a version, or a later one, was in force on the last node; infinite if it is not. */
  public inForceAt(version: number): number {
    const times = this._inForce.map(
      (node) => node.find((each) => each.version >= version)?.at ?? Number.POSITIVE_INFINITY,
    );
    return Math.max(...times);
  }

  public dispose(): void {
    for (const view of this.views) {
      view.dispose();
    }
  }
}
