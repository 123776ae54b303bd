/**
 * The daemon of proof runs: the shipped program with injectable faults on its links to peers and
 * to the platform, and optionally with one mechanism replaced by a naive implementation. Fault
 * settings arrive as lines of JSON on standard input.
 */
import { createInterface } from 'node:readline';
import { type DaemonDependencies, DEFAULT_DEPENDENCIES, runDaemon } from '@tanagerdyke/daemon';
import { SystemRandom } from '@tanagerdyke/kernel';
import { faultSettingsSchema, LinkRules } from '../common/LinkRules.js';
import { createFaultyPlatform } from './faults/FaultyPlatform.js';
import { FaultyTransport } from './faults/FaultyTransport.js';
import { NAIVE_MECHANISM_VARIABLE } from './prove/naive/NaiveMechanism.js';
import { withNaiveMechanism } from './prove/naive/withNaiveMechanism.js';

const rules = new LinkRules();
const random = new SystemRandom();

createInterface({ input: process.stdin }).on('line', (line) => {
  rules.set(faultSettingsSchema.parse(JSON.parse(line)));
});

const dependencies = {
  ...DEFAULT_DEPENDENCIES,
  wrapTransport: (transport, clock) => new FaultyTransport(transport, rules, clock, random),
  wrapPlatform: (platform, clock) => createFaultyPlatform(platform, rules, clock),
} satisfies DaemonDependencies;

await runDaemon(
  process.argv,
  withNaiveMechanism(dependencies, process.env[NAIVE_MECHANISM_VARIABLE] ?? ''),
);
