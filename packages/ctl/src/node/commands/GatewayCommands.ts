/** Commands on gateway nodes that run on a platform: `gateway` and `explain`. */
import { readFile } from 'node:fs/promises';
import type { CAC } from 'cac';
import { describeCause } from '@tanagerdyke/kernel';
import { requestJson, requestText } from '../HttpExchange.js';
import { parseMetrics, type Sample, sumOf, sumsBy } from '../MetricsText.js';
import { ExitCode, print, printError, printUsage } from '../Output.js';
import { type LogEntry, renderLogEntry, parseDecisionLog, traceRequest } from '../RequestTrace.js';
import { explanationSchema, explanationUrl, renderExplanation } from '../RequestExplanation.js';
import { addressOf, type CommonOptions, isJson, readCount, readText } from './CommandContext.js';

const READ_TIMEOUT_MS = 5_000;

interface ExplainOptions extends CommonOptions {
  readonly log?: string | readonly string[];
  readonly route?: unknown;
  readonly host?: unknown;
  readonly path?: unknown;
  readonly workspace?: unknown;
  readonly prompt?: unknown;
  readonly output?: unknown;
  readonly hint?: unknown;
}

/** Options that describe a request to be explained. */
const REQUEST_OPTIONS = [
  'route',
  'host',
  'path',
  'workspace',
  'prompt',
  'output',
  'hint',
] as const satisfies readonly (keyof ExplainOptions)[];
const MAX_NAME_CHARACTERS = 255;

/** Registers `gateway` and `explain`. */
export function registerGatewayCommands(cli: CAC): void {
  cli
    .command('gateway <metrics-url>', 'print the state of a gateway node from its metrics')
    .action(async (url: string, options: CommonOptions) => {
      const timeoutMs = READ_TIMEOUT_MS;
      const text = await requestText({ method: 'GET', url, token: '', timeoutMs });
      if (text.isErr) {
        printError(text.error, isJson(options));
        return;
      }
      print(summarize(parseMetrics(text.value)), isJson(options), renderSummary);
    });

  cli
    .command(
      'explain [request]',
      'print where a request would go now, or the log entries that explain an ended one',
    )
    .option('--log <file>', 'log file that names the ended request; may be given more than once')
    .option('--route <name>', 'route of the request; or its host and path')
    .option('--host <host>', 'host that the request names')
    .option('--path <path>', 'path of the request')
    .option('--workspace <name>', 'workspace of the caller')
    .option('--prompt <tokens>', 'tokens of the prompt')
    .option('--output <tokens>', 'the most output tokens')
    .option('--hint <tokens>', "the caller's estimate of the output tokens")
    .action(explain);
}

/** Explains an ended request from logs, or one that would be sent now by asking a node. */
async function explain(id: string | undefined, options: ExplainOptions): Promise<void> {
  const given = REQUEST_OPTIONS.filter((name) => options[name] !== undefined);
  if (id === undefined) {
    await explainNow(options);
  } else if (given.length > 0) {
    printUsage(`explain takes the id of an ended request, or --${given.join(', --')}, not both`);
  } else {
    await explainEnded(id, options);
  }
}

async function explainNow(options: ExplainOptions): Promise<void> {
  if (options.log !== undefined) {
    printUsage('explain needs the id of a request with --log');
    return;
  }
  if ((options.route === undefined) === (options.host === undefined)) {
    printUsage('explain needs either --route or --host, or the id of an ended request and --log');
    return;
  }
  const countOf = (name: 'prompt' | 'output' | 'hint'): number | undefined =>
    options[name] === undefined ? undefined : readCount(options[name], name);
  const request = {
    route: readName(options.route, 'route'),
    host: readName(options.host, 'host'),
    path: readName(options.path, 'path'),
    workspace: readName(options.workspace, 'workspace'),
    prompt: countOf('prompt'),
    output: countOf('output'),
    hint: countOf('hint'),
  };
  const url = explanationUrl(addressOf(options), request);
  const timeoutMs = READ_TIMEOUT_MS;
  const answer = await requestJson({ method: 'GET', url, token: '', timeoutMs }, explanationSchema);
  if (answer.isErr) {
    printError(answer.error, isJson(options));
    return;
  }
  print(answer.value, isJson(options), renderExplanation);
}

