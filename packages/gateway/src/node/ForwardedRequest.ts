/** A caller's request while it is forwarded, and the logic that all kinds of requests share. */
import type { Clock, Metrics, RandomSource } from '@tanagerdyke/kernel';
import type { ConfigurationState } from '../common/state/ConfigurationState.js';
import type { TargetTable } from '../common/state/TargetTable.js';
import type { DecisionLog } from '../common/DecisionLog.js';
import type { Execution } from '../common/Execution.js';
import type {
  CallerRequest,
  CallerWorkspace,
  ForwardRoute,
  GatewayHeaders,
  RawHeaders,
  TargetEntry,
  TargetService,
} from '../common/Messages.js';
import { allowedRegionsOf, filterCandidates } from '../common/placement/AllowedRegions.js';
import type { CostEstimates } from '../common/placement/CostEstimates.js';
import type { ColdTargets } from '../common/placement/ColdTargets.js';
import type { ServiceLoad } from '../common/placement/ServiceLoad.js';
import type { ServiceQueue } from '../common/placement/ServiceQueue.js';
import type { RateLimits } from '../common/placement/RateLimits.js';
import type { ReservationFailures } from '../common/placement/ReservationFailures.js';
import { type ChosenTarget, SendCheck } from '../common/placement/SendCheck.js';
import type { PromptScheduler } from '../common/placement/PromptScheduler.js';
import { recordStatements } from '../common/placement/TargetStatements.js';
import type { TargetPauses } from '../common/placement/TargetPauses.js';
import type { TargetHealth } from '../common/placement/TargetHealth.js';
import type { CrashQuarantine } from '../common/quarantine/CrashQuarantine.js';
import { causeOfPart } from '../common/quarantine/PartCause.js';
import type { Dialect, EngineReservations } from '../common/services/Services.js';
import type { SharedRetryBudget } from '../common/SharedRetryBudget.js';
import type { AnswerBuffers } from './AnswerBuffers.js';
import type { CallerResponse } from './CallerResponse.js';
import type { ExchangeOptions } from './ExchangeOptions.js';
import type { RequestSender } from './Upstream.js';

/** Services and state that the forwarders use; one instance serves all requests of a node. */
export interface ForwardingDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
  readonly dialect: Dialect;
  readonly configuration: ConfigurationState;
  /** Whether a newer configuration may be in force than this node has. */
  readonly mayBeOutdated: () => boolean;
  readonly targets: TargetTable;
  readonly health: TargetHealth;
  readonly rateLimits: RateLimits;
  readonly costs: CostEstimates;
  readonly coldTargets: ColdTargets;
  readonly serviceLoad: ServiceLoad;
  readonly serviceQueue: ServiceQueue;
  readonly quarantine: CrashQuarantine;
  readonly pauses: TargetPauses;
  readonly scheduler: PromptScheduler;
  readonly engineReservations: EngineReservations;
  readonly reservationFailures: ReservationFailures;
  readonly budget: SharedRetryBudget;
  readonly upstream: RequestSender;
  readonly answerBuffers: AnswerBuffers;
  readonly availabilityZone: string;
  /** Region of each availability zone. */
  readonly regionByZone: ReadonlyMap<string, string>;
  /** Number of gateway nodes that divide the connections of a target among them. */
  readonly liveNodes: () => number;
}

