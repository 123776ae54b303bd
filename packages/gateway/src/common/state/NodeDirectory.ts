/**
 * Discovers other nodes through the platform, for when the seed addresses in the settings are
 * stale. Each node registers its peer address there when it starts; a node without peers reads the
 * registered addresses.
 */
import { type Clock, DisposableOwner } from '@tanagerdyke/kernel';
import type { SwimMembership } from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import type { NodeRegistry } from '../services/Services.js';

const CALL_TIMEOUT_MS = 800;
const RETRY_MS = 700;
/** Time for seeds to respond before the platform is queried. */
const SEED_WAIT_MS = 600;

export interface NodeDirectoryOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly membership: SwimMembership;
  readonly registry: NodeRegistry;
}

/** Registers this node with the platform and joins the mesh through the nodes listed there. */
export class NodeDirectory extends DisposableOwner {
  constructor(private readonly _options: NodeDirectoryOptions) {
    super();
  }

  public start(): void {
    void this._announce();
    void this._findPeers();
  }

  private async _announce(): Promise<void> {
    const { clock, log, membership, registry } = this._options;
    const { name, peerAddress } = membership.self;
    while (!this.disposalSignal.aborted) {
      const announced = await registry.announce(name, peerAddress, CALL_TIMEOUT_MS);
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
    await clock.sleep(SEED_WAIT_MS, signal);
    while (!signal.aborted && membership.live.length < 2) {
      const listed = await registry.list(CALL_TIMEOUT_MS);
      if (listed.isErr) {
        log.write('peers.unlisted', { cause: listed.error.message });
      } else {
        const others = listed.value.filter((each) => each !== membership.self.peerAddress);
        await Promise.all(others.map((address) => membership.joinThrough(address)));
      }
      await clock.sleep(RETRY_MS, signal);
    }
  }
}
