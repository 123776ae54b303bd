/**
 * Discovers other nodes through the platform, for when the seed addresses in the settings are
 * stale. Each node registers its peer address there when it starts, and again when the platform was
 * restored from an older copy, which may lack it; a node without peers reads the registered
 * addresses, and joins through a few of them. When all nodes start at the same moment, all read them.
 */
import { type Clock, DisposableOwner, keepRunning, type RandomSource } from '@tanagerdyke/kernel';
import type { SwimMembership } from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import type { NodeRegistry } from '../services/Services.js';
import { OPEN_CALL_TIMEOUT_MS, OpenCalls } from './OpenCalls.js';

/** Time without an answer after which a call is repeated. */
const ANSWER_LIMIT_MS = 800;
const RETRY_MS = 700;
/** Time for seeds to respond before the platform is queried. */
const SEED_WAIT_MS = 600;
/**
 * Registered nodes that a node without peers joins through at first; twice as many each further time,
 * since most of them may be gone.
 */
const FIRST_JOINS = 3;
/** All nodes notice a restore at the same moment; they register again within this time. */
const RENEWAL_SPREAD_MS = 2_000;

export interface NodeDirectoryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly membership: SwimMembership;
  readonly registry: NodeRegistry;
}

/** Registers this node with the platform and joins the mesh through the nodes listed there. */
export class NodeDirectory extends DisposableOwner {
  private _isRenewing = false;
  private readonly _announcements: OpenCalls<void>;
  private readonly _lists: OpenCalls<readonly string[]>;

  constructor(private readonly _options: NodeDirectoryOptions) {
    super();
    this._announcements = this.register(new OpenCalls(_options.clock));
    this._lists = this.register(new OpenCalls(_options.clock));
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'node.announcement', () =>
      this._announce(),
    );
    keepRunning(this._options.clock, this.disposalSignal, 'node.peers', () => this._findPeers());
  }

  /** Registers this node again, once for all calls within a short time. */
  public async renew(): Promise<void> {
    if (this._isRenewing) {
      return;
    }
    this._isRenewing = true;
    const { clock, random } = this._options;
    await clock.sleep(random.next() * RENEWAL_SPREAD_MS, this.disposalSignal);
    this._isRenewing = false;
    await this._announce();
  }

  private async _announce(): Promise<void> {
    const { clock, log, membership, registry } = this._options;
    const { name, peerAddress } = membership.self;
    while (!this.disposalSignal.aborted) {
      const announced = await this._announcements.ask(
        { limitMs: () => ANSWER_LIMIT_MS },
        (attempt) => registry.announce(name, peerAddress, OPEN_CALL_TIMEOUT_MS, attempt),
      );
      if (announced.isOk) {
        return;
      }
      log.write('node.unannounced', { cause: announced.error.message });
      await clock.sleep(RETRY_MS, this.disposalSignal);
    }
  }

  private async _findPeers(): Promise<void> {
    const { clock, log, membership, registry } = this._options;
    const { disposalSignal: signal } = this;
    let joins = FIRST_JOINS;
    await clock.sleep(SEED_WAIT_MS, signal);
    while (!signal.aborted && membership.live.length < 2) {
      const listed = await this._lists.ask({ limitMs: () => ANSWER_LIMIT_MS }, (attempt) =>
        registry.list(OPEN_CALL_TIMEOUT_MS, attempt),
      );
      if (listed.isErr) {
        log.write('peers.unlisted', { cause: listed.error.message });
      } else {
        const others = listed.value.filter((each) => each !== membership.self.peerAddress);
        const chosen = this._choose(others, joins);
        await Promise.all(chosen.map((address) => membership.joinThrough(address)));
        joins *= 2;
      }
      await clock.sleep(RETRY_MS, signal);
    }
  }

  /** A random selection, so that no node is chosen by many. */
  private _choose(addresses: readonly string[], count: number): readonly string[] {
    const { random } = this._options;
    const left = [...addresses];
    const chosen: string[] = [];
    while (chosen.length < count && left.length > 0) {
      chosen.push(...left.splice(random.integer(left.length), 1));
    }
    return chosen;
  }
}
