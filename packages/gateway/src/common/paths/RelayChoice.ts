/**
 * Chooses the nodes through which this one reaches a target that its own link does not reach. Load
 * pattern: all nodes of a zone are cut off at once, and the others relay their connections. So the
 * choice is random among the nodes that did not fail recently, and a second choice is in another
 * zone than the first, since the nodes of one zone are often cut off together.
 */
import type { Clock, RandomSource } from '@tanagerdyke/kernel';
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import { type AllowedRegions, isRegionAllowed } from '../placement/AllowedRegions.js';

/** How long a node is avoided after it could not relay a connection. */
const AVOIDANCE_MS = 2_000;
/** Nodes tried for one connection. */
const MAX_CHOICES = 3;

export interface RelayChoiceOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly membership: Membership;
}

/** Holds which nodes failed recently, and orders the others. */
export class RelayChoice {
  /** By name of a node, and by name and address of a target. */
  private readonly _avoidedUntil = new Map<string, number>();

  constructor(private readonly _options: RelayChoiceOptions) {}

  /**
   * Nodes to try in this order; the first is in the zone of the target if possible. All are in an
   * allowed region.
   */
  public choose(
    address: string,
    targetZone: string | undefined,
    allowed?: AllowedRegions,
  ): readonly Member[] {
    const remaining = this._usableMembers(address, allowed);
    const chosen: Member[] = [];
    const usedZones = new Set<string>();
    while (remaining.length > 0 && chosen.length < MAX_CHOICES) {
      const isFirst = chosen.length === 0;
      const preferred = remaining.filter(({ availabilityZone }) =>
        isFirst ? availabilityZone === targetZone : !usedZones.has(availabilityZone),
      );
      const candidates = preferred.length > 0 ? preferred : remaining;
      const member = candidates[this._options.random.integer(candidates.length)];
      if (member === undefined) {
        break;
      }
      remaining.splice(remaining.indexOf(member), 1);
      usedZones.add(member.availabilityZone);
      chosen.push(member);
    }
    return chosen;
  }

  /** Records that a node could not relay a connection, or only not one to a target. */
  public recordFailure({ name }: Member, address?: string): void {
    const now = this._options.clock.now();
    for (const [key, until] of this._avoidedUntil) {
      if (now >= until) {
        this._avoidedUntil.delete(key);
      }
    }
    this._avoidedUntil.set(keyOf(name, address), now + AVOIDANCE_MS);
  }

  /** Ready nodes that did not fail recently, or all ready ones if each of them did. */
  private _usableMembers(address: string, allowed: AllowedRegions): Member[] {
    const { clock, membership } = this._options;
    const now = clock.now();
    const ready = membership.live.filter(
      ({ name, region, state, status }) =>
        isRegionAllowed(region, allowed) &&
        name !== membership.self.name &&
        status === MemberStatus.Alive &&
        state.isReady &&
        !state.isDraining,
    );
    const isAvoided = (key: string): boolean => now < (this._avoidedUntil.get(key) ?? 0);
    const usable = ready.filter(
      ({ name }) => !isAvoided(keyOf(name)) && !isAvoided(keyOf(name, address)),
    );
    return usable.length > 0 ? usable : ready;
  }
}

function keyOf(name: string, address = ''): string {
  return `${name} ${address}`;
}
