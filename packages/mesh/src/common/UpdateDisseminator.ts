/**
 * Sends the probe messages of a node. Each carries the node's own state and piggybacked updates of
 * other members. Updates that can't wait for the next probe are also pushed over the overlay.
 */
import { EagerPush } from './EagerPush.js';
import { GossipQueue, type UpdateKind } from './GossipQueue.js';
import { encodeMember } from './MemberCodec.js';
import { isLive, type MemberTable } from './MemberTable.js';
import { type Member, PROBE_METHOD } from './Messages.js';
import { encodeNotification } from './Notifications.js';
import { type ProbeMessage, ProbeKind } from './ProbeMessages.js';
import type { Transport } from './services/Services.js';

/** Piggybacked updates in one message. */
const MAX_PIGGYBACKED_UPDATES = 6;

/** Contents that only some probe messages have. */
export interface ProbeMessageExtras {
  /** `IP:port` to ping, for indirect pings. */
  readonly target?: string;
  /** A member whose record the receiver must get, in addition to the queued updates. */
  readonly aboutMember?: Member;
}

export interface UpdateDisseminatorOptions {
  readonly transport: Transport;
  readonly table: MemberTable;
  readonly self: () => Member;
  readonly isEagerPushEnabled: boolean;
  /** Digest of the live members, which probe messages carry. */
  readonly digest: () => number;
}

/** Sends probe messages and disseminates membership updates by gossip and eager push. */
export class UpdateDisseminator {
  private readonly _gossip = new GossipQueue();
  private readonly _eagerPush: EagerPush;

  constructor(private readonly _options: UpdateDisseminatorOptions) {
    this._eagerPush = new EagerPush(_options.self().name);
  }

  /** Queues an update that replaces `known` for piggybacking, and pushes it if it can't wait. */
  public disseminate(member: Member, known: Member | undefined, kind: UpdateKind): void {
    this._gossip.add(member, kind);
    this._eagerPush.handleMemberChange(member, known);
    if (!this._options.isEagerPushEnabled || !this._eagerPush.shouldPush(member, known)) {
      return;
    }
    const { table } = this._options;
    const members = [encodeMember(member, false)];
    for (const name of this._eagerPush.neighbours(() => table.all.filter(isLive))) {
      const peer = table.find(name);
      if (peer !== undefined) {
        this._sendDatagram(peer.peerAddress, { kind: ProbeKind.Update, id: '', members });
      }
    }
  }

  /** Sends a message with this node's state and the next queued updates. */
  public sendMessage(
    address: string,
    kind: ProbeKind,
    id: string,
    extra: ProbeMessageExtras = {},
  ): void {
    const { self, table } = this._options;
    const { aboutMember, target } = extra;
    const updates = this._gossip.take(MAX_PIGGYBACKED_UPDATES, table.size);
    const members = [
      encodeMember(self(), false),
      ...(aboutMember === undefined ? [] : [encodeMember(aboutMember, false)]),
      ...updates.map(({ member, isIntroduction }) => encodeMember(member, isIntroduction)),
    ];
    this._sendDatagram(address, { kind, id, target, members, digest: this._options.digest() });
  }

  private _sendDatagram(address: string, content: Omit<ProbeMessage, 'from'>): void {
    const message: ProbeMessage = { ...content, from: this._options.self().peerAddress };
    this._options.transport.sendDatagram(address, encodeNotification(PROBE_METHOD, message));
  }
}
