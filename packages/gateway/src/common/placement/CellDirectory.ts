/**
 * The cells of each service and their coordinators, derived from the membership. Rankings are kept
 * until a member changes, because every prompt needs them.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import type { Member, Membership } from '@tanagerdyke/mesh';
import { coordinatorsOf, type EngineCell, keyOfCell } from './EngineCells.js';

/** Looks up the coordinators of cells. */
export class CellDirectory extends DisposableOwner {
  private readonly _coordinators = new Map<string, readonly Member[]>();

  constructor(private readonly _membership: Membership) {
    super();
    this.register(
      _membership.onChange(() => {
        this._coordinators.clear();
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
}
