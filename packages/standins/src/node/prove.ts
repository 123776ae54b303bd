/**
 * The command line of proof runs. The last line of output is the result as JSON; the exit code is
 * non-zero when a figure that must be zero is not.
 */
import { cac } from 'cac';
import { parseFaultKinds } from '../common/prove/FaultSchedule.js';
import { hasFailed } from '../common/prove/ProofFigures.js';
import { exitOnSignal } from './ExitOnSignal.js';
import { NaiveMechanism } from './prove/naive/NaiveMechanism.js';
import { type ProofOptions, runProof } from './prove/ProofRun.js';

const EXIT_VIOLATION = 1;
const EXIT_USAGE = 2;
const DEFAULT_SEED = 1;
const DEFAULT_SECONDS = 60;

const options = parseOptions();
if (options === undefined) {
  process.exit(EXIT_USAGE);
}
exitOnSignal(EXIT_VIOLATION);
process.exit(await run(options));

function parseOptions(): ProofOptions | undefined {
  const cli = cac('prove');
  cli.option('--seed <n>', 'seed of the load and the faults', { default: DEFAULT_SEED });
  cli.option('--seconds <s>', 'duration of the load in seconds', { default: DEFAULT_SECONDS });
  cli.option('--fault <name>', 'faults to inject: all, none, or comma-separated names', {
    default: 'all',
  });
  cli.option('--naive <mechanism>', 'mechanism to replace by its naive implementation');
  cli.help();
  const parsed = cli.parse().options;
  const faults = parseFaultKinds(String(parsed.fault));
  const naive = parsed.naive as string | undefined;
  const isKnown = naive === undefined || Object.values<string>(NaiveMechanism).includes(naive);
  const seed = Number(parsed.seed);
  const seconds = Number(parsed.seconds);
  if (faults === undefined || !isKnown || !Number.isInteger(seed) || !(seconds > 0)) {
    process.stderr.write('prove: invalid fault, mechanism, seed or duration; see --help\n');
    return undefined;
  }
  return { seed, seconds, faults, naive };
}

async function run(proof: ProofOptions): Promise<number> {
  try {
    const { directory, faults, figures } = await runProof(proof);
    process.stderr.write(`logs and records are in ${directory}\n`);
    process.stdout.write(`${JSON.stringify({ seed: proof.seed, faults, ...figures })}\n`);
    return hasFailed(figures) ? EXIT_VIOLATION : 0;
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
    return EXIT_VIOLATION;
  }
}
