/**
 * Explains the outcome of a request from decision logs: selects the entries that name the request,
 * and those that the nodes which handled it logged about its targets and themselves at that time.
 */
import * as z from 'zod';

/** Time before the start of a request from which events may explain its outcome. */
const CONTEXT_BEFORE_MS = 2_000;
/** Events about the node itself that may explain the outcome of its requests. */
const NODE_EVENT_PATTERN = /^(node|member|platform|configuration|log)\./;

/** One line of a decision log. */
export interface LogEntry {
  /** Wall clock of the node, milliseconds since the Unix epoch. */
  readonly at: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const entrySchema = z.looseObject({ at: z.number(), node: z.string(), event: z.string() });

/** Parses a log; text that log collectors put before the JSON of a line is skipped. */
export function parseDecisionLog(text: string): LogEntry[] {
  return text.split('\n').flatMap((line) => {
    const begin = line.indexOf('{');
    try {
      const parsed = entrySchema.safeParse(JSON.parse(begin === -1 ? '' : line.slice(begin)));
      if (!parsed.success) {
        return [];
      }
      const { at, event, node, ...fields } = parsed.data;
      return [{ at, node, event, fields }];
    } catch {
      // The line is of another program, or was truncated.
      return [];
    }
  });
}

/** Returns the entries that explain a request, in order of time; none when no entry names it. */
export function traceRequest(entries: readonly LogEntry[], request: string): LogEntry[] {
  const requestEntries = entries.filter(({ fields }) => fields.request === request);
  const [first] = requestEntries;
  if (first === undefined) {
    return [];
  }
  const begin = Math.min(...requestEntries.map(startOf)) - CONTEXT_BEFORE_MS;
  const end = Math.max(...requestEntries.map(({ at }) => at));
  const nodes = new Set(requestEntries.map(({ node }) => node));
  const targets = new Set(requestEntries.flatMap(({ fields }) => targetIdsOf(fields)));
  return entries
    .filter((entry) => {
      const { at, event, fields, node } = entry;
      const isInContext = at >= begin && at <= end && nodes.has(node);
      const isAboutTarget = typeof fields.target === 'string' && targets.has(fields.target);
      return (
        requestEntries.includes(entry) ||
        (isInContext && (isAboutTarget || NODE_EVENT_PATTERN.test(event)))
      );
    })
    .sort((a, b) => a.at - b.at);
}

/** Returns an entry as one line of text. */
export function renderLogEntry({ at, event, fields, node }: LogEntry): string {
  const pairs = Object.entries(fields)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
  return `${new Date(at).toISOString()}  ${node}  ${event}  ${pairs}`;
}

/** Returns the start of the request or attempt that an entry ends, else the time of the entry. */
function startOf({ at, fields }: LogEntry): number {
  return typeof fields.tookMs === 'number' ? at - fields.tookMs : at;
}

/** Returns the ids in `target`, and in `targets`, where those of one attempt are joined by `+`. */
function targetIdsOf({ target, targets }: Readonly<Record<string, unknown>>): string[] {
  const texts = [target, targets].filter((each) => typeof each === 'string');
  return texts.flatMap((text) => text.split(/[ +]/)).filter((id) => id !== '');
}
