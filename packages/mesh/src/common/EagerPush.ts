/**
 * Decides which updates a node pushes to its overlay neighbours without waiting for a probe: a
 * member died, left or came back, its draining flag changed, or it has a newer configuration. Every
 * member publishes each configuration, so a node pushes only the first update with a newer offset,
 * be it its own or a received one. Suspicions are only piggybacked: an overloaded host raises many,
 * and pushing them would add to its load.
 */
import { isLive } from './MemberTable.js';
import type { Member } from './Messages.js';
import { overlayNeighbours } from './RegularOverlay.js';

/** Selects the updates to push and the neighbours to push them to. */
export class EagerPush {
  /** Highest configuration offset in any update so far. */
  private _newestOffset = Number.NEGATIVE_INFINITY;
  /** Cached until the set of live members changes. */
  private _neighbours: readonly string[] | undefined;

  constructor(private readonly _selfName: string) {}

  /** Whether to push an update that replaces `known`; also records its configuration offset. */
  public shouldPush(member: Member, known: Member | undefined): boolean {
    const { configurationOffset, isDraining } = member.state;
    const isNewerOffset = configurationOffset > this._newestOffset;
    this._newestOffset = Math.max(this._newestOffset, configurationOffset);
    // A pushed update carries no location, so a new process is only announced by its introduction.
    if (known?.startedAt !== member.startedAt) {
      return false;
    }
    const isGoneOrBack = isLive(known) !== isLive(member);
    return isNewerOffset || isGoneOrBack || known.state.isDraining !== isDraining;
  }

  /** Neighbours to push to. `live` is called only after the set of live members changed. */
  public neighbours(live: () => readonly Member[]): readonly string[] {
    if (this._neighbours === undefined) {
      const names = live().map(({ name }) => name);
      this._neighbours = [...overlayNeighbours(this._selfName, names)];
    }
    return this._neighbours;
  }

  /** Discards the cached neighbours when a member appeared, came back or is no longer live. */
  public handleMemberChange(member: Member, known: Member | undefined): void {
    if (known === undefined || isLive(known) !== isLive(member)) {
      this._neighbours = undefined;
    }
  }
}
