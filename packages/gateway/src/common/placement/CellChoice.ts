/**
 * Chooses the cells that are asked for a prompt. Load patterns: callers move from one availability
 * zone to another, so that the engines of one zone are full while those of others are idle; all
 * engines of a zone fail at once, and every attempt in it fails, too.
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import type { EngineCell } from './EngineCells.js';

/** Cells that are asked for one prompt; each refusal costs a round trip. */
const MAX_CELLS = 2;

/**
 * The cells to ask, in this order: that of the own zone, then random others if it refuses. Cells in
 * whose zone an engine failed the prompt come last.
 */
export function chooseCells(
  cells: readonly EngineCell[],
  availabilityZone: string,
  random: Pick<RandomSource, 'integer'>,
  failedZones: ReadonlySet<string | undefined> = new Set(),
): readonly EngineCell[] {
  const own = cells.filter((cell) => cell.availabilityZone === availabilityZone);
  const others = cells.filter((cell) => cell.availabilityZone !== availabilityZone);
  const first = others.length === 0 ? 0 : random.integer(others.length);
  const ordered = [...own, ...others.slice(first), ...others.slice(0, first)];
  const hasFailed = (cell: EngineCell): boolean => failedZones.has(cell.availabilityZone);
  return [
    ...ordered.filter((cell) => !hasFailed(cell)),
    ...ordered.filter((cell) => hasFailed(cell)),
  ].slice(0, MAX_CELLS);
}
