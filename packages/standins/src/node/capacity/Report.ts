/** Writes the results of a capacity run: Markdown tables and one SVG plot per series. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import * as echarts from 'echarts';
import { valueAt } from '../../common/capacity/LineFit.js';
import type { FittedSeries } from '../../common/capacity/Series.js';

const PLOT_WIDTH = 640;
const PLOT_HEIGHT = 360;
const DIGITS = 4;

/** A table with its heading. */
export interface ReportTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** Writes `slopes.md` and the plots of all series into a directory. */
export function writeReport(
  directory: string,
  heading: string,
  series: readonly FittedSeries[],
  tables: readonly ReportTable[],
): void {
  mkdirSync(directory, { recursive: true });
  const sections = [fitTable(series), ...tables].map(renderTable);
  writeFileSync(join(directory, 'slopes.md'), [`# ${heading}`, ...sections].join('\n\n') + '\n');
  for (const fitted of series) {
    writeFileSync(join(directory, `${fitted.name}.svg`), renderPlot(fitted));
  }
}

/** Formats a number with the significant digits of the report. */
export function formatNumber(value: number): string {
  return String(Number(value.toPrecision(DIGITS)));
}

function fitTable(series: readonly FittedSeries[]): ReportTable {
  return {
    title: 'Fitted lines',
    columns: ['quantity', 'against', 'slope', 'intercept', 'largest residual', 'R²', 'points'],
    rows: series.map(({ title, unit, xLabel, fit, points }) => [
      `${title} (${unit})`,
      xLabel,
      formatNumber(fit.slope),
      formatNumber(fit.intercept),
      `${(fit.residual * 100).toFixed(1)} %`,
      fit.rSquared.toFixed(3),
      points.map(({ x, y }) => `${x}: ${formatNumber(y)}`).join(', '),
    ]),
  };
}

function renderTable({ title, columns, rows }: ReportTable): string {
  const cells = rows.map((row) =>
    row.map((cell) => (typeof cell === 'number' ? formatNumber(cell) : cell)),
  );
  const lines = [columns, columns.map(() => '---'), ...cells].map(
    (row) => `| ${row.join(' | ')} |`,
  );
  return [`## ${title}`, '', ...lines].join('\n');
}

function renderPlot({ title, unit, xLabel, points, fit }: FittedSeries): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
  });
  const line = points.map(({ x }) => [x, valueAt(fit, x)]);
  chart.setOption({
    animation: false,
    title: { text: `${title} against ${xLabel}` },
    grid: { left: 80 },
    xAxis: { type: 'value', name: xLabel },
    yAxis: { type: 'value', name: unit },
    series: [
      { type: 'scatter', data: points.map(({ x, y }) => [x, y]) },
      { type: 'line', data: line, showSymbol: false },
    ],
  });
  const text = chart.renderToSVGString();
  chart.dispose();
  return text;
}
