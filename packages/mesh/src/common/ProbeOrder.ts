/**
 * Round-robin probe target selection: a node probes all its peers in random order before it probes
 * one again, which bounds the time to detect a failure (SWIM, section 4.3).
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import { isLive, type MemberTable } from './MemberTable.js';
import type { Member } from './Messages.js';

/** Selects the peers to probe, and random peers to relay pings or to be notified. */
export class ProbeOrder {
  /** Names still to probe in the current round, last first. */
  private _remaining: string[] = [];

  constructor(
    private readonly _table: MemberTable,
    private readonly _random: RandomSource,
    private readonly _selfName: string,
  ) {}

  /** Live members other than this node. */
  public get peers(): readonly Member[] {
    return this._table.all.filter((member) => isLive(member) && member.name !== this._selfName);
  }

  /** The peer to probe next; `undefined` when there are no peers. */
  public next(): Member | undefined {
    return this._takeNext() ?? this._refill()._takeNext();
  }

  /** At most `count` random peers, without those named in `excluded`. */
  public choose(count: number, excluded: readonly string[]): readonly Member[] {
    const candidates = this.peers.filter(({ name }) => !excluded.includes(name));
    return this._shuffle(candidates).slice(0, count);
  }

  private _takeNext(): Member | undefined {
    while (this._remaining.length > 0) {
      const member = this._table.find(this._remaining.pop() ?? '');
      if (member !== undefined && isLive(member)) {
        return member;
      }
    }
    return undefined;
  }

  private _refill(): this {
    this._remaining = this._shuffle(this.peers).map(({ name }) => name);
    return this;
  }

  private _shuffle(members: readonly Member[]): readonly Member[] {
    const keyed = members.map((member) => ({ member, key: this._random.next() }));
    return keyed.sort((a, b) => a.key - b.key).map(({ member }) => member);
  }
}
