/**
 * Broadcasts datagrams to all live members with one copy to each other availability zone. In its
 * own zone, if small, the sender reaches the members itself; in each other small zone one member
 * relays to the rest. In a large zone one relay collects the payloads of all senders and sends them
 * in batches over group relays, so that neither the number of datagrams that a member receives nor
 * the bytes that a relay sends grow with the product of senders and members.
 *
 * Relays rotate every second, so a dead relay loses the messages of one second only. Delivery is
 * not guaranteed; senders repeat what must arrive.
 */
import { chunksOf, type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import { DatagramBatch, splitBatch } from './DatagramBatch.js';
import { type Member, MemberStatus } from './Messages.js';
import type { Membership, Transport } from './services/Services.js';
import { membersByZone, membersOfOwnZone } from './Zones.js';

/** First character of a datagram: where its receiver forwards it, besides delivering it. */
enum ForwardingRole {
  /** Forwards it to the receiver's zone. */
  ZoneRelay = 'R',
  /** Forwards it to the receiver's group within the zone. */
  GroupRelay = 'G',
  /** Forwards it to nobody. */
  Deliver = 'F',
}

/** Time for which a sender uses the same relays. */
const RELAY_ROTATION_MS = 1_000;
/** Largest zone without batching; only in larger ones do fewer datagrams justify the delay. */
const MAX_DIRECT_MEMBERS = 8;
/** Members per group of a large zone: the square root of a zone of 36. */
const MEMBERS_PER_GROUP = 6;
/** Wait of a payload in the batch of a relay: a tenth of the shortest pause target, 200 ms. */
const BATCH_DELAY_MS = 20;

export interface ZoneBroadcastOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
}

/** Sends payloads to all other members, and delivers and relays those of others. */
export class ZoneBroadcast extends DisposableOwner {
  private readonly _onMessage = this.register(new Emitter<string>());
  /** Fires with each payload that another member broadcasts. */
  public readonly onMessage = this._onMessage.event;
  /** Payloads that wait while this node is the relay of a large zone. */
  private readonly _batch: DatagramBatch;
  private readonly _forwarders: Record<string, ((batch: string) => void) | undefined> = {
    [ForwardingRole.ZoneRelay]: (batch) => {
      this._relayToZone(batch);
    },
    [ForwardingRole.GroupRelay]: (batch) => {
      this._sendToEach(this._ownGroup, batch);
    },
    [ForwardingRole.Deliver]: () => undefined,
  };

  constructor(private readonly _options: ZoneBroadcastOptions) {
    super();
    const { clock, transport } = _options;
    this._batch = this.register(
      new DatagramBatch(clock, BATCH_DELAY_MS, (batch) => {
        this._relayToGroups(batch);
      }),
    );
    this.register(
      transport.onDatagram((datagram) => {
        this._receive(datagram);
      }),
    );
  }

  /** Broadcasts a payload of one line to all other live members. */
  public send(payload: string): void {
    const { membership } = this._options;
    for (const [name, zone] of membersByZone(membership)) {
      if (name === membership.self.availabilityZone && !isLarge(zone)) {
        this._sendToEach(zone, payload);
      } else {
        this._sendToZoneRelay(zone, payload);
      }
    }
  }

  /** Sends a payload of one line to one member, which receives it like a broadcast. */
  public sendTo(member: Member, payload: string): void {
    this._send(member, ForwardingRole.Deliver, payload);
  }

  private get _ownZone(): readonly Member[] {
    return membersOfOwnZone(this._options.membership);
  }

  private get _ownGroup(): readonly Member[] {
    const { name } = this._options.membership.self;
    return groupsOf(this._ownZone).find((group) => group.some((each) => each.name === name)) ?? [];
  }

  private _receive(datagram: string): void {
    const forward = this._forwarders[datagram.charAt(0)];
    if (forward === undefined) {
      return;
    }
    const batch = datagram.slice(1);
    forward(batch);
    for (const payload of splitBatch(batch)) {
      this._onMessage.fire(payload);
    }
  }

  private _sendToZoneRelay(zone: readonly Member[], payload: string): void {
    const relay = this._chooseZoneRelay(zone);
    if (relay.name === this._options.membership.self.name) {
      this._relayToZone(payload);
    } else {
      // The only member of a zone has nobody to relay to.
      this._send(
        relay,
        zone.length === 1 ? ForwardingRole.Deliver : ForwardingRole.ZoneRelay,
        payload,
      );
    }
  }

  private _relayToZone(batch: string): void {
    const zone = this._ownZone;
    if (isLarge(zone)) {
      this._batch.add(batch);
    } else {
      this._sendToEach(zone, batch);
    }
  }

  private _relayToGroups(batch: string): void {
    const { name } = this._options.membership.self;
    for (const group of groupsOf(this._ownZone)) {
      if (group.some((each) => each.name === name)) {
        this._sendToEach(group, batch);
      } else {
        const relay = this._selectByRotation(group, name);
        this._send(
          relay,
          group.length === 1 ? ForwardingRole.Deliver : ForwardingRole.GroupRelay,
          batch,
        );
      }
    }
  }

  private _sendToEach(members: readonly Member[], batch: string): void {
    for (const member of members) {
      if (member.name !== this._options.membership.self.name) {
        this._send(member, ForwardingRole.Deliver, batch);
      }
    }
  }

  private _send({ peerAddress }: Member, role: ForwardingRole, batch: string): void {
    this._options.transport.sendDatagram(peerAddress, role + batch);
  }

  /** All senders to a large zone choose the same relay, so that it can batch their payloads. */
  private _chooseZoneRelay(zone: readonly Member[]): Member {
    return this._selectByRotation(zone, isLarge(zone) ? '' : this._options.membership.self.name);
  }

  /**
   * Selects a member by rotation, offset by `salt`; skips suspects unless all are suspected. The
   * rotation follows wall time, so that all senders select the same member for the same salt.
   */
  private _selectByRotation(members: readonly Member[], salt: string): Member {
    const { clock, membership } = this._options;
    const alive = members.filter(({ status }) => status === MemberStatus.Alive);
    const candidates = sortByName(alive.length > 0 ? alive : members);
    const turn = Math.floor(clock.wallTime() / RELAY_ROTATION_MS) + sumOfCodes(salt);
    return candidates[turn % candidates.length] ?? membership.self;
  }
}

function isLarge(zone: readonly Member[]): boolean {
  return zone.length > MAX_DIRECT_MEMBERS;
}

/** Splits a zone into groups, the same ones on every node with the same members. */
function groupsOf(zone: readonly Member[]): Member[][] {
  return chunksOf(sortByName(zone), MEMBERS_PER_GROUP);
}

function sortByName(members: readonly Member[]): Member[] {
  return [...members].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function sumOfCodes(text: string): number {
  return Buffer.from(text).reduce((sum, code) => sum + code, 0);
}
