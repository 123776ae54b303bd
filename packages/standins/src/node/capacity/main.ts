/**
 * The capacity run: measures how costs grow with the size of the system, using the real
 * coordination code with minimal stand-ins. Writes tables and plots, and prints one JSON line at
 * the end.
 */
import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { LogLevel, setLogNamespaces } from '@tanagerdyke/kernel';
import { cac } from 'cac';
import { type BatchingResult, measureBatching } from '../../common/capacity/ClaimBatching.js';
import {
  DisseminationKind,
  type DisseminationResult,
  measureDissemination,
} from '../../common/capacity/Dissemination.js';
import { type Series, withFit } from '../../common/capacity/Series.js';
import type { NodeCosts } from './NodeCosts.js';
import { type ReportTable, writeReport } from './Report.js';
import { measureSet, type SetCosts } from './SetCosts.js';
import { measureStates } from './StateCosts.js';

const WORKSPACES = [10, 100, 450, 900, 1_800, 3_600];
/** Planned rate of claims and outcomes over all shards. */
const ENTRIES_PER_SECOND = 490;
const APPEND_MS = 5;
const BATCH_WAITS_MS = [1, 4, 16, 64];
const SHARDS = [1, 4, 16, 64];
const DISSEMINATION_NODES = [12, 48, 96, 190];
const LOSSES = [0, 0.05, 0.2];
const OUTPUT = 'docs/measurements/capacity';

const cli = cac('capacity');
cli.option('--nodes <list>', 'numbers of nodes', { default: '3,6,12,24,48,96' });
cli.option('--seed <number>', 'seed of arrivals', { default: 1 });
cli.help();
const { options } = cli.parse();
if (options.help !== true) {
  await runCapacity(parseNodes(String(options.nodes)), Number(options.seed));
}

async function runCapacity(counts: readonly number[], seed: number): Promise<void> {
  setLogNamespaces('');
  const sets = WORKSPACES.map(measureSet);
  const states = measureStates();
  const batching = await sweepBatching(seed);
  logProgress('comparing dissemination methods');
  const dissemination = await sweepDissemination(seed);
  const nodes: NodeCosts[] = [];
  for (const count of counts) {
    logProgress(`measuring ${count} nodes`);
    nodes.push(measureInChildProcess(count, seed));
  }
  const series = [...nodeSeries(nodes), ...setSeries(sets)].map(withFit);
  const tables = [
    nodeTable(nodes),
    setTable(sets),
    batchingTable(batching),
    disseminationTable(dissemination),
    stateTable(states),
  ];
  writeReport(OUTPUT, `Slopes, seed ${seed}, nodes ${counts.join(',')}`, series, tables);
  const fits = Object.fromEntries(series.map(({ name, fit }) => [name, fit]));
  process.stdout.write(
    `${JSON.stringify({ seed, nodes, sets, states, batching, news: dissemination, fits })}\n`,
  );
  process.exit(0);
}

/**
 * Measures in a child process, so that memory and garbage collection of one run don't affect the
 * next.
 */
function measureInChildProcess(nodes: number, seed: number): NodeCosts {
  const script = fileURLToPath(new URL('nodesMain.js', import.meta.url));
  const args = ['--expose-gc', script, String(nodes), String(seed)];
  const child = spawnSync(process.execPath, args, { encoding: 'utf8' });
  if (child.status !== 0) {
    throw new Error(`measuring ${nodes} nodes failed: ${child.stderr}`);
  }
  return JSON.parse(child.stdout) as NodeCosts;
}

function parseNodes(list: string): readonly number[] {
  return list.split(',').map(Number);
}

function logProgress(message: string): void {
  process.stderr.write(`${JSON.stringify({ level: LogLevel.Info, message })}\n`);
}

async function sweepBatching(seed: number): Promise<readonly BatchingResult[]> {
  const results: BatchingResult[] = [];
  for (const shards of SHARDS) {
    for (const batchWaitMs of BATCH_WAITS_MS) {
      const setup = {
        entriesPerSecond: ENTRIES_PER_SECOND,
        shards,
        batchWaitMs,
        appendMs: APPEND_MS,
      };
      results.push(await measureBatching(setup, seed));
    }
  }
  return results;
}

async function sweepDissemination(seed: number): Promise<readonly DisseminationResult[]> {
  const results: DisseminationResult[] = [];
  for (const nodes of DISSEMINATION_NODES) {
    for (const loss of LOSSES) {
      for (const kind of Object.values(DisseminationKind)) {
        results.push(await measureDissemination({ kind, nodes, loss }, seed));
      }
    }
  }
  return results;
}

