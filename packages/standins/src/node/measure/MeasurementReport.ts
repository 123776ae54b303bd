/**
 * Writes the report of measurements into a directory: the raw lines of every run with commit and
 * command, and a page with tables and a plot of all runs.
 */
import { execFileSync } from 'node:child_process';
import { appendFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import * as echarts from 'echarts';
import {
  type PolicySummary,
  type RawLine,
  type SliceLine,
  type SeedStatistics,
  summarise,
} from '../../common/measure/PolicySummary.js';

const RAW_FILE = 'raw.jsonl';
const PLOT_FILE = 'ratios.svg';
const PLOT_WIDTH = 900;
const PLOT_HEIGHT = 420;
const COMPARED_SERIES = 'compare';
const PLOTTED_PREFIX = 'ratio p95';
/** Largest ratio to the idle time that meets the target; drawn as a line in the plot. */
const MAX_IDLE_RATIO = 1.5;

/** Collects the lines of one run and writes the page for all runs in the directory. */
export class MeasurementReport {
  private readonly _lines: RawLine[] = [];
  private readonly _commit = currentCommit();

  /** Writes no files if `_directory` is undefined. */
  constructor(
    private readonly _command: string,
    private readonly _directory?: string,
  ) {}

  /**
   * Adds a line and appends it to the raw file immediately, so that an interrupted run loses none.
   */
  public add(line: SliceLine): void {
    const raw = { commit: this._commit, command: this._command, ...line };
    this._lines.push(raw);
    if (this._directory !== undefined) {
      mkdirSync(this._directory, { recursive: true });
      appendFileSync(join(this._directory, RAW_FILE), `${JSON.stringify(raw)}\n`);
    }
  }

  /** Summaries of the lines of this run only. */
  public get summaries(): readonly PolicySummary[] {
    return summarise(this._lines);
  }

  /** Writes the page and the plot from all raw lines in the directory. */
  public write(): void {
    if (this._directory === undefined) {
      return;
    }
    const text = readFileSync(join(this._directory, RAW_FILE), 'utf8');
    const lines = text
      .trim()
      .split('\n')
      .map((line) => JSON.parse(line) as RawLine);
    const summaries = summarise(lines);
    writeFileSync(join(this._directory, 'serving.md'), renderPage(summaries));
    writeFileSync(join(this._directory, PLOT_FILE), renderPlot(summaries));
  }
}

/** The checked-out commit, with the suffix `-dirty` if files in `packages` differ from it. */
function currentCommit(): string {
  const git = (...args: string[]): string => execFileSync('git', args, { encoding: 'utf8' }).trim();
  const hasLocalChanges = git('status', '--porcelain', '--', 'packages') !== '';
  return git('rev-parse', '--short', 'HEAD') + (hasLocalChanges ? '-dirty' : '');
}

function renderPage(summaries: readonly PolicySummary[]): string {
  const series = [...new Set(summaries.map((summary) => summary.series))];
  const tables = series.map((name) =>
    renderTable(
      name,
      summaries.filter((summary) => summary.series === name),
    ),
  );
  const head = [
    '# Serving under load',
    `Written by \`npm run measure\` from the raw lines in [${RAW_FILE}](${RAW_FILE}), which hold the`,
    'commit, command and seed of each. Each cell is the median over seeds (smallest to largest).',
    'Times are engine time.',
    `\n![p95 of the time to first token over the idle time](${PLOT_FILE})`,
  ];
  return `${[head.join('\n'), ...tables].join('\n\n')}\n`;
}

function renderTable(name: string, summaries: readonly PolicySummary[]): string {
  const columns = [...new Set(summaries.flatMap(({ figures }) => Object.keys(figures)))];
  const header = ['user', 'policy', 'commit', 'load', 'seeds', ...columns];
  const rows = summaries.map(({ user, policy, commit, load, figures }) => [
    user,
    policy,
    commit,
    String(load),
    String(figures.goodput?.seeds ?? 0),
    ...columns.map((column) => renderStatistics(figures[column])),
  ]);
  const lines = [header, header.map(() => '---'), ...rows].map((row) => `| ${row.join(' | ')} |`);
  return [`## ${name}`, '', ...lines].join('\n');
}

function renderStatistics(statistics: SeedStatistics | undefined): string {
  if (statistics === undefined) {
    return '';
  }
  const { max, median, min } = statistics;
  return min === max ? String(median) : `${median} (${min} to ${max})`;
}

function renderPlot(summaries: readonly PolicySummary[]): string {
  const compared = summaries.filter(({ series }) => series === COMPARED_SERIES);
  const names = Object.keys(compared[0]?.figures ?? {}).filter((name) =>
    name.startsWith(PLOTTED_PREFIX),
  );
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
  });
  chart.setOption({
    animation: false,
    legend: { top: 0 },
    grid: { left: 60, bottom: 60 },
    xAxis: { type: 'category', data: names },
    yAxis: { type: 'log', name: 'over idle' },
    series: compared.map(({ commit, figures, policy, user }) => ({
      type: 'bar',
      name: `${user} ${policy} ${commit}`,
      data: names.map((name) => figures[name]?.median),
      markLine: { symbol: 'none', data: [{ yAxis: MAX_IDLE_RATIO }] },
    })),
  });
  const text = chart.renderToSVGString();
  chart.dispose();
  return text;
}
