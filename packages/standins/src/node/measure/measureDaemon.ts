/**
 * The daemon that measurement runs start: the shipped program with simulated link delays and the
 * baselines. The link settings arrive as JSON lines on standard input.
 */
import { createInterface } from 'node:readline';
import { DEFAULT_DEPENDENCIES, runDaemon } from '@tanagerdyke/daemon';
import { SystemRandom } from '@tanagerdyke/kernel';
import { faultSettingsSchema, LinkRules } from '../../common/LinkRules.js';
import { FaultyTransport } from '../faults/FaultyTransport.js';
import { withBaselines } from './withBaselines.js';

const rules = new LinkRules();
const random = new SystemRandom();

createInterface({ input: process.stdin }).on('line', (line) => {
  rules.set(faultSettingsSchema.parse(JSON.parse(line)));
});

await runDaemon(
  process.argv,
  withBaselines({
    ...DEFAULT_DEPENDENCIES,
    wrapTransport: (transport, clock) => new FaultyTransport(transport, rules, clock, random),
  }),
);
