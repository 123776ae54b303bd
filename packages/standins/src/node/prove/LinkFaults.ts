/** Faults of links: one-way cuts, a zone cut, a cut from the platform, and loss. They add up. */
import type { FaultOrder, LinkRule } from '../../common/LinkRules.js';
import type { Fault } from '../../common/prove/FaultSchedule.js';
import { zoneOf } from '../../common/FleetPlan.js';
import type { RunState } from './RunState.js';

const LOSS_RATE = 0.1;
const ANY_PEER = '*';

/** Rules of one fault for one daemon. */
interface DaemonLinkFault {
  readonly daemon: number;
  readonly links: readonly Partial<LinkRule>[];
  readonly isPlatformCut: boolean;
}

/** The link faults of one run. */
export class LinkFaults {
  private readonly _activeFaults = new Set<DaemonLinkFault>();

  constructor(private readonly _run: RunState) {}

  /** One daemon loses all that it sends to another, but still hears it. */
  public cutOneWay({ selector, durationMs }: Fault): Promise<void> {
    const count = this._run.fleet.daemons.length;
    const daemon = selector % count;
    const other = (daemon + 1 + (Math.floor(selector / count) % (count - 1))) % count;
    const links = [{ peer: this._peerAddress(other), isCut: true }];
    return this._applyFor(durationMs, [{ daemon, links, isPlatformCut: false }]);
  }

  /** The daemons of one availability zone and those of all others lose each other. */
  public cutZone({ selector, durationMs }: Fault): Promise<void> {
    const { size, daemons } = this._run.fleet;
    const zone = zoneOf(size, selector);
    const all = [...daemons.keys()];
    const shares = all.map((daemon) => {
      const isInside = zoneOf(size, daemon) === zone;
      const others = all.filter((other) => (zoneOf(size, other) === zone) !== isInside);
      const links = others.map((other) => ({ peer: this._peerAddress(other), isCut: true }));
      return { daemon, links, isPlatformCut: false };
    });
    return this._applyFor(durationMs, shares);
  }

  public cutPlatform({ selector, durationMs }: Fault): Promise<void> {
    const daemon = selector % this._run.fleet.daemons.length;
    return this._applyFor(durationMs, [{ daemon, links: [], isPlatformCut: true }]);
  }

  public dropMessages({ durationMs }: Fault): Promise<void> {
    const links = [{ peer: ANY_PEER, loss: LOSS_RATE }];
    const shares = [...this._run.fleet.daemons.keys()].map((daemon) => ({
      daemon,
      links,
      isPlatformCut: false,
    }));
    return this._applyFor(durationMs, shares);
  }

  private async _applyFor(durationMs: number, shares: readonly DaemonLinkFault[]): Promise<void> {
    shares.forEach((share) => this._activeFaults.add(share));
    this._sendSettings(shares);
    await this._run.fleet.clock.sleep(durationMs);
    shares.forEach((share) => this._activeFaults.delete(share));
    this._sendSettings(shares);
  }

  private _sendSettings(shares: readonly DaemonLinkFault[]): void {
    for (const { daemon } of shares) {
      const own = [...this._activeFaults].filter((each) => each.daemon === daemon);
      const order = {
        links: own.flatMap(({ links }) => links),
        isPlatformCut: own.some(({ isPlatformCut }) => isPlatformCut),
      } satisfies Partial<Record<keyof FaultOrder, unknown>>;
      this._run.fleet.daemons[daemon]?.writeLine(JSON.stringify(order));
    }
  }

  private _peerAddress(index: number): string {
    return `127.0.0.1:${this._run.fleet.ports.peers[index] ?? 0}`;
  }
}
