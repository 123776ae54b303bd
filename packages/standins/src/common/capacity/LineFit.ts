/**
 * Fits least-squares lines to measured points. The quality of a fit is given by its largest
 * residual, as a share of the largest value.
 */
import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';

export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A fitted line with the quality of the fit. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly residual: number;
  readonly rSquared: number;
}

/** Fits a line to at least two points. */
export function fitLine(points: readonly Point[]): LineFit {
  const pairs = points.map(({ x, y }) => [x, y]);
  const { m, b } = linearRegression(pairs);
  const line = linearRegressionLine({ m, b });
  const largestValue = Math.max(...points.map(({ y }) => Math.abs(y)));
  const distances = points.map(({ x, y }) => Math.abs(line(x) - y));
  const residual = largestValue === 0 ? 0 : Math.max(...distances) / largestValue;
  return { slope: m, intercept: b, residual, rSquared: rSquared(pairs, line) };
}

/** The value of a fitted line at `x`. */
export function valueAt(fit: LineFit, x: number): number {
  return fit.intercept + fit.slope * x;
}
