/** `POST /v1/routes/{route}/calls`: calls of plain services, either repeatable or at most once. */
import { createHash } from 'node:crypto';
import { checkIdempotencyKey, scopedKey } from '@tanagerdyke/claims';
import type { Route, Workspace } from '@tanagerdyke/configuration';
import type { Service, ServiceAnswer } from '@tanagerdyke/contracts';
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { Context } from 'hono';
import type { HttpApp } from './HttpApp.js';
import { Result } from 'true-myth';
import type { ServedNode } from './ServedNode.js';
import { authenticateCaller } from './Authentication.js';
import { problemResponse } from './Problem.js';
import { checkAcceptsRequests, findRoute, readDeadline, readText } from './RequestChecks.js';

/** Registers the route. */
export function registerCallRoutes(app: HttpApp, node: ServedNode): void {
  app.post('/v1/routes/:route/calls', async (context) => {
    const running = node.requests.begin();
    const answer = await Promise.race([
      handleCall(context, node),
      waitForShutdown(running.shutdownSignal),
    ]).finally(() => {
      running.end();
    });
    if (answer.isOk) {
      const { status, body } = answer.value;
      node.metrics.increment('tanager_calls_answered_total', { status: String(status) });
      return new Response(body, { status, headers: { 'content-type': 'application/json' } });
    }
    node.metrics.increment('tanager_refusals_total', { kind: answer.error.kind });
    return problemResponse(answer.error);
  });
}

/**
 * Resolves at shutdown, with the error for a call that has no answer yet. As the call may have been
 * dispatched, the error doesn't say whether it ran.
 */
function waitForShutdown(
  shutdownSignal: AbortSignal,
): Promise<Result<ServiceAnswer, ServiceError>> {
  return new Promise((resolve) => {
    const onShutdown = (): void => {
      resolve(
        Result.err(
          new ServiceError(ErrorKind.Draining, 'this node shut down before the call was answered', {
            remedy: 'send it again to another address, with the same Idempotency-Key if it has one',
            notRun: NotRun.Unknown,
            retryAfterMs: RETRY_AFTER_MS,
          }),
        ),
      );
    };
    shutdownSignal.addEventListener('abort', onShutdown, { once: true });
  });
}

async function handleCall(
  context: Context,
  node: ServedNode,
): Promise<Result<ServiceAnswer, ServiceError>> {
  const accepting = checkAcceptsRequests(node);
  if (accepting.isErr) {
    return Result.err(accepting.error);
  }
  const workspace = authenticateCaller(context.req.header('authorization'), node.configuration);
  if (workspace.isErr) {
    return Result.err(workspace.error);
  }
  const route = findRoute(node, workspace.value, context.req.param('route') ?? '');
  if (route.isErr) {
    return Result.err(route.error);
  }
  const body = await readText(context);
  if (body.isErr) {
    return Result.err(body.error);
  }
  const deadline = readDeadline(context, node, route.value);
  if (deadline.isErr) {
    return Result.err(deadline.error);
  }
  const call = { path: route.value.path, body: body.value, deadline: deadline.value };
  const key = context.req.header('idempotency-key');
  return route.value.isRepeatable
    ? callRepeatable(node, route.value, call, key)
    : callAtMostOnce(node, workspace.value, route.value, call, key);
}

interface PlainCall {
  readonly path: string;
  readonly body: string;
  /** On the clock of this node, in milliseconds. */
  readonly deadline: number;
}

async function callAtMostOnce(
  node: ServedNode,
  workspace: Workspace,
  route: Route,
  call: PlainCall,
  keyHeader: string | undefined,
): Promise<Result<ServiceAnswer, ServiceError>> {
  const { claimWindowMs } = node.configuration.set.system;
  const key = checkIdempotencyKey(keyHeader ?? '', node.clock.wallTime(), claimWindowMs);
  if (key.isErr) {
    return Result.err(key.error);
  }
  const candidate = shuffleServices(node, route)[0];
  if (candidate === undefined) {
    return Result.err(noServiceError(route));
  }
  const bodyDigest = createHash('sha256')
    .update(JSON.stringify([workspace.name, route.name, call.body]))
    .digest('hex');
  const keyWithWorkspace = scopedKey(workspace.name, key.value);
  node.timeLine.record('call.admitted', {
    key: keyWithWorkspace,
    workspace: workspace.name,
    route: route.name,
  });
  return node.atMostOnceClient.call({
    ...call,
    key: keyWithWorkspace,
    bodyDigest,
    service: candidate.service,
    offersLookUp: candidate.offersLookUp,
  });
}

async function callRepeatable(
  node: ServedNode,
  route: Route,
  call: PlainCall,
  key: string | undefined,
): Promise<Result<ServiceAnswer, ServiceError>> {
  let failure = noServiceError(route);
  for (const { service } of shuffleServices(node, route)) {
    const remainingMs = call.deadline - node.clock.now();
    if (remainingMs <= 0) {
      break;
    }
    const id = node.random.identifier();
    const answer = await service.call(
      { ...call, id, key },
      AbortSignal.timeout(Math.ceil(remainingMs)),
    );
    if (answer.isOk) {
      return answer;
    }
    failure = answer.error;
    node.metrics.increment('tanager_retries_total', { kind: failure.kind });
  }
  return Result.err(failure);
}

interface CandidateService {
  readonly service: Service;
  readonly offersLookUp: boolean;
}

/** The services of a route that accept calls, in random order. */
function shuffleServices(node: ServedNode, route: Route): readonly CandidateService[] {
  return node.directory
    .servicesOf(route)
    .map(({ target }) => ({ target, key: node.random.next() }))
    .sort((a, b) => a.key - b.key)
    .flatMap(({ target }) => {
      const service = node.directory.service(target);
      const { offersLookUp } = target;
      return service.isOk ? [{ service: service.value, offersLookUp }] : [];
    });
}

function noServiceError(route: Route): ServiceError {
  return new ServiceError(ErrorKind.NoTarget, `no service of route '${route.name}' accepts calls`, {
    remedy: 'try again later',
    notRun: NotRun.True,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

const RETRY_AFTER_MS = 1_000;
