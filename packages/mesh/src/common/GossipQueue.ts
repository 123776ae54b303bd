/**
 * Queue of the membership updates to piggyback. Each update is sent on a number of messages that
 * grows with the logarithm of the member count, least sent first, so that it reaches all members
 * with high probability at constant cost per node (SWIM, section 4.1). Changes of status or
 * incarnation are sent before new states, since each change of the configuration gives every member
 * a new state.
 */
import type { Member } from './Messages.js';

/** Sends of one update per doubling of the member count. */
const SENDS_PER_DOUBLING = 4;

/** How an update differs from the record that it replaces. */
export enum UpdateKind {
  /** A process of which other members may have no record yet. */
  Introduction = 'introduction',
  /** A new status or incarnation. */
  Status = 'status',
  /** A new state of a member whose status and incarnation are unchanged. */
  State = 'state',
}

/** An update to piggyback. */
export interface QueuedUpdate {
  readonly member: Member;
  /** Whether receivers may not have the location of the process. */
  readonly isIntroduction: boolean;
  /** Whether it is sent before all updates that aren't urgent. */
  readonly isUrgent: boolean;
}

interface QueueEntry extends QueuedUpdate {
  sends: number;
}

/** Holds the newest update of each member until it has been sent often enough. */
export class GossipQueue {
  private readonly _pending = new Map<string, QueueEntry>();

  /** Queues an update in place of an older one of the same member, whose two flags it keeps. */
  public add(member: Member, kind: UpdateKind): void {
    const replaced = this._pending.get(member.name);
    const isIntroduction = kind === UpdateKind.Introduction || replaced?.isIntroduction === true;
    const isUrgent = kind === UpdateKind.Status || replaced?.isUrgent === true;
    this._pending.set(member.name, { member, isIntroduction, isUrgent, sends: 0 });
  }

  /**
   * Returns at most `limit` updates for one message, in a system of `memberCount` members, and
   * counts them as sent.
   */
  public take(limit: number, memberCount: number): readonly QueuedUpdate[] {
    const maxSends = SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 1));
    const chosen = [...this._pending.values()].sort(compareSendOrder).slice(0, limit);
    for (const entry of chosen) {
      entry.sends++;
      if (entry.sends >= maxSends) {
        this._pending.delete(entry.member.name);
      }
    }
    return chosen;
  }
}

function compareSendOrder(a: QueueEntry, b: QueueEntry): number {
  return Number(b.isUrgent) - Number(a.isUrgent) || a.sends - b.sends;
}
