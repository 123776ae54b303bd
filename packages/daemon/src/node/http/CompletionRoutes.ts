/** `POST /v1/completions`: completions as server-sent events or as one JSON response. */
import { createHash } from 'node:crypto';
import {
  type CompletionBody,
  completionSchema,
  type EngineFrame,
  estimateTokens,
  MAX_PROMPT_TOKENS,
  type PromptSegment,
} from '@tanagerdyke/contracts';
import type { Route, Workspace } from '@tanagerdyke/configuration';
import { ErrorKind, NotRun, ServiceError } from '@tanagerdyke/kernel';
import type { CompletionRequest } from '@tanagerdyke/serving';
import type { Context } from 'hono';
import { AnswerStream, toCompletionEnd } from './AnswerStream.js';
import type { HttpApp, HttpContext } from './HttpApp.js';
import { streamSSE } from 'hono/streaming';
import { Result } from 'true-myth';
import type { ServedNode } from './ServedNode.js';
import type { RunningRequest } from '../RequestTracker.js';
import { authenticateCaller } from './Authentication.js';
import { FrameSource } from './FrameSource.js';
import { lengthClassOf } from './PromptLength.js';
import { problemResponse } from './Problem.js';
import { checkAcceptsRequests, findRoute, readDeadline, readJson } from './RequestChecks.js';

/** Registers the route. */
export function registerCompletionRoutes(app: HttpApp, node: ServedNode): void {
  app.post('/v1/completions', async (context) => {
    const running = node.requests.begin();
    return handleCompletion(context, node, running).catch((error: unknown) => {
      running.end();
      throw error;
    });
  });
}

async function handleCompletion(
  context: HttpContext,
  node: ServedNode,
  running: RunningRequest,
): Promise<Response> {
  const admitted = await admitCompletion(context, node);
  if (admitted.isErr) {
    running.end();
    return refusalResponse(node, admitted.error);
  }
  const { request, isStreamed } = admitted.value;
  const lengthClass = lengthClassOf(node.configuration.set, request);
  const { signal } = context.req.raw;
  const frames = new FrameSource(node, request, lengthClass, signal, running.shutdownSignal);
  const first = await frames.next();
  if (first.isErr) {
    await frames.close();
    running.end();
    return refusalResponse(node, first.error);
  }
  const answer = isStreamed
    ? streamedResponse(node, context, frames, first.value, running)
    : await bufferedResponse(context, frames, first.value, running);
  return answer;
}

interface AdmittedCompletion {
  readonly request: CompletionRequest;
  readonly isStreamed: boolean;
}

async function admitCompletion(
  context: Context,
  node: ServedNode,
): Promise<Result<AdmittedCompletion, ServiceError>> {
  const accepting = checkAcceptsRequests(node);
  if (accepting.isErr) {
    return Result.err(accepting.error);
  }
  const workspace = authenticateCaller(context.req.header('authorization'), node.configuration);
  if (workspace.isErr) {
    return Result.err(workspace.error);
  }
  const body = await readJson(context, completionSchema);
  if (body.isErr) {
    return Result.err(body.error);
  }
  return findRoute(node, workspace.value, body.value.model).andThen((route) =>
    toAdmittedCompletion(context, node, workspace.value, route, body.value),
  );
}

function toAdmittedCompletion(
  context: Context,
  node: ServedNode,
  workspace: Workspace,
  route: Route,
  completion: CompletionBody,
): Result<AdmittedCompletion, ServiceError> {
  if (route.versions.length === 0) {
    return Result.err(
      new ServiceError(ErrorKind.BadRequest, `route '${route.name}' is served by plain services`, {
        remedy: `use POST /v1/routes/${route.name}/calls`,
        notRun: NotRun.True,
      }),
    );
  }
  const prompt = toSegments(completion.prompt);
  const promptTokens = prompt.reduce((total, { tokens }) => total + tokens, 0);
  const limit = maxPromptTokens(node, route);
  if (promptTokens > limit) {
    return Result.err(
      new ServiceError(
        ErrorKind.TooLarge,
        `the prompt has ${promptTokens} tokens, route '${route.name}' allows ${limit}`,
        { remedy: 'shorten the prompt or use a route with a higher limit', notRun: NotRun.True },
      ),
    );
  }
  return readDeadline(context, node, route).map((deadline) => ({
    isStreamed: completion.stream,
    request: {
      id: node.random.identifier(),
      workspace,
      route,
      prompt,
      promptTokens,
      maxTokens: completion.maxTokens,
      deadline,
    },
  }));
}

function maxPromptTokens(node: ServedNode, route: Route): number {
  const { set } = node.configuration;
  const limits = route.versions.map(({ version }) => {
    const model = set.version(version)?.model ?? '';
    return set.model(model)?.maxPromptTokens ?? MAX_PROMPT_TOKENS;
  });
  return Math.min(route.maxPromptTokens ?? MAX_PROMPT_TOKENS, ...limits);
}

function toSegments(prompt: CompletionBody['prompt']): readonly PromptSegment[] {
  if (typeof prompt !== 'string') {
    return prompt;
  }
  const digest = createHash('sha256').update(prompt).digest('hex');
  return [{ digest, tokens: estimateTokens(prompt), text: prompt }];
}

function streamedResponse(
  node: ServedNode,
  context: HttpContext,
  frames: FrameSource,
  first: EngineFrame,
  running: RunningRequest,
): Response {
  const response = streamSSE(context, async (stream) => {
    try {
      await new AnswerStream(node, context, stream, frames).write(first);
      await frames.close();
    } finally {
      running.end();
    }
  });
  // `streamSSE` always sets `Connection: keep-alive`, even when the client asked to close.
  response.headers.delete('connection');
  return response;
}

async function bufferedResponse(
  context: Context,
  frames: FrameSource,
  first: EngineFrame,
  running: RunningRequest,
): Promise<Response> {
  const tokens: string[] = [];
  let frame: Result<EngineFrame, ServiceError> = Result.ok(first);
  while (frame.isOk) {
    tokens.push(...frame.value.tokens);
    if (frame.value.isLast) {
      break;
    }
    frame = await frames.next();
  }
  await frames.close();
  running.end();
  if (frame.isErr) {
    return problemResponse(frame.error.withNotRun(NotRun.False));
  }
  return context.json({ ...toCompletionEnd(frames.request.id, 0, frame.value), tokens });
}

function refusalResponse(node: ServedNode, error: ServiceError): Response {
  node.metrics.increment('tanager_refusals_total', { kind: error.kind });
  return problemResponse(error);
}
