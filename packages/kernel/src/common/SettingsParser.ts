/**
 * Parses settings in YAML and validates them against a zod schema. All problems are reported
 * together, each with its path, its line, the value found and a remedy.
 */
import { Result } from 'true-myth';
import { type Document, isNode, LineCounter, parseDocument } from 'yaml';
import type * as z from 'zod';
import { describeCause, ErrorKind, ServiceError } from './ServiceError.js';

/**
 * Parses `text` and validates it against `schema`; `source` is its name in messages. Messages never
 * contain values under the keys listed in `secrets`.
 */
export function parseSettings<T>(
  text: string,
  schema: z.ZodType<T>,
  source: string,
  secrets: readonly string[] = [],
): Result<T, ServiceError> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter, prettyErrors: false });
  if (document.errors.length > 0) {
    const findings = document.errors.map((error) => {
      const { line, col } = lineCounter.linePos(error.pos[0]);
      return `${source}:${line}:${col}: ${error.message}; correct the YAML at this place`;
    });
    return Result.err(invalidSettings(source, findings));
  }
  const converted = toPlainValue(document, source);
  if (converted.isErr) {
    return Result.err(converted.error);
  }
  const { value } = converted;
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const findings = parsed.error.issues.flatMap((issue) =>
    describeIssue(issue, { document, lineCounter, value, source, secrets }),
  );
  return Result.err(invalidSettings(source, findings));
}

function invalidSettings(source: string, findings: readonly string[]): ServiceError {
  return new ServiceError(
    ErrorKind.BadRequest,
    `${source} has ${findings.length} problem(s):\n${findings.join('\n')}`,
    { remedy: 'correct each problem and start again', findings },
  );
}

/**
 * Converts a document to a plain value. Aliases are rejected: a small file could expand to a huge
 * value.
 */
function toPlainValue(document: Document, source: string): Result<unknown, ServiceError> {
  try {
    return Result.ok(document.toJS({ maxAliasCount: 0 }) as unknown);
  } catch (error) {
    const location = `${source}:1`;
    const text = `${location}: document: ${describeCause(error)}; write values out, without aliases`;
    return Result.err(invalidSettings(source, [text]));
  }
}

/** The document in which an issue was found. */
interface IssueContext {
  readonly document: Document;
  readonly lineCounter: LineCounter;
  readonly value: unknown;
  readonly source: string;
  readonly secrets: readonly string[];
}

function describeIssue(issue: z.core.$ZodIssue, context: IssueContext): string[] {
  const { document, lineCounter, source } = context;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      const location = locationOf(path, document, lineCounter, source);
      return `${location}: ${path.join('.')}: unknown key; remove it or correct its spelling`;
    });
  }
  const path = issue.path.map((part) => (typeof part === 'symbol' ? part.toString() : part));
  const pathText = path.join('.') || 'document';
  const location = locationOf(path, document, lineCounter, source);
  return [`${location}: ${pathText}: found ${describeFound(path, context)}; ${remedyText(issue)}`];
}

/**
 * Describes the value at a path; of a mapping or list, which may contain a secret, only the type.
 */
function describeFound(
  path: readonly (string | number)[],
  { secrets, value }: IssueContext,
): string {
  const found = valueAt(value, path);
  if (found === undefined) {
    return 'nothing';
  }
  if (Array.isArray(found)) {
    return 'a list';
  }
  if (typeof found === 'object' && found !== null) {
    return 'a mapping';
  }
  const isSecret = path.some((part) => secrets.includes(String(part)));
  return isSecret ? 'a value that is not shown' : truncate(JSON.stringify(found));
}

function remedyText(issue: z.core.$ZodIssue): string {
  return issue.message.charAt(0).toLowerCase() + issue.message.slice(1);
}

const MAX_SHOWN_VALUE_CHARACTERS = 80;

function truncate(text: string): string {
  return text.length > MAX_SHOWN_VALUE_CHARACTERS
    ? `${text.slice(0, MAX_SHOWN_VALUE_CHARACTERS)}…`
    : text;
}

function valueAt(value: unknown, path: readonly (string | number)[]): unknown {
  let current = value;
  for (const part of path) {
    if (typeof current !== 'object' || current === null) {
      return undefined;
    }
    current = (current as Record<string | number, unknown>)[part];
  }
  return current;
}

function locationOf(
  path: readonly PropertyKey[],
  document: Document,
  lineCounter: LineCounter,
  source: string,
): string {
  for (let length = path.length; length >= 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return `${source}:${lineCounter.linePos(node.range[0]).line}`;
    }
  }
  return `${source}:1`;
}
