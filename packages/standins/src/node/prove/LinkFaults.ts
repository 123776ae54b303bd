/**
 * Link faults: one-way cuts between daemons, cuts between zones, cuts from the platform, and
 * message loss. Faults that overlap are combined.
 */
import type { FaultSettings, LinkRule } from '../../common/LinkRules.js';
import type { Fault } from '../../common/prove/FaultSchedule.js';
import { zoneOf } from '../../common/FleetPlan.js';
import type { RunState } from './RunState.js';

const LOSS_RATE = 0.1;
const ANY_PEER = '*';

/** The link rules that one fault sets in one daemon. */
interface DaemonLinkFault {
  readonly daemon: number;
  readonly links: readonly Partial<LinkRule>[];
  readonly isPlatformCut: boolean;
}

/** Sends each daemon the link rules of all faults that are active in it. */
export class LinkFaults {
  private readonly _activeFaults = new Set<DaemonLinkFault>();

  constructor(private readonly _run: RunState) {}

  /** Drops everything that one daemon sends to another, but nothing in the other direction. */
  public cutOneWay({ selector, durationMs }: Fault): Promise<void> {
    const count = this._run.fleet.daemons.length;
    const daemon = selector % count;
    const other = (daemon + 1 + (Math.floor(selector / count) % (count - 1))) % count;
    const links = [{ peer: this._peerAddress(other), isCut: true }];
    return this._applyFor(durationMs, [{ daemon, links, isPlatformCut: false }]);
  }

  /** Cuts all links between the daemons of one availability zone and those of the others. */
  public cutZone({ selector, durationMs }: Fault): Promise<void> {
    const { size, daemons } = this._run.fleet;
    const zone = zoneOf(size, selector);
    const all = [...daemons.keys()];
    const faults = all.map((daemon) => {
      const isInside = zoneOf(size, daemon) === zone;
      const others = all.filter((other) => (zoneOf(size, other) === zone) !== isInside);
      const links = others.map((other) => ({ peer: this._peerAddress(other), isCut: true }));
      return { daemon, links, isPlatformCut: false };
    });
    return this._applyFor(durationMs, faults);
  }

  /** Cuts one daemon off from the platform. */
  public cutPlatform({ selector, durationMs }: Fault): Promise<void> {
    const daemon = selector % this._run.fleet.daemons.length;
    return this._applyFor(durationMs, [{ daemon, links: [], isPlatformCut: true }]);
  }

  /** Drops a share of the messages between all daemons. */
  public dropMessages({ durationMs }: Fault): Promise<void> {
    const links = [{ peer: ANY_PEER, loss: LOSS_RATE }];
    const faults = [...this._run.fleet.daemons.keys()].map((daemon) => ({
      daemon,
      links,
      isPlatformCut: false,
    }));
    return this._applyFor(durationMs, faults);
  }

  private async _applyFor(durationMs: number, faults: readonly DaemonLinkFault[]): Promise<void> {
    faults.forEach((fault) => this._activeFaults.add(fault));
    this._sendSettings(faults);
    await this._run.fleet.clock.sleep(durationMs);
    faults.forEach((fault) => this._activeFaults.delete(fault));
    this._sendSettings(faults);
  }

  private _sendSettings(faults: readonly DaemonLinkFault[]): void {
    for (const { daemon } of faults) {
      const active = [...this._activeFaults].filter((each) => each.daemon === daemon);
      const settings = {
        links: active.flatMap(({ links }) => links),
        isPlatformCut: active.some(({ isPlatformCut }) => isPlatformCut),
      } satisfies Partial<Record<keyof FaultSettings, unknown>>;
      this._run.fleet.daemons[daemon]?.writeLine(JSON.stringify(settings));
    }
  }

  private _peerAddress(index: number): string {
    return `127.0.0.1:${this._run.fleet.ports.peers[index] ?? 0}`;
  }
}
