/**
 * Datagrams to all live members at the price of one copy to each other availability zone: members of
 * the own zone get them directly, and one member of each other zone hands them on there. Which one
 * changes every second, so a dead relay loses news of one second only. Delivery is not certain;
 * senders repeat what must arrive.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import { type Member, MemberStatus } from './Messages.js';
import type { Membership, Transport } from './services/Services.js';

/** First character of a datagram that its receiver hands on within its zone. */
const RELAY_MARK = 'R';
/** First character of a datagram that ends at its receiver. */
const FINAL_MARK = 'F';
/** Time for which a sender uses the same relays. */
const RELAY_TERM_MS = 1_000;

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

  constructor(private readonly _options: BroadcastOptions) {
    super();
    this.register(
      _options.transport.onDatagram((datagram) => {
        this._receive(datagram);
      }),
    );
  }

  /** Sends to all other live members. */
  public send(payload: string): void {
    const { membership, transport } = this._options;
    const zones = new Map<string, Member[]>();
    for (const member of membership.live) {
      const zone = zones.get(member.availabilityZone) ?? [];
      zone.push(member);
      zones.set(member.availabilityZone, zone);
    }
    for (const [name, zone] of zones) {
      if (name === membership.self.availabilityZone) {
        this._sendWithinZone(payload, zone);
        continue;
      }
      const relay = this._chooseRelay(zone);
      // A lone member has nobody to hand the datagram on to.
      const mark = zone.length === 1 ? FINAL_MARK : RELAY_MARK;
      transport.sendDatagram(relay.peerAddress, mark + payload);
    }
  }

  private _receive(datagram: string): void {
    const mark = datagram.charAt(0);
    if (mark !== RELAY_MARK && mark !== FINAL_MARK) {
      return;
    }
    const payload = datagram.slice(1);
    if (mark === RELAY_MARK) {
      const { self, live } = this._options.membership;
      const zone = live.filter(({ availabilityZone }) => {
        return availabilityZone === self.availabilityZone;
      });
      this._sendWithinZone(payload, zone);
    }
    this._onMessage.fire(payload);
  }

  private _sendWithinZone(payload: string, zone: readonly Member[]): void {
    const { membership, transport } = this._options;
    for (const { name, peerAddress } of zone) {
      if (name !== membership.self.name) {
        transport.sendDatagram(peerAddress, FINAL_MARK + payload);
      }
    }
  }

  /** A member that is not suspected, by turns that differ between senders. */
  private _chooseRelay(zone: readonly Member[]): Member {
    const { clock, membership } = this._options;
    const alive = zone.filter(({ status }) => status === MemberStatus.Alive);
    const candidates = [...(alive.length > 0 ? alive : zone)].sort((a, b) =>
      a.name < b.name ? -1 : 1,
    );
    const turn = Math.floor(clock.now() / RELAY_TERM_MS) + sumOfCodes(membership.self.name);
    return candidates[turn % candidates.length] ?? membership.self;
  }
}

function sumOfCodes(text: string): number {
  return Buffer.from(text).reduce((sum, code) => sum + code, 0);
}
