/** Checks shared by all caller routes. Each failure is a typed error with a remedy. */
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { Route, Workspace } from '@tanagerdyke/configuration';
import type { Context } from 'hono';
import { Result } from 'true-myth';
import type * as z from 'zod';
import type { ServedNode } from './ServedNode.js';

/** Header with the time until the deadline of a request, in milliseconds. */
export const DEADLINE_HEADER = 'tanager-deadline-ms';
const MAX_DEADLINE_MS = 3_600_000;
const RETRY_AFTER_MS = 1_000;

/** Fails when this node accepts no new requests. */
export function checkAcceptsRequests(node: ServedNode): Result<null, ServiceError> {
  if (node.isRefusingRequests) {
    return Result.err(notAcceptingError(ErrorKind.Draining, 'this node is shutting down'));
  }
  if (!node.isReady) {
    return Result.err(
      notAcceptingError(ErrorKind.Isolated, 'this node may not know the configuration in force'),
    );
  }
  return Result.ok(null);
}

/** Reads a JSON body and validates it against a schema. */
export async function readJson<T>(
  context: Context,
  schema: z.ZodType<T>,
): Promise<Result<T, ServiceError>> {
  const text = await readText(context);
  return text.andThen((body) => parseJson(body, schema));
}

/** Reads a body as UTF-8; invalid bytes are an error. */
export async function readText(context: Context): Promise<Result<string, ServiceError>> {
  try {
    const bytes = await context.req.arrayBuffer();
    return Result.ok(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch (error) {
    return Result.err(
      badRequestError(
        'the body is incomplete or not UTF-8',
        'send the complete body as UTF-8',
        error,
      ),
    );
  }
}

/** Finds a route by name among those that the workspace may use. */
export function findRoute(
  node: ServedNode,
  workspace: Workspace,
  name: string,
): Result<Route, ServiceError> {
  const route = node.configuration.set.route(name);
  if (route !== undefined && workspace.routes.includes(name)) {
    return Result.ok(route);
  }
  return Result.err(
    new ServiceError(ErrorKind.NotFound, `workspace '${workspace.name}' has no route '${name}'`, {
      remedy: `use one of: ${workspace.routes.join(', ')}`,
      notRun: NotRun.True,
    }),
  );
}

/** Returns the deadline of a request on the clock of this node. */
export function readDeadline(
  context: Context,
  node: ServedNode,
  route: Route,
): Result<number, ServiceError> {
  const header = context.req.header(DEADLINE_HEADER);
  const timeLeftMs = header === undefined ? route.deadlineMs : Number(header);
  if (!Number.isFinite(timeLeftMs) || timeLeftMs <= 0 || timeLeftMs > MAX_DEADLINE_MS) {
    return Result.err(
      badRequestError(
        `${DEADLINE_HEADER} is '${header ?? ''}'`,
        `give milliseconds between 1 and ${MAX_DEADLINE_MS}`,
      ),
    );
  }
  return Result.ok(node.clock.now() + timeLeftMs);
}

function parseJson<T>(text: string, schema: z.ZodType<T>): Result<T, ServiceError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Result.err(badRequestError('the body is not JSON', 'send one JSON object', error));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const findings = parsed.error.issues.map(
    ({ path, message }) => `${path.join('.') || 'body'}: ${message}`,
  );
  return Result.err(
    new ServiceError(ErrorKind.BadRequest, `the body has ${findings.length} problem(s)`, {
      remedy: 'correct each finding',
      notRun: NotRun.True,
      findings,
    }),
  );
}

function badRequestError(message: string, remedy: string, cause?: unknown): ServiceError {
  return new ServiceError(ErrorKind.BadRequest, message, { remedy, notRun: NotRun.True, cause });
}

function notAcceptingError(kind: ErrorKind, message: string): ServiceError {
  return new ServiceError(kind, message, {
    remedy: 'ask for addresses again and use another',
    notRun: NotRun.True,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
