/**
 * `npm run measure`: measures placement and admission under load with real processes. Progress goes
 * to standard error; the last line of standard output is JSON with the figures.
 */
import { SystemClock } from '@tanagerdyke/kernel';
import { cac } from 'cac';
import { Baseline } from '../../common/measure/BaselinePolicies.js';
import { measurePlacementTime } from '../../common/measure/PlacementTime.js';
import { SITES, User } from '../../common/measure/UserSite.js';
import { exitOnSignal } from '../ExitOnSignal.js';
import { MeasuredFleet } from './MeasuredFleet.js';
import type { SliceLine } from '../../common/measure/PolicySummary.js';
import { MeasurementReport } from './MeasurementReport.js';
import { MeasurementSeries } from './MeasurementSeries.js';

const DEFAULT_SECONDS = 20;
const DEFAULT_RUNS = 5;
const DEFAULT_TIME_SCALE = 2;
const EXIT_USAGE = 2;
const POLICIES: readonly string[] = ['slowdown', 'first-token', ...Object.values(Baseline)];

/** The series that `--parts` selects. */
enum MeasurementPart {
  Compare = 'compare',
  Overload = 'overload',
  Fairness = 'fairness',
  Kills = 'kills',
  /** Time of a decision of the gateway; needs no processes. */
  Placement = 'placement',
}

/** The series that run on the fleet of a site. */
type SitePart = Exclude<MeasurementPart, MeasurementPart.Placement>;

/** The validated command line. */
interface MeasurementOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly runs: number;
  readonly timeScale: number;
  readonly users: readonly User[];
  readonly policies: readonly string[];
  readonly parts: readonly MeasurementPart[];
  readonly report: string | undefined;
}

interface SiteOptions extends MeasurementOptions {
  readonly parts: readonly SitePart[];
}

exitOnSignal(1);
const cli = cac('measure');
cli.option('--seed <number>', 'first seed of the arrivals', { default: 1 });
cli.option('--seconds <number>', 'engine time of arrivals in each slice', {
  default: DEFAULT_SECONDS,
});
cli.option('--runs <number>', 'seeds to run, from the first one up', { default: DEFAULT_RUNS });
cli.option('--time-scale <number>', 'engine time per real time', { default: DEFAULT_TIME_SCALE });
cli.option('--users <name>', 'catania, rancho or both', { default: 'both' });
cli.option('--policy <names>', 'policies, separated by commas; all without it');
cli.option('--parts <names>', 'compare, overload, fairness, kills, placement; all without it');
cli.option('--report <directory>', 'where to write the report; none without it');
cli.help();
const { options } = cli.parse();
if (options.help !== true) {
  const measurementOptions = readOptions(options);
  if (measurementOptions === undefined) {
    process.stderr.write('measure: unknown user, policy or part; see --help\n');
    process.exitCode = EXIT_USAGE;
  } else {
    await measure(measurementOptions);
  }
}
process.exit();

async function measure(measurementOptions: MeasurementOptions): Promise<void> {
  const report = new MeasurementReport(process.argv.slice(2).join(' '), measurementOptions.report);
  const onLine = (line: SliceLine): void => {
    report.add(line);
    writeProgress(JSON.stringify(line));
  };
  const parts = measurementOptions.parts.filter((part) => part !== MeasurementPart.Placement);
  if (measurementOptions.parts.includes(MeasurementPart.Placement)) {
    const times = await measurePlacementTime(new SystemClock(), measurementOptions.seed);
    writeProgress(`placement ${JSON.stringify(times)}`);
  }
  for (const user of parts.length === 0 ? [] : measurementOptions.users) {
    await measureSite(user, { ...measurementOptions, parts }, onLine);
  }
  report.write();
  process.stdout.write(`${JSON.stringify(report.summaries)}\n`);
}

async function measureSite(
  user: User,
  measurementOptions: SiteOptions,
  onLine: (line: SliceLine) => void,
): Promise<void> {
  const { policies, seconds, seed, timeScale } = measurementOptions;
  const site = SITES[user];
  const measured = await MeasuredFleet.start(site, POLICIES, seed, timeScale);
  try {
    const idle = await measured.measureIdle(site.policy);
    writeProgress(`${user}: idle ${JSON.stringify(idle.points)}`);
    const series = new MeasurementSeries({ measured, idle, seconds, onLine });
    const comparedPolicies = policies.length > 0 ? policies : POLICIES;
    for (let run = 0; run < measurementOptions.runs; run++) {
      await runParts(series, measurementOptions, comparedPolicies, site.policy, seed + run);
    }
    await measured.fleet.stop();
  } finally {
    await measured.fleet.kill();
  }
}

async function runParts(
  series: MeasurementSeries,
  { parts, policies }: SiteOptions,
  comparedPolicies: readonly string[],
  sitePolicy: string,
  seed: number,
): Promise<void> {
  const [singlePolicy = sitePolicy] = policies;
  const run: Record<SitePart, () => Promise<void>> = {
    [MeasurementPart.Compare]: () => series.compare(comparedPolicies, seed),
    [MeasurementPart.Overload]: () => series.overload(singlePolicy, seed),
    [MeasurementPart.Fairness]: () => series.fairness(singlePolicy, seed),
    [MeasurementPart.Kills]: () => series.kills(singlePolicy, seed),
  };
  for (const part of parts) {
    await run[part]();
  }
}

function readOptions(given: Readonly<Record<string, unknown>>): MeasurementOptions | undefined {
  const users = given.users === 'both' ? Object.values(User) : splitList(given.users);
  const policies = splitList(given.policy);
  const parts = given.parts === undefined ? Object.values(MeasurementPart) : splitList(given.parts);
  const isValid =
    users.every(isUser) && parts.every(isPart) && policies.every((name) => POLICIES.includes(name));
  if (!isValid) {
    return undefined;
  }
  return {
    seed: Number(given.seed),
    seconds: Number(given.seconds),
    runs: Number(given.runs),
    timeScale: Number(given.timeScale),
    users: users.filter(isUser),
    policies,
    parts: parts.filter(isPart),
    report: typeof given.report === 'string' ? given.report : undefined,
  };
}

function splitList(value: unknown): readonly string[] {
  return typeof value === 'string' ? value.split(',') : [];
}

function isUser(name: string): name is User {
  return Object.values<string>(User).includes(name);
}

function isPart(name: string): name is MeasurementPart {
  return Object.values<string>(MeasurementPart).includes(name);
}

function writeProgress(text: string): void {
  process.stderr.write(`${text}\n`);
}
