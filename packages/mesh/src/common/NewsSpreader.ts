/**
 * Sends the datagrams of a node and what rides on them: its own state, updates still to be passed on,
 * and, pushed at once through the overlay, the news that can't wait for a probe.
 */
import { EagerPush } from './EagerPush.js';
import { GossipQueue, type NewsKind } from './GossipQueue.js';
import { encodeMember } from './MemberCodec.js';
import { isLive, type MemberTable } from './MemberTable.js';
import { type Member, PROBE_METHOD } from './Messages.js';
import { encodeNotification } from './Notifications.js';
import { type Probe, ProbeKind } from './ProbeMessages.js';
import type { Transport } from './services/Services.js';

/** Updates on one datagram. */
const PIGGYBACK_LIMIT = 6;

/** What some probes carry besides. */
export interface ProbeExtra {
  /** `IP:port` to ping, for indirect pings. */
  readonly target?: string;
  /** A member that the receiver must hear about. */
  readonly about?: Member;
}

/** What a spreader needs. */
export interface SpreaderOptions {
  readonly transport: Transport;
  readonly table: MemberTable;
  readonly self: () => Member;
  readonly isPushing: boolean;
}

/** The outgoing datagrams of one node. */
export class NewsSpreader {
  private readonly _gossip = new GossipQueue();
  private readonly _push: EagerPush;

  constructor(private readonly _options: SpreaderOptions) {
    this._push = new EagerPush(_options.self().name);
  }

  /** Passes an update on; `known` is what this node knew before. */
  public spread(member: Member, known: Member | undefined, kind: NewsKind): void {
    this._gossip.add(member, kind);
    this._push.noteChange(member, known);
    if (!this._options.isPushing || !this._push.takesUp(member, known)) {
      return;
    }
    const { table } = this._options;
    const members = [encodeMember(member, false)];
    for (const name of this._push.receivers(() => table.all.filter(isLive))) {
      const peer = table.find(name);
      if (peer !== undefined) {
        this._sendProbe(peer.peerAddress, { kind: ProbeKind.News, id: '', members });
      }
    }
  }

  /** Sends a datagram with this node's state and the updates whose turn it is. */
  public send(address: string, kind: ProbeKind, id: string, extra: ProbeExtra = {}): void {
    const { self, table } = this._options;
    const { about, target } = extra;
    const news = this._gossip.take(PIGGYBACK_LIMIT, table.size);
    const members = [
      encodeMember(self(), false),
      ...(about === undefined ? [] : [encodeMember(about, false)]),
      ...news.map(({ member, isIntroduction }) => encodeMember(member, isIntroduction)),
    ];
    this._sendProbe(address, { kind, id, target, members });
  }

  private _sendProbe(address: string, content: Omit<Probe, 'from'>): void {
    const probe: Probe = { ...content, from: this._options.self().peerAddress };
    this._options.transport.sendDatagram(address, encodeNotification(PROBE_METHOD, probe));
  }
}
