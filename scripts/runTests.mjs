/**
 * Runs vitest and compares its results with the known failures in KNOWN-RED.txt. Each entry is a
 * block that starts with `test: <full name>`. A listed test may fail and is printed. The run fails
 * when a listed test passes or does not exist, and on every other failure.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const ENTRY_PREFIX = 'test: ';
const output = join(mkdtempSync(join(tmpdir(), 'tanagerdyke-tests-')), 'results.json');
const vitest = ['vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile=${output}`];
const run = spawnSync('npx', vitest, { stdio: 'inherit' });

const knownFailures = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter((line) => line.startsWith(ENTRY_PREFIX))
      .map((line) => line.slice(ENTRY_PREFIX.length).trim())
  : [];

if (!existsSync(output)) {
  console.error('vitest wrote no results; see its output above');
  process.exit(1);
}
const results = JSON.parse(readFileSync(output, 'utf8'));
const tests = results.testResults.flatMap((file) => file.assertionResults);
const statusOf = new Map(tests.map((test) => [test.fullName, test.status]));
const problems = [];
for (const file of results.testResults) {
  if (file.status === 'failed' && file.assertionResults.length === 0) {
    problems.push(`file did not load: ${file.name}`);
  }
}
for (const test of tests) {
  if (test.status === 'failed' && !knownFailures.includes(test.fullName)) {
    problems.push(`failed: ${test.fullName}`);
  }
}
for (const name of knownFailures) {
  const status = statusOf.get(name);
  if (status === undefined) {
    problems.push(`KNOWN-RED.txt names no test: ${name}`);
  } else if (status === 'passed') {
    problems.push(`KNOWN-RED.txt lists a test that passes now: ${name}`);
  } else {
    console.log(`KNOWN RED: ${name}`);
  }
}
if (knownFailures.length === 0 && run.status !== 0 && problems.length === 0) {
  problems.push(`vitest exited with ${run.status} though no test failed; see its output above`);
}
for (const problem of problems) {
  console.error(problem);
}
process.exit(problems.length === 0 ? 0 : 1);