/** Parses an option as a name; else throws, which is printed as a usage error. */
function readName(value: unknown, name: string): string | undefined {
  const text = readText(value);
  if (value !== undefined && (text === undefined || text.length > MAX_NAME_CHARACTERS)) {
    throw new Error(`--${name} needs one text of at most ${MAX_NAME_CHARACTERS} characters`);
  }
  return text;
}

async function explainEnded(id: string, options: ExplainOptions): Promise<void> {
  const files = [options.log ?? []].flat();
  if (files.length === 0) {
    printUsage(
      'explain needs a log; give --log FILE once per node, or one file with the logs of all nodes',
    );
    return;
  }
  const entries: LogEntry[] = [];
  for (const file of files) {
    try {
      entries.push(...parseDecisionLog(await readFile(file, 'utf8')));
    } catch (error) {
      printUsage(`${file} cannot be read: ${describeCause(error)}`);
      return;
    }
  }
  const trace = traceRequest(entries, id);
  if (trace.length === 0) {
    process.stderr.write(`tanagerctl: no line of ${files.length} logs names the request ${id}\n`);
    process.stderr.write('remedy: give the logs of all nodes that the caller may have used\n');
    process.exitCode = ExitCode.Failure;
    return;
  }
  print(trace, isJson(options), (each) => each.map(renderLogEntry).join('\n'));
}

/** The state of a gateway node. Counts by outcome are totals since the node started. */
interface GatewaySummary {
  readonly members: number;
  readonly running: number;
  readonly configurationVersion: number;
  /** Time since the platform last responded, for the topic that waits the longest. */
  readonly platformSilenceMs: number;
  /** Epoch of the platform's log, which rises when it is restored; 0 if it is not stated. */
  readonly platformEpoch: number;
  /** Targets that are draining or state that they are leaving. */
  readonly targetsLeaving: number;
  /** Log lines dropped since the last line that was written. */
  readonly linesDropped: number;
  /** Requests by outcome. */
  readonly endings: Readonly<Record<string, number>>;
  /** Retries by whether the budget granted or refused them. */
  readonly retries: Readonly<Record<string, number>>;
  /** Calls of the platform by whether they were answered or failed. */
  readonly platformCalls: Readonly<Record<string, number>>;
}

function summarize(samples: readonly Sample[]): GatewaySummary {
  const sumsByLabel = (name: string, label: string): Record<string, number> =>
    Object.fromEntries(sumsBy(samples, name, label));
  return {
    members: sumOf(samples, 'tanager_members_live'),
    running: sumOf(samples, 'tanager_requests_running'),
    configurationVersion: sumOf(samples, 'tanager_configuration_version'),
    platformSilenceMs: sumOf(samples, 'tanager_platform_silence_ms'),
    platformEpoch: sumOf(samples, 'tanager_platform_epoch'),
    targetsLeaving: sumOf(samples, 'tanager_targets_leaving'),
    linesDropped: sumOf(samples, 'tanager_log_lines_dropped'),
    endings: sumsByLabel('tanager_requests_total', 'ending'),
    retries: sumsByLabel('tanager_retries_total', 'outcome'),
    platformCalls: sumsByLabel('tanager_platform_calls_total', 'outcome'),
  };
}

function renderSummary(summary: GatewaySummary): string {
  const renderCounts = (counts: Readonly<Record<string, number>>): string =>
    Object.entries(counts)
      .map(([name, count]) => `${name} ${count}`)
      .join(', ') || 'none';
  return [
    `configuration ${summary.configurationVersion}, platform silent for ${summary.platformSilenceMs} ms`,
    `platform epoch ${summary.platformEpoch}, targets leaving ${summary.targetsLeaving}`,
    `members ${summary.members}, running ${summary.running}, log lines dropped ${summary.linesDropped}`,
    `requests: ${renderCounts(summary.endings)}`,
    `retries: ${renderCounts(summary.retries)}`,
    `calls of the platform: ${renderCounts(summary.platformCalls)}`,
  ].join('\n');
}
