/**
 * From a request's id to its cause: the lines of the decision logs that name the request, and what the
 * nodes that handled it noted of its targets and of themselves around that time.
 */
import * as z from 'zod';

/** Time before the request's first line in which events may explain it. */
const BEFORE_MS = 2_000;
/** Events of a node itself that may explain how its requests end. */
const NODE_EVENT = /^(node|member|platform|configuration|log)\./;

/** One line of a decision log. */
export interface Decision {
  /** Wall clock of the node, milliseconds since the Unix epoch. */
  readonly at: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const lineSchema = z.looseObject({ at: z.number(), node: z.string(), event: z.string() });

/** The decisions in a log; text before each line's JSON, as collectors put there, is skipped. */
export function readDecisions(text: string): Decision[] {
  return text.split('\n').flatMap((line) => {
    const begin = line.indexOf('{');
    try {
      const parsed = lineSchema.safeParse(JSON.parse(begin === -1 ? '' : line.slice(begin)));
      if (!parsed.success) {
        return [];
      }
      const { at, event, node, ...fields } = parsed.data;
      return [{ at, node, event, fields }];
    } catch {
      // A line of another program, or one that was cut.
      return [];
    }
  });
}

/** What explains a request, in the order of time; empty when no line names it. */
export function traceRequest(decisions: readonly Decision[], request: string): Decision[] {
  const own = decisions.filter(({ fields }) => fields.request === request);
  const [first] = own;
  if (first === undefined) {
    return [];
  }
  const begin = Math.min(...own.map(beginOf)) - BEFORE_MS;
  const end = Math.max(...own.map(({ at }) => at));
  const nodes = new Set(own.map(({ node }) => node));
  const targets = new Set(own.flatMap(({ fields }) => targetsOf(fields)));
  return decisions
    .filter((decision) => {
      const { at, event, fields, node } = decision;
      const isNear = at >= begin && at <= end && nodes.has(node);
      const isOfTarget = typeof fields.target === 'string' && targets.has(fields.target);
      return own.includes(decision) || (isNear && (isOfTarget || NODE_EVENT.test(event)));
    })
    .sort((a, b) => a.at - b.at);
}

/** One line of text for a decision. */
export function describeDecision({ at, event, fields, node }: Decision): string {
  const shown = Object.entries(fields)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
  return `${new Date(at).toISOString()}  ${node}  ${event}  ${shown}`;
}

function beginOf({ at, fields }: Decision): number {
  return typeof fields.tookMs === 'number' ? at - fields.tookMs : at;
}

/** Ids in the field `target`, or in `targets`, which joins those of one attempt by plus signs. */
function targetsOf({ target, targets }: Readonly<Record<string, unknown>>): string[] {
  const texts = [target, targets].filter((each) => typeof each === 'string');
  return texts.flatMap((text) => text.split(/[ +]/)).filter((id) => id !== '');
}
