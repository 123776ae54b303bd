/** `timeline`: prints the events of all daemons, merged, filtered, followed or drawn. */
import type { TimeLineEvent } from '@tanagerdyke/kernel';
import type { CAC } from 'cac';
import { EventFilter } from '../EventFilter.js';
import { printError } from '../Output.js';
import { renderEvent, TimeLineDrawing } from '../TimeLineDrawing.js';
import { TimeLineReader } from '../TimeLineReader.js';
import {
  clock,
  type CommonOptions,
  isJson,
  operatorClient,
  operatorClientAt,
  readCount,
  readText,
} from './CommandContext.js';

interface TimeLineOptions extends CommonOptions {
  readonly limit?: unknown;
  readonly request?: unknown;
  readonly target?: unknown;
  readonly workspace?: unknown;
  readonly node?: unknown;
  readonly name?: unknown;
  readonly follow?: boolean;
  readonly draw?: boolean;
}

const DEFAULT_EVENTS = 200;
const FOLLOW_POLL_MS = 500;

/** Registers `timeline`. */
export function registerTimeLineCommand(cli: CAC): void {
  cli
    .command('timeline', 'print the latest events of all daemons in order of time')
    .option('--limit <n>', 'number of events in the first output', { default: DEFAULT_EVENTS })
    .option('--request <id>', 'only events of a request, an attempt or an idempotency key')
    .option('--target <name>', 'only events that name a target')
    .option('--workspace <name>', 'only events of the requests of a workspace')
    .option('--node <name>', 'only events of one node')
    .option('--name <name>', 'only events of this name, or of this part of a name before a dot')
    .option('--follow', 'keep printing new events until interrupted')
    .option('--draw', 'draw one column per node')
    .action(showTimeLine);
}

async function showTimeLine(options: TimeLineOptions): Promise<void> {
  const limit = readCount(options.limit ?? DEFAULT_EVENTS, 'limit');
  const reader = new TimeLineReader(clock, operatorClient(options), operatorClientAt);
  const filter = new EventFilter({
    request: readText(options.request),
    target: readText(options.target),
    workspace: readText(options.workspace),
    node: readText(options.node),
    name: readText(options.name),
  });
  const render = rendererOf(options);
  for (let isFirst = true; ; isFirst = false) {
    const merged = await reader.read();
    if (merged.isErr) {
      printError(merged.error, isJson(options));
      return;
    }
    const selected = filter.select(merged.value.events);
    const shown = isFirst ? selected.slice(Math.max(0, selected.length - limit)) : selected;
    process.stdout.write(render(shown));
    reportUnreachable(merged.value.unreachable);
    if (options.follow !== true) {
      return;
    }
    await clock.sleep(FOLLOW_POLL_MS);
  }
}

/** Returns the renderer for JSON lines, drawn columns, or plain lines. */
function rendererOf(options: TimeLineOptions): (events: readonly TimeLineEvent[]) => string {
  if (isJson(options)) {
    return (events) => toLines(events.map((event) => JSON.stringify(event)));
  }
  if (options.draw === true) {
    const drawing = new TimeLineDrawing();
    return (events) => toLines(drawing.draw(events));
  }
  return (events) => toLines(events.map(renderEvent));
}

function toLines(lines: readonly string[]): string {
  return lines.map((line) => `${line}\n`).join('');
}

function reportUnreachable(nodes: readonly string[]): void {
  for (const node of nodes) {
    process.stderr.write(`tanagerctl: no answer from ${node}, its events are missing\n`);
  }
}
