/**
 * Explains where a request would go now and why, for `tanagerctl explain`. It uses the modules that
 * decide on real requests, by their functions without side effects: nothing is sent, reserved,
 * counted or queued.
 */
import type { Clock } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import type {
  CallerWorkspace,
  ForwardRoute,
  RouteShare,
  TargetEntry,
  TargetService,
} from '../common/Messages.js';
import type { CostEstimate, CostEstimates } from '../common/placement/CostEstimates.js';
import type { PromptExplanation, PromptScheduler } from '../common/placement/PromptScheduler.js';
import type { RateLimits } from '../common/placement/RateLimits.js';
import type { TargetHealth } from '../common/placement/TargetHealth.js';
import type { TargetPauses } from '../common/placement/TargetPauses.js';
import type { ConfigurationState } from '../common/state/ConfigurationState.js';
import type { TargetTable } from '../common/state/TargetTable.js';
import { costRequestOf, type DescribedRequest, promptOf, waitsUntil } from './PromptOfRequest.js';

const MAX_QUERY_CHARACTERS = 2_048;
const MAX_NAME_CHARACTERS = 255;
const MAX_TOKENS = 10_000_000;
const NUMBER = /^\d{1,8}$/;
const PARAMETERS: ReadonlySet<string> = new Set([
  'route',
  'host',
  'path',
  'workspace',
  'prompt',
  'output',
  'hint',
]);

/** A target that gets no new requests, or none of this node. */
export interface ObstructedTarget {
  readonly target: string;
  readonly availabilityZone: string;
  readonly obstacle: string;
}

/** Where the part of a route's traffic for one service would go. */
export interface ServiceExplanation {
  readonly service: string;
  /** Part of the route's traffic that the service gets. */
  readonly share: number;
  readonly estimate: CostEstimate;
  /** Targets that accept new requests, and those that have an obstacle whatever the request is. */
  readonly accepting: number;
  readonly obstructed: readonly ObstructedTarget[];
  /** Undefined for a plain service. */
  readonly prompt: PromptExplanation | undefined;
}

/** Where a request would go. */
export interface RequestExplanation {
  readonly node: string;
  readonly version: number;
  readonly route: string;
  readonly kind: string;
  readonly workspace: string;
  readonly services: readonly ServiceExplanation[];
}

/** State that decisions are made on. */
export interface ExplainerDependencies {
  readonly clock: Clock;
  readonly node: string;
  readonly configuration: ConfigurationState;
  readonly targets: TargetTable;
  readonly health: TargetHealth;
  readonly pauses: TargetPauses;
  readonly rateLimits: RateLimits;
  readonly costs: CostEstimates;
  readonly scheduler: PromptScheduler;
}

/** Why a query can't be explained. */
export interface ExplanationError {
  readonly detail: string;
  readonly remedy: string;
}

type Query = ReadonlyMap<string, string>;

/** Explains the request that a query describes. */
export function explainRequest(
  dependencies: ExplainerDependencies,
  search: string,
): Result<RequestExplanation, ExplanationError> {
  const { configuration, node } = dependencies;
  const { current } = configuration;
  if (current === undefined) {
    return invalid('this node has no configuration yet', 'ask again, or ask another node');
  }
  return parseQuery(search).andThen((query) => {
    const route = findRoute(configuration, query);
    if (route === undefined) {
      const remedy = 'give the name of a route, or a host and path that a route has';
      return invalid('no route of the configuration in force matches', remedy);
    }
    const name = query.get('workspace') ?? '';
    const workspace = current.workspaces.find((each) => each.name === name);
    if (name !== '' && workspace === undefined) {
      return invalid(
        `no workspace is named '${name}'`,
        'give a name of the configuration in force',
      );
    }
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    const services = route.shares.flatMap((share) => {
      const service = configuration.service(share.service);
      return service === undefined
        ? []
        : [explainService(dependencies, query, { route, service, share, total, workspace })];
    });
    return Result.ok({
      node,
      version: current.version,
      route: route.name,
      kind: route.kind,
      workspace: name,
      services,
    });
  });
}

