/**
 * Runs many nodes in one process, connected by real sockets on loopback, with an in-memory log,
 * host list and engines. Bytes and messages are counted at each node. Processor time is that of the
 * process divided by the number of nodes; it includes the in-memory stand-ins and is an upper
 * bound.
 */
import {
  createNode,
  DEFAULT_MECHANISMS,
  type Node,
  type Platform,
  policies,
  settingsSchema,
} from '@tanagerdyke/daemon';
import type { Engine, HostState, Service, TargetAddress } from '@tanagerdyke/contracts';
import { MemoryLog } from '@tanagerdyke/fakes';
import { Metrics, Registry, SystemClock, SystemRandom } from '@tanagerdyke/kernel';
import { SocketTransport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import {
  createConfigurationObjects,
  type ConfigurationSize,
  ENGINE_ADAPTER,
  range,
  regionName,
  SERVICE_ADAPTER,
  zoneName,
} from '../../common/capacity/CapacityObjects.js';
import { CountingLog } from '../../common/capacity/CountingLog.js';
import { MemoryEngine, MemoryService } from '../../common/capacity/MemoryEngine.js';

const LOOPBACK_ADDRESS = '127.0.0.1';
const SEED_COUNT = 3;
const POLL_MS = 20;
const LOADS_PER_MINUTE = 60;
const NAME_DIGITS = 3;
const PUBLISH_ATTEMPTS = 20;
const PUBLISH_RETRY_MS = 250;

/** Traffic to peers and to the log since the start. */
export interface Traffic {
  readonly bytes: number;
  readonly messages: number;
  readonly logBytes: number;
  readonly logAppends: number;
  readonly logReads: number;
}

/** A node of the group with its traffic counters. */
export interface GroupMember {
  readonly node: Node;
  readonly transport: SocketTransport;
  readonly log: CountingLog;
  readonly sent: { bytes: number; messages: number };
}

/** A group of nodes that share one process. */
export class NodeGroup {
  public readonly clock = new SystemClock();
  private readonly _log = new MemoryLog(this.clock);
  private readonly _members: GroupMember[] = [];

  private constructor(private readonly _size: ConfigurationSize) {}

  /**
   * Starts `count` nodes and waits until all serve, see each other and have a configuration in
   * force.
   */
  public static async start(count: number, size: ConfigurationSize): Promise<NodeGroup> {
    const group = new NodeGroup(size);
    for (const index of range(count)) {
      await group._startNode(index);
    }
    await group.waitUntil(() => group.members.every(({ node }) => node.isReady));
    await group._publishObjects();
    await group.waitUntil(() => group._hasConverged());
    return group;
  }

  public get members(): readonly GroupMember[] {
    return this._members;
  }

  /** Starts one more node. */
  public async add(): Promise<GroupMember> {
    return this._startNode(this._members.length);
  }

  /** Stops a node without notifying its peers, like the failure of its host. */
  public kill(member: GroupMember): void {
    this._members.splice(this._members.indexOf(member), 1);
    member.node.dispose();
    member.transport.dispose();
  }

  public dispose(): void {
    for (const member of [...this._members]) {
      this.kill(member);
    }
  }

  /** Total traffic of the current members. */
  public get traffic(): Traffic {
    const total = { bytes: 0, messages: 0, logBytes: 0, logAppends: 0, logReads: 0 };
    for (const { sent, log } of this._members) {
      total.bytes += sent.bytes;
      total.messages += sent.messages;
      total.logBytes += log.usage.bytes;
      total.logAppends += log.usage.appends;
      total.logReads += log.usage.reads;
    }
    return total;
  }

  /** Polls until `isTrue` returns true. */
  public async waitUntil(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
      await this.clock.sleep(POLL_MS);
    }
  }

  private async _startNode(index: number): Promise<GroupMember> {
    const sent = { bytes: 0, messages: 0 };
    const transport = await SocketTransport.listen(this.clock, LOOPBACK_ADDRESS, 0, {
      count: (bytes) => {
        sent.bytes += bytes;
        sent.messages++;
      },
    });
    const log = new CountingLog(this._log);
    const node = createNode({
      clock: this.clock,
      random: new SystemRandom(),
      transport,
      platform: this._platform(log),
      targets: this._targets(),
      policies,
      mechanisms: DEFAULT_MECHANISMS,
      settings: this._settings(index, transport.address),
      metrics: new Metrics(),
    });
    const member = { node, transport, log, sent };
    this._members.push(member);
    node.start();
    return member;
  }

  private _settings(index: number, peer: string): Parameters<typeof createNode>[0]['settings'] {
    const url = `http://${LOOPBACK_ADDRESS}:1`;
    return settingsSchema.parse({
      node: {
        name: `entry-${String(index).padStart(NAME_DIGITS, '0')}`,
        region: regionName(this._size, index),
        availabilityZone: zoneName(this._size, index),
      },
      // Placeholder, as no caller uses these nodes over HTTP.
      listen: { caller: `${LOOPBACK_ADDRESS}:1`, peer },
      seeds: this._members.slice(0, SEED_COUNT).map(({ transport }) => transport.address),
      platform: { adapter: 'memory', log: url, hostList: url, weightStore: url },
      operatorToken: { environment: 'TANAGER_OPERATOR_TOKEN' },
    });
  }

  private _platform(log: CountingLog): Platform {
    const hosts: readonly HostState[] = [];
    return {
      log,
      hostList: { list: () => Promise.resolve(Result.ok(hosts)) },
      weightStore: { loadsPerMinute: () => Promise.resolve(Result.ok(LOADS_PER_MINUTE)) },
    };
  }

  private _targets(): Parameters<typeof createNode>[0]['targets'] {
    const engines = new Registry<(target: TargetAddress) => Engine>('engine adapter');
    const services = new Registry<(target: TargetAddress) => Service>('service adapter');
    const { models } = this._size;
    engines.register(ENGINE_ADAPTER, ({ name }) => {
      const index = Number(name.slice(name.lastIndexOf('-') + 1));
      return new MemoryEngine([`version-${index % models}`]);
    });
    services.register(SERVICE_ADAPTER, () => new MemoryService());
    return { engines, services };
  }

  private async _publishObjects(): Promise<void> {
    const change = { upserts: createConfigurationObjects(this._size), removals: [] };
    for (let attempt = 0; attempt < PUBLISH_ATTEMPTS; attempt++) {
      const [first] = this._members;
      const published = await first?.node.publisher.publish('start', change, -1);
      if (published?.isOk === true) {
        return;
      }
      await this.clock.sleep(PUBLISH_RETRY_MS);
    }
    throw new Error('publishing the initial configuration failed on every attempt');
  }

  private _hasConverged(): boolean {
    const count = this._members.length;
    return this._members.every(
      ({ node }) =>
        node.membership.serving.length === count && node.configuration.inForce.offset >= 0,
    );
  }
}
