/**
 * The members of which a node has a record, merged by the precedence rules of SWIM (Das, Gupta,
 * Motivala 2002): a higher incarnation wins; within an incarnation, dead or left overrides suspect,
 * which overrides alive. Left also overrides dead.
 */
import { Emitter } from '@tanagerdyke/kernel';
import { type Member, MemberStatus } from './Messages.js';

/** Precedence of a status within one incarnation; the higher rank wins. */
const STATUS_RANK: Record<MemberStatus, number> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Dead]: 2,
  [MemberStatus.Left]: 3,
};

/** Holds the newest record of each member by name. */
export class MemberTable {
  private readonly _members = new Map<string, Member>();
  private readonly _onChange = new Emitter<Member>();
  public readonly onChange = this._onChange.event;

  public get all(): readonly Member[] {
    return [...this._members.values()];
  }

  public get size(): number {
    return this._members.size;
  }

  public find(name: string): Member | undefined {
    return this._members.get(name);
  }

  /** Applies an update and fires `onChange` if it supersedes the record; returns whether it did. */
  public merge(update: Member): boolean {
    const known = this._members.get(update.name);
    if (known !== undefined && !isNewer(update, known)) {
      return false;
    }
    this._members.set(update.name, update);
    this._onChange.fire(update);
    return true;
  }

  public remove(name: string): void {
    this._members.delete(name);
  }
}

/** Whether `update` supersedes `known`. */
export function isNewer(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  const rank = STATUS_RANK[update.status] - STATUS_RANK[known.status];
  return rank !== 0 ? rank > 0 : update.stateVersion > known.stateVersion;
}

/** Whether a member hasn't been declared dead and hasn't left. */
export function isLive(member: Member): boolean {
  return member.status === MemberStatus.Alive || member.status === MemberStatus.Suspect;
}
