/**
 * Datagrams to all live members at the price of one copy to each other availability zone. In a small
 * zone the sender reaches the members itself, and one member of each other zone hands them on there. In
 * a large zone one member collects what all senders have for the zone and hands it on in batches, over
 * group heads, so that neither the number of datagrams that a member gets nor the bytes that one sends
 * grow with the product of senders and members.
 *
 * Relays change every second, so a dead one loses news of one second only. Delivery is not certain;
 * senders repeat what must arrive.
 */
import { chunksOf, type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import { DatagramBatch, splitBatch } from './DatagramBatch.js';
import { type Member, MemberStatus } from './Messages.js';
import type { Membership, Transport } from './services/Services.js';
import { membersByZone, membersOfOwnZone } from './Zones.js';

/** What the receiver of a datagram does with it beside reading it; its first character. */
enum Duty {
  /** Hands it on within its zone. */
  Relay = 'R',
  /** Hands it on within its group of the zone. */
  GroupHead = 'G',
  Read = 'F',
}

/** Time for which a sender uses the same relays. */
const RELAY_TERM_MS = 1_000;
/** Zones beyond this collect; up to here a datagram each costs less than the wait is worth. */
const MAX_DIRECT_MEMBERS = 8;
/** Members of a group; the square root of a zone of 36. */
const GROUP_MEMBERS = 6;
/** Way between two members and through the receiver; zones are up to 3.5 ms apart. */
const HOP_MS = 4;
/** News waits this long at a collecting relay: a tenth of the shortest pause target, 200 ms. */
const COLLECT_MS = 20;

/** What a broadcast needs. */
export interface BroadcastOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
}

/** The broadcasts of one node. */
export class ZoneBroadcast extends DisposableOwner {
  private readonly _onMessage = this.register(new Emitter<string>());
  /** Fires with each payload that others broadcast. */
  public readonly onMessage = this._onMessage.event;
  private readonly _collected: DatagramBatch;
  private readonly _duties: Record<string, ((joined: string) => void) | undefined> = {
    [Duty.Relay]: (joined) => {
      this._handOn(joined);
    },
    [Duty.GroupHead]: (joined) => {
      this._sendWithin(this._ownGroup, joined);
    },
    [Duty.Read]: () => undefined,
  };

  constructor(private readonly _options: BroadcastOptions) {
    super();
    const { clock, transport } = _options;
    this._collected = this.register(
      new DatagramBatch(clock, COLLECT_MS, (joined) => {
        this._sendToGroups(joined);
      }),
    );
    this.register(
      transport.onDatagram((datagram) => {
        this._receive(datagram);
      }),
    );
  }

  /** Time that a message usually takes to the last member. */
  public get delayMs(): number {
    const isCollecting = [...membersByZone(this._options.membership).values()].some(isLarge);
    return isCollecting ? COLLECT_MS + 3 * HOP_MS : 2 * HOP_MS;
  }

  /** Sends one line to all other live members. */
  public send(payload: string): void {
    const { membership } = this._options;
    for (const [name, zone] of membersByZone(membership)) {
      if (name === membership.self.availabilityZone && !isLarge(zone)) {
        this._sendWithin(zone, payload);
      } else {
        this._sendToRelay(zone, payload);
      }
    }
  }

  private get _ownZone(): readonly Member[] {
    return membersOfOwnZone(this._options.membership);
  }

  private get _ownGroup(): readonly Member[] {
    const { name } = this._options.membership.self;
    return groupsOf(this._ownZone).find((group) => group.some((each) => each.name === name)) ?? [];
  }

  private _receive(datagram: string): void {
    const handOn = this._duties[datagram.charAt(0)];
    if (handOn === undefined) {
      return;
    }
    const joined = datagram.slice(1);
    handOn(joined);
    for (const payload of splitBatch(joined)) {
      this._onMessage.fire(payload);
    }
  }

  private _sendToRelay(zone: readonly Member[], payload: string): void {
    const relay = this._chooseRelay(zone);
    if (relay.name === this._options.membership.self.name) {
      this._handOn(payload);
    } else {
      // A lone member has nobody to hand the datagram on to.
      this._send(relay, zone.length === 1 ? Duty.Read : Duty.Relay, payload);
    }
  }

  private _handOn(joined: string): void {
    const zone = this._ownZone;
    if (isLarge(zone)) {
      this._collected.add(joined);
    } else {
      this._sendWithin(zone, joined);
    }
  }

  private _sendToGroups(joined: string): void {
    const { name } = this._options.membership.self;
    for (const group of groupsOf(this._ownZone)) {
      if (group.some((each) => each.name === name)) {
        this._sendWithin(group, joined);
      } else {
        const head = this._turnOf(group, name);
        this._send(head, group.length === 1 ? Duty.Read : Duty.GroupHead, joined);
      }
    }
  }

  private _sendWithin(members: readonly Member[], joined: string): void {
    for (const member of members) {
      if (member.name !== this._options.membership.self.name) {
        this._send(member, Duty.Read, joined);
      }
    }
  }

  private _send({ peerAddress }: Member, duty: Duty, joined: string): void {
    this._options.transport.sendDatagram(peerAddress, duty + joined);
  }

  /** Senders to a large zone agree on its relay, or it would have nothing to collect. */
  private _chooseRelay(zone: readonly Member[]): Member {
    return this._turnOf(zone, isLarge(zone) ? '' : this._options.membership.self.name);
  }

  /** A member that is not suspected, by turns that differ between salts. */
  private _turnOf(members: readonly Member[], salt: string): Member {
    const { clock, membership } = this._options;
    const alive = members.filter(({ status }) => status === MemberStatus.Alive);
    const candidates = sortByName(alive.length > 0 ? alive : members);
    const turn = Math.floor(clock.wallTime() / RELAY_TERM_MS) + sumOfCodes(salt);
    return candidates[turn % candidates.length] ?? membership.self;
  }
}

function isLarge(zone: readonly Member[]): boolean {
  return zone.length > MAX_DIRECT_MEMBERS;
}

/** Members in groups that all of them compute alike. */
function groupsOf(zone: readonly Member[]): Member[][] {
  return chunksOf(sortByName(zone), GROUP_MEMBERS);
}

function sortByName(members: readonly Member[]): Member[] {
  return [...members].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function sumOfCodes(text: string): number {
  return Buffer.from(text).reduce((sum, code) => sum + code, 0);
}
