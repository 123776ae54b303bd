/**
 * Command line of a proof run, which injects faults into a whole fleet on loopback and checks the
 * invariants of the system. The last line of the output is JSON. The exit code is not zero if a
 * figure that must be zero is not.
 */
import { cac } from 'cac';
import { parseFaultKinds } from '../common/prove/FaultSchedule.js';
import { hasFailed } from '../common/prove/ProofFigures.js';
import type { Fleet } from './Fleet.js';
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
process.exit(await run(options));

function parseOptions(): ProofOptions | undefined {
  const cli = cac('prove');
  cli.option('--seed <n>', 'seed of the load and of the faults', { default: DEFAULT_SEED });
  cli.option('--seconds <s>', 'duration of the load', { default: DEFAULT_SECONDS });
  cli.option('--fault <name>', 'all, none, or a comma-separated list of kinds of faults', {
    default: 'all',
  });
  cli.option('--naive <mechanism>', 'mechanism to replace by a naive form, as a negative control');
  cli.help();
  const parsed = cli.parse().options;
  const faults = parseFaultKinds(String(parsed.fault));
  const naive = parsed.naive as string | undefined;
  const isKnown = naive === undefined || Object.values<string>(NaiveMechanism).includes(naive);
  const seed = Number(parsed.seed);
  const seconds = Number(parsed.seconds);
  if (faults === undefined || !isKnown || !Number.isInteger(seed) || !(seconds > 0)) {
    process.stderr.write('prove: unknown fault or mechanism, or invalid seed or duration\n');
    return undefined;
  }
  return { seed, seconds, faults, naive };
}

async function run(proof: ProofOptions): Promise<number> {
  const fleets: Fleet[] = [];
  const stopEarly = (): void => {
    void Promise.all(fleets.map((fleet) => fleet.kill())).then(() => process.exit(EXIT_VIOLATION));
  };
  process.once('SIGINT', stopEarly);
  process.once('SIGTERM', stopEarly);
  try {
    const { directory, faults, figures } = await runProof(proof, (fleet) => fleets.push(fleet));
    process.stderr.write(`logs and records are in ${directory}\n`);
    process.stdout.write(`${JSON.stringify({ seed: proof.seed, faults, ...figures })}\n`);
    return hasFailed(figures) ? EXIT_VIOLATION : 0;
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? (error.stack ?? '') : String(error)}\n`);
    return EXIT_VIOLATION;
  }
}