/** A request with what is determined before a target is selected. Times are on the clock, in ms. */
export interface ForwardedRequest {
  /** Identifies the request in logs; the caller's attempt id if it sent one. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly caller: CallerRequest;
  /** Identify the content of the request, whatever its id. */
  readonly fingerprints: readonly string[];
  readonly route: ForwardRoute;
  readonly service: TargetService;
  /** Undefined if the caller sent no valid key and needed none. */
  readonly workspace: CallerWorkspace | undefined;
  readonly receivedAt: number;
  readonly deadlineAt: number;
  readonly response: CallerResponse;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** The outcome of a request. */
export enum RequestOutcome {
  Answered = 'answered',
  /** A target answered with a failure, which was forwarded. */
  TargetFailure = 'target-failure',
  /** This node answered that the request did not run. */
  Refused = 'refused',
  /** No target gave a usable answer, and the request may have run. */
  Failed = 'failed',
  /** The deadline passed, and the request may have run. */
  TimedOut = 'timed-out',
  /** The answer had begun and was cut, so that it doesn't look complete. */
  Aborted = 'broken-off',
  CallerDisconnected = 'caller-left',
  /** This node ended before the request did, and said so. */
  Ended = 'node-ended',
}

/** Fields of the log record of a finished request. */
export interface RequestReport {
  readonly ending: RequestOutcome;
  readonly execution: Execution;
  readonly attempts: number;
  /** Ids of the targets in the order of the attempts; `+` joins engines that share a prompt. */
  readonly targets: string;
  /** Why the last failed attempt or placement failed; undefined if none did. */
  readonly cause: string | undefined;
  readonly firstEventMs?: number | undefined;
  /** Longest time between two events of an attempt. */
  readonly longestPauseMs?: number;
  /** Time to the first event that the placement predicted, and the prefill time of each engine. */
  readonly expectedMs?: number;
  readonly partMs?: number;
  /** Output tokens that were expected when the prompt was placed. */
  readonly expectedTokens?: number | undefined;
  readonly placementCost?: number;
  /** Name of the node that decided the last placement. */
  readonly placedBy?: string | undefined;
}

/** Node.js timers may fire up to this much early. */
const TIMER_TOLERANCE_MS = 2;

/** Which targets of the service of a request it may reach, of those that accept requests. */
export function candidatesOf(
  { regionByZone, targets }: ForwardingDependencies,
  { route, service, workspace }: ForwardedRequest,
): readonly TargetEntry[] {
  const allowed = allowedRegionsOf(route, workspace);
  return filterCandidates(targets.acceptingTargets(service.name), allowed, regionByZone);
}

/** Those of its targets that only an evacuation keeps from it. */
export function evacuatedCandidatesOf(
  { regionByZone, targets }: ForwardingDependencies,
  { route, service, workspace }: ForwardedRequest,
): readonly TargetEntry[] {
  const allowed = allowedRegionsOf(route, workspace);
  return filterCandidates(targets.evacuatedTargets(service.name), allowed, regionByZone);
}

/** Whether the deadline of a request has passed. */
export function isOverdue(
  dependencies: ForwardingDependencies,
  request: ForwardedRequest,
): boolean {
  return dependencies.clock.now() + TIMER_TOLERANCE_MS >= request.deadlineAt;
}

/** Records that a target ended the connection under a request, as a crash that it may have caused. */
export function recordCrash(
  { quarantine }: ForwardingDependencies,
  request: ForwardedRequest,
  target: TargetEntry,
): void {
  const causes = possibleCausesOf(request);
  quarantine.recordCrash({ target: instanceOf(target), request: request.id, causes });
}

/** What crashes under a request may be attributed to, the most specific at the end. */
export function possibleCausesOf({ caller, fingerprints }: ForwardedRequest): readonly string[] {
  return [...caller.sharedParts.map(causeOfPart), ...fingerprints];
}

/** Identifies one instance of a target; a restart under the same id is another one. */
function instanceOf({ id, startedAt }: TargetEntry): string {
  return `${id} ${startedAt ?? ''}`;
}

/** Times that a request may be withheld from its target before it is refused. */
export const MAX_WITHHELD = 5;

/** Records that a request was not sent to the target that was chosen for it. */
export function recordWithheld(
  { log, metrics }: ForwardingDependencies,
  { id }: ForwardedRequest,
  target: string,
  obstacle: string,
): void {
  metrics.increment('tanager_requests_withheld_total', { obstacle });
  log.write('request.withheld', { request: id, target, obstacle });
}

/** A node that can't reach three targets is probably isolated; its caller should use another. */
const MAX_UNREACHED_TARGETS = 3;

/**
 * Decides whether the next attempt of a request may be sent. None may if the request is
 * quarantined. Attempts after the first one that reached a target are retries and spend the retry
 * budget.
 *
 * @param selected number of targets selected so far
 * @param delivered number of targets that received the request; the others carried no load
 */
export function admitAttempt(
  dependencies: ForwardingDependencies,
  request: ForwardedRequest,
  selected: number,
  delivered: number,
): boolean {
  const { budget, log, metrics, quarantine } = dependencies;
  const { id, service } = request;
  if (isQuarantined(dependencies, request)) {
    return false;
  }
  if (selected - delivered >= MAX_UNREACHED_TARGETS) {
    log.write('request.unreached', { request: id, service: service.name, targets: selected });
    return false;
  }
  if (delivered === 0) {
    quarantine.takeTrials(possibleCausesOf(request));
    return true;
  }
  const isGranted = budget.trySpend(service.name);
  const outcome = isGranted ? 'granted' : 'refused';
  metrics.increment('tanager_retries_total', { outcome, service: service.name });
  if (isGranted) {
    quarantine.takeTrials(possibleCausesOf(request));
    return true;
  }
  log.write('request.no-budget', { request: id, service: service.name });
  return false;
}

/** Whether a part of the prompt or the request is quarantined, so that no target may get it. */
export function isQuarantined(
  { log, quarantine }: ForwardingDependencies,
  request: ForwardedRequest,
): boolean {
  const blocked = quarantine.findBlocked(possibleCausesOf(request));
  if (blocked !== undefined) {
    log.write('request.quarantined', { request: request.id, cause: blocked.cause });
  }
  return blocked !== undefined;
}

/** Fraction of a target's connection limit that all gateway nodes use together. */
const CONNECTION_SHARE = 0.85;

/** Values that differ between the attempts of a request and are sent to the target as headers. */
type AttemptOptions = Partial<Pick<GatewayHeaders, 'lastEventId' | 'enginePriority' | 'readers'>>;

/** Builds the options of an exchange: the request with headers for this target, and its limits. */
export function prepareExchange(
  dependencies: ForwardingDependencies,
  request: ForwardedRequest,
  { countedTargets, rateKey, target }: Omit<ChosenTarget, 'causes' | 'isAnswered'>,
  { enginePriority, lastEventId, readers = [] }: AttemptOptions,
): ExchangeOptions {
  const { body, caller, deadlineAt, headers, method, path, service, signal, workspace } = request;
  const { response } = request;
  const relayRegions = allowedRegionsOf(request.route, workspace);
  const causes = possibleCausesOf(request);
  const isAnswered = (): boolean => response.isAnswered;
  const chosen = { target, countedTargets, rateKey, causes, isAnswered };
  const check = new SendCheck(dependencies, chosen);
  const { clock, dialect, quarantine, upstream } = dependencies;
  const sentAt = clock.now();
  const forwardedHeaders = dialect.buildForwardedHeaders(headers, {
    targetId: target.id,
    remainingMs: deadlineAt - clock.now(),
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
    connections: connectionLimit(dependencies, service),
    request: {
      ...{ method, path, body, relayRegions },
      headers: forwardedHeaders,
      attemptId: caller.attemptId,
    },
    findObstacle: () => check.findObstacle(),
    onAnswerHead: (answer, isMatched) => {
      if (isMatched && !answer.isMisdirected) {
        quarantine.recordLife(instanceOf(target), sentAt);
      }
      recordStatements(dependencies, target, answer);
    },
    attemptId: caller.attemptId,
    signal,
  };
}

/** Number of connections that this node may open to each target of a service. */
function connectionLimit(dependencies: ForwardingDependencies, service: TargetService): number {
  return Math.floor(
    (service.maxConnections * CONNECTION_SHARE) / Math.max(1, dependencies.liveNodes()),
  );
}