interface ExplainedShare {
  readonly route: ForwardRoute;
  readonly service: TargetService;
  readonly share: RouteShare;
  readonly total: number;
  readonly workspace: CallerWorkspace | undefined;
}

function explainService(
  dependencies: ExplainerDependencies,
  query: Query,
  { route, service, share, total, workspace }: ExplainedShare,
): ServiceExplanation {
  const { clock, costs, scheduler, targets } = dependencies;
  const now = clock.now();
  const hint = query.get('hint');
  const request: DescribedRequest = {
    caller: {
      promptTokens: Number(query.get('prompt') ?? 0),
      outputTokens: Number(query.get('output') ?? 0),
      expectedOutputTokens: hint === undefined ? undefined : Number(hint),
      remainingMs: undefined,
    },
    route,
    service,
    workspace,
    receivedAt: now,
    deadlineAt: now + route.timeoutMs,
  };
  const estimate = costs.estimate(costRequestOf(request));
  const { engine } = service;
  return {
    service: service.name,
    share: total === 0 ? 0 : share.weight / total,
    estimate,
    accepting: targets.acceptingTargets(service.name).length,
    obstructed: targets
      .targetsOf(service.name)
      .flatMap((entry) => describeObstacle(dependencies, entry)),
    prompt:
      engine === undefined
        ? undefined
        : scheduler.explain(
            promptOf(request, engine, estimate, new Set()),
            waitsUntil(request, now),
          ),
  };
}

/** The obstacle that a target has for any request of this node, if it has one. */
function describeObstacle(
  { health, pauses, rateLimits, targets }: ExplainerDependencies,
  { availabilityZone, id, isDraining }: TargetEntry,
): readonly ObstructedTarget[] {
  const obstacles: readonly (readonly [boolean, string])[] = [
    [isDraining, 'draining'],
    [!targets.acceptsRequests(id), 'accepts no new requests'],
    [pauses.isPaused(id), `paused for ${Math.round(pauses.remainingMs([id]))} ms`],
    [!rateLimits.permits(id), `rate-limited for ${Math.round(rateLimits.waitMs([id]))} ms`],
    [health.isSuspect(id), 'recently failed this node'],
  ];
  const found = obstacles.find(([isPresent]) => isPresent);
  return found === undefined ? [] : [{ target: id, availabilityZone, obstacle: found[1] }];
}

function findRoute(configuration: ConfigurationState, query: Query): ForwardRoute | undefined {
  const name = query.get('route');
  return name === undefined
    ? configuration.findRoute(query.get('host') ?? '', query.get('path') ?? '/')
    : configuration.current?.routes.find((route) => route.name === name);
}

function parseQuery(search: string): Result<Query, ExplanationError> {
  if (search.length > MAX_QUERY_CHARACTERS) {
    const detail = `the query has ${search.length} characters`;
    return invalid(detail, `give at most ${MAX_QUERY_CHARACTERS}`);
  }
  const query = new Map<string, string>();
  for (const [name, value] of new URLSearchParams(search)) {
    const error = query.has(name) ? `'${name}' is given twice` : findFault(name, value);
    if (error !== undefined) {
      return invalid(error, 'see tanagerctl explain --help');
    }
    query.set(name, value);
  }
  if (query.has('route') === query.has('host')) {
    return invalid('the query needs either a route or a host', 'give one of them');
  }
  return Result.ok(query);
}

/** What is wrong with a parameter. */
function findFault(name: string, value: string): string | undefined {
  if (!PARAMETERS.has(name)) {
    return `the query has an unknown parameter '${name.slice(0, MAX_NAME_CHARACTERS)}'`;
  }
  const isCount = name === 'prompt' || name === 'output' || name === 'hint';
  if (isCount && (!NUMBER.test(value) || Number(value) > MAX_TOKENS)) {
    return `'${name}' is no whole number up to ${MAX_TOKENS}`;
  }
  return value.length > MAX_NAME_CHARACTERS
    ? `'${name}' has over ${MAX_NAME_CHARACTERS} characters`
    : undefined;
}

function invalid(detail: string, remedy: string): Result<never, ExplanationError> {
  return Result.err({ detail, remedy });
}