function nodeSeries(costs: readonly NodeCosts[]): readonly Series[] {
  const seriesOf = (
    name: string,
    title: string,
    unit: string,
    read: (cost: NodeCosts) => number,
  ): Series => ({
    name,
    title,
    unit,
    xLabel: 'nodes',
    points: costs.map((cost) => ({ x: cost.nodes, y: read(cost) })),
  });
  return [
    seriesOf('idle-bytes', 'Peer bytes of an idle node', 'bytes/s', ({ idle }) => idle.bytes),
    seriesOf('request-bytes', 'Peer bytes of a request', 'bytes', (cost) => cost.requestBytes),
    seriesOf('request-cpu', 'Processor time of a request', 'ms', (cost) => cost.requestCpuMs),
    seriesOf('idle-messages', 'Peer messages of an idle node', '1/s', ({ idle }) => idle.messages),
    seriesOf('idle-cpu', 'Processor time of an idle node', 'ms/s', ({ idle }) => idle.cpuMs),
    seriesOf('memory', 'Resident memory of all nodes in a process', 'MB', (cost) => cost.memoryMb),
    seriesOf('change', 'Time for a change to reach all', 'ms', (cost) => cost.changeMs),
    seriesOf('death', 'Time for a death to reach all', 'ms', (cost) => cost.deathMs),
    seriesOf('join', 'Bytes sent by all when one joins', 'bytes', (cost) => cost.joinBytes),
  ];
}

function setSeries(costs: readonly SetCosts[]): readonly Series[] {
  const seriesOf = (
    name: string,
    title: string,
    unit: string,
    read: (cost: SetCosts) => number,
  ): Series => ({
    name,
    title,
    unit,
    xLabel: 'workspaces',
    points: costs.map((cost) => ({ x: cost.workspaces, y: read(cost) })),
  });
  return [
    seriesOf('set-bytes', 'Configuration', 'bytes', (cost) => cost.setBytes),
    seriesOf('check', 'Whole-set check', 'ms', (cost) => cost.checkMs),
    seriesOf('apply', 'Application of one change', 'ms', (cost) => cost.applyMs),
    seriesOf('replay', 'Replay of a checkpoint', 'ms', (cost) => cost.replayMs),
    seriesOf('set-memory', 'Memory of a set', 'MB', (cost) => cost.memoryMb),
  ];
}

function nodeTable(costs: readonly NodeCosts[]): ReportTable {
  return {
    title: 'Nodes, per node and second',
    columns: [
      'nodes',
      'idle bytes',
      'idle messages',
      'idle CPU ms',
      'idle log reads',
      'idle log appends',
      'engine polls',
      'loaded bytes',
      'loaded messages',
      'loaded CPU ms',
      'loaded log bytes',
      'loaded log appends',
      'requests',
      'failures',
      'bytes/request',
      'CPU ms/request',
      'MB in process',
      'change ms',
      'death ms',
      'join bytes',
    ],
    rows: costs.map(({ nodes, idle, loaded, ...cost }) => [
      nodes,
      idle.bytes,
      idle.messages,
      idle.cpuMs,
      idle.logReads,
      idle.logAppends,
      idle.enginePolls,
      loaded.bytes,
      loaded.messages,
      loaded.cpuMs,
      loaded.logBytes,
      loaded.logAppends,
      cost.requests,
      cost.failures,
      cost.requestBytes,
      cost.requestCpuMs,
      cost.memoryMb,
      cost.changeMs,
      cost.deathMs,
      cost.joinBytes,
    ]),
  };
}

function setTable(costs: readonly SetCosts[]): ReportTable {
  return {
    title: 'Configuration with 700 servers',
    columns: [
      'workspaces',
      'set bytes',
      'change bytes',
      'check ms',
      'apply ms',
      'replay ms',
      'parts',
      'MB',
    ],
    rows: costs.map((cost) => Object.values(cost) as number[]),
  };
}

function batchingTable(results: readonly BatchingResult[]): ReportTable {
  return {
    title: 'Claims and outcomes in group commit (manual clock)',
    columns: [
      'entries/s',
      'shards',
      'batch wait ms',
      'append ms',
      'appends/s',
      'entries/append',
      'median ms',
      'p95 ms',
    ],
    rows: results.map((result) => Object.values(result) as number[]),
  };
}

function disseminationTable(results: readonly DisseminationResult[]): ReportTable {
  return {
    title: 'Dissemination of one piece of news (manual clock, 4 ms each way)',
    columns: ['way', 'nodes', 'loss', 'reached', 'last ms', 'bytes per node'],
    rows: results.map((result) => Object.values(result) as (string | number)[]),
  };
}

function stateTable(states: ReturnType<typeof measureStates>): ReportTable {
  return {
    title: 'States',
    columns: Object.keys(states),
    rows: [Object.values(states) as number[]],
  };
}
