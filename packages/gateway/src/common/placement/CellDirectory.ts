/**
 * The cells of each service and their coordinators, derived from the membership. Rankings are kept
 * until a member changes, because every prompt needs them.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';
import { coordinatorsOf, type EngineCell, keyOfCell } from './EngineCells.js';

/** Looks up the coordinators of cells. */
export class CellDirectory extends DisposableOwner {
  private readonly _coordinators = new Map<string, readonly Member[]>();
  private readonly _first = new Map<string, string | undefined>();

  constructor(private readonly _membership: Membership) {
    super();
    this.register(
      _membership.onChange(() => {
        this._coordinators.clear();
        this._first.clear();
      }),
    );
  }

  /** The coordinators of a cell, the one to ask first in front. */
  public coordinatorsOf(cell: EngineCell): readonly Member[] {
    const key = keyOfCell(cell);
    let coordinators = this._coordinators.get(key);
    if (coordinators === undefined) {
      coordinators = coordinatorsOf(cell, this._membership.live);
      this._coordinators.set(key, coordinators);
    }
    return coordinators;
  }

  /**
   * Whether this node is the first coordinator of a cell. A suspected member counts as alive here,
   * since it may decide for those that still reach it.
   */
  public isFirst(cell: EngineCell): boolean {
    const { live, self } = this._membership;
    const key = keyOfCell(cell);
    if (!this._first.has(key)) {
      const members = live.map((member) => ({ ...member, status: MemberStatus.Alive }));
      this._first.set(key, coordinatorsOf(cell, members)[0]?.name);
    }
    return this._first.get(key) === self.name;
  }
}
