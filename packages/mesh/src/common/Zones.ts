/** Selection of live members by availability zone. */
import type { Member } from './Messages.js';
import type { Membership } from './services/Services.js';

/** Live members of this node's own zone, itself included. */
export function membersOfOwnZone({ live, self }: Membership): readonly Member[] {
  return live.filter(({ availabilityZone }) => availabilityZone === self.availabilityZone);
}

/** All live members, grouped by availability zone. */
export function membersByZone({ live }: Membership): ReadonlyMap<string, readonly Member[]> {
  return membersByZoneOf(live);
}

/** The given members, grouped by availability zone. */
export function membersByZoneOf(live: readonly Member[]): ReadonlyMap<string, readonly Member[]> {
  const zones = new Map<string, Member[]>();
  for (const member of live) {
    const zone = zones.get(member.availabilityZone) ?? [];
    zone.push(member);
    zones.set(member.availabilityZone, zone);
  }
  return zones;
}
