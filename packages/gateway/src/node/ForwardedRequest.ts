/** A caller's request on its way through this node, and what the forwarders share. */
import type { Clock, Metrics, RandomSource } from '@tanagerdyke/kernel';
import type { ConfigurationState } from '../common/state/ConfigurationState.js';
import type { TargetTable } from '../common/state/TargetTable.js';
import type { DecisionLog } from '../common/DecisionLog.js';
import type { Execution } from '../common/Execution.js';
import type {
  CallerRequest,
  CallerWorkspace,
  ForwardingMarks,
  ForwardRoute,
  RawHeaders,
  TargetEntry,
  TargetService,
} from '../common/Messages.js';
import type { EngineScheduler } from '../common/placement/EngineScheduler.js';
import type { TargetHealth } from '../common/placement/TargetHealth.js';
import type { Dialect, EngineReservations } from '../common/services/Services.js';
import type { SharedRetryBudget } from '../common/SharedRetryBudget.js';
import type { CallerResponse } from './CallerResponse.js';
import type { TargetExchange } from './TargetExchange.js';
import type { RequestSender } from './Upstream.js';

/** What forwarders use. */
export interface ForwardingParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly dialect: Dialect;
  readonly configuration: ConfigurationState;
  readonly targets: TargetTable;
  readonly health: TargetHealth;
  readonly scheduler: EngineScheduler;
  readonly engines: EngineReservations;
  readonly budget: SharedRetryBudget;
  readonly upstream: RequestSender;
  readonly availabilityZone: string;
  /** Nodes that share the connections of a target. */
  readonly liveNodes: () => number;
}

/** A request with all that was decided before it is placed. */
export interface ForwardedRequest {
  /** Names the request in logs; the caller's own id where it gave one. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly caller: CallerRequest;
  readonly route: ForwardRoute;
  readonly service: TargetService;
  readonly workspace: CallerWorkspace | undefined;
  readonly receivedAt: number;
  readonly deadlineAt: number;
  readonly response: CallerResponse;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

/** How a request ended. */
export enum Ending {
  Answered = 'answered',
  /** Answered by the target with a failure. */
  TargetFailure = 'target-failure',
  Refused = 'refused',
  Failed = 'failed',
  TimedOut = 'timed-out',
  BrokenOff = 'broken-off',
  CallerLeft = 'caller-left',
}

/** What the log tells of a finished request. */
export interface RequestReport {
  readonly ending: Ending;
  readonly execution: Execution;
  readonly attempts: number;
  readonly targets: string;
  readonly cause: string | undefined;
  readonly firstEventMs?: number | undefined;
  readonly longestPauseMs?: number;
  /** What the placement expected, and the prefill of each of its engines. */
  readonly expectedMs?: number;
  readonly partMs?: number;
  readonly placementCost?: number;
}

/** Timers of Node.js may fire this much early. */
const TIMER_SLACK_MS = 2;

/** Whether the time of a request has run out. */
export function isOverdue(parts: ForwardingParts, request: ForwardedRequest): boolean {
  return parts.clock.now() + TIMER_SLACK_MS >= request.deadlineAt;
}

/** A node that doesn't reach three targets is probably cut off; its caller does better elsewhere. */
const MAX_UNREACHED_TARGETS = 3;

/**
 * Whether a request may be sent: the first time is free, others draw on the budget.
 *
 * @param tried targets that were chosen so far
 * @param arrivals targets that it reached; one that wasn't reached has borne nothing
 */
export function mayTry(
  parts: ForwardingParts,
  request: ForwardedRequest,
  tried: number,
  arrivals: number,
): boolean {
  const { budget, log, metrics } = parts;
  const { id, service } = request;
  if (tried - arrivals >= MAX_UNREACHED_TARGETS) {
    log.note('request.unreached', { request: id, service: service.name, targets: tried });
    return false;
  }
  if (arrivals === 0) {
    return true;
  }
  const isGranted = budget.trySpend(service.name);
  const outcome = isGranted ? 'granted' : 'refused';
  metrics.increment('tanager_retries_total', { outcome, service: service.name });
  if (isGranted) {
    return true;
  }
  log.note('request.no-budget', { request: id, service: service.name });
  return false;
}

/** Share of a target's connections that all nodes together use. */
const CONNECTION_SHARE = 0.85;

/** What a target is told beside what the request itself says. */
type TargetMarks = Partial<Pick<ForwardingMarks, 'lastEventId' | 'enginePriority' | 'readers'>>;

/** The exchange of a request with a target, ready to run. */
export function exchangeWith(
  parts: ForwardingParts,
  { body, caller, deadlineAt, headers, method, path, service, signal, workspace }: ForwardedRequest,
  target: TargetEntry,
  { enginePriority, lastEventId, readers = [] }: TargetMarks,
): TargetExchange {
  const { clock, dialect, upstream } = parts;
  const marked = dialect.markForwarded(headers, {
    targetId: target.id,
    waitsMs: deadlineAt - clock.now(),
    workspace: workspace?.name,
    lastEventId,
    enginePriority,
    readers,
  });
  return {
    clock,
    dialect,
    upstream,
    target,
    connections: connectionsFor(parts, service),
    request: { method, path, headers: marked, body },
    attemptId: caller.attemptId,
    signal,
  };
}

/** Connections that this node may open to one target of a service. */
function connectionsFor(parts: ForwardingParts, service: TargetService): number {
  return Math.floor((service.maxConnections * CONNECTION_SHARE) / Math.max(1, parts.liveNodes()));
}
