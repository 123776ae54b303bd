/**
 * Chooses the cells that are asked for a prompt. Load pattern: callers move from one availability
 * zone to another, so that the engines of one zone are full while those of others are idle.
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import type { EngineCell } from './EngineCells.js';

/** The cells to ask, in this order: that of the own zone, then another one if it refuses. */
export function chooseCells(
  cells: readonly EngineCell[],
  availabilityZone: string,
  random: RandomSource,
): readonly EngineCell[] {
  const own = cells.filter((cell) => cell.availabilityZone === availabilityZone);
  const others = cells.filter((cell) => cell.availabilityZone !== availabilityZone);
  const other = others.length === 0 ? [] : [others[random.integer(others.length)]];
  const first = own.length === 0 ? others : [...own, ...other];
  return first.filter((cell) => cell !== undefined);
}
