/** The series of a capacity run, each a quantity measured at several sizes of the system. */
import { fitLine, type LineFit, type Point } from './LineFit.js';

/** Values of one quantity, plotted against one size such as the number of nodes. */
export interface Series {
  /** File name of its plot, without extension. */
  readonly name: string;
  readonly title: string;
  /** Label of the horizontal axis: the size that the x values count. */
  readonly xLabel: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** A series with the line fitted to it. */
export interface FittedSeries extends Series {
  readonly fit: LineFit;
}

/** Fits a line to a series of at least two points. */
export function withFit(series: Series): FittedSeries {
  return { ...series, fit: fitLine(series.points) };
}

/** The median, or the upper of the two middle values; 0 for an empty list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
