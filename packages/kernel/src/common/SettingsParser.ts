/**
 * Settings in YAML, checked whole against a zod schema. Every problem is reported at once, each with
 * its path, line, what was found and the remedy.
 */
import { Result } from 'true-myth';
import { type Document, isNode, LineCounter, parseDocument } from 'yaml';
import type * as z from 'zod';
import { describeCause, ErrorKind, ServiceError } from './ServiceError.js';

/**
 * Parses `text` and checks it against `schema`; `source` names it in messages. Values under the keys
 * of `secrets` are never part of a message.
 */
export function parseSettings<T>(
  text: string,
  schema: z.ZodType<T>,
  source: string,
  secrets: readonly string[] = [],
): Result<T, ServiceError> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  if (document.errors.length > 0) {
    const findings = document.errors.map((error) => {
      const { line, col } = lines.linePos(error.pos[0]);
      return `${source}:${line}:${col}: ${error.message}; correct the YAML at this place`;
    });
    return Result.err(invalid(source, findings));
  }
  const converted = convert(document, source);
  if (converted.isErr) {
    return Result.err(converted.error);
  }
  const { value } = converted;
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const findings = parsed.error.issues.flatMap((issue) =>
    describeIssue(issue, { document, lines, value, source, secrets }),
  );
  return Result.err(invalid(source, findings));
}

function invalid(source: string, findings: readonly string[]): ServiceError {
  return new ServiceError(
    ErrorKind.BadRequest,
    `${source} has ${findings.length} problem(s):\n${findings.join('\n')}`,
    { remedy: 'correct each place named and start again', findings },
  );
}

/** The plain value of a document. Aliases are refused, as they can blow a small file up. */
function convert(document: Document, source: string): Result<unknown, ServiceError> {
  try {
    return Result.ok(document.toJS({ maxAliasCount: 0 }) as unknown);
  } catch (error) {
    const place = `${source}:1`;
    const problem = `${place}: document: ${describeCause(error)}; write values out, without aliases`;
    return Result.err(invalid(source, [problem]));
  }
}

/** The document that issues were found in. */
interface CheckedDocument {
  readonly document: Document;
  readonly lines: LineCounter;
  readonly value: unknown;
  readonly source: string;
  readonly secrets: readonly string[];
}

function describeIssue(issue: z.core.$ZodIssue, checked: CheckedDocument): string[] {
  const { document, lines, source } = checked;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      const place = placeOf(path, document, lines, source);
      return `${place}: ${path.join('.')}: unknown key; remove it or correct its spelling`;
    });
  }
  const path = issue.path.map((part) => (typeof part === 'symbol' ? part.toString() : part));
  const shown = path.join('.') || 'document';
  const place = placeOf(path, document, lines, source);
  return [`${place}: ${shown}: found ${describeFound(path, checked)}; ${remedyOf(issue)}`];
}

/** What stands at a path; a mapping or a list might hold a secret, so only its kind is told. */
function describeFound(
  path: readonly (string | number)[],
  { secrets, value }: CheckedDocument,
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
  return isSecret ? 'a value that is not shown' : shorten(JSON.stringify(found));
}

function remedyOf(issue: z.core.$ZodIssue): string {
  return issue.message.charAt(0).toLowerCase() + issue.message.slice(1);
}

const SHOWN_VALUE_CHARACTERS = 80;

function shorten(text: string): string {
  return text.length > SHOWN_VALUE_CHARACTERS ? `${text.slice(0, SHOWN_VALUE_CHARACTERS)}…` : text;
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

function placeOf(
  path: readonly PropertyKey[],
  document: Document,
  lines: LineCounter,
  source: string,
): string {
  for (let length = path.length; length >= 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return `${source}:${lines.linePos(node.range[0]).line}`;
    }
  }
  return `${source}:1`;
}
