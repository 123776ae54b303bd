/**
 * Computes the figures of a proof run from its evidence. Every figure that must be zero is counted
 * from outside the daemons.
 */
import { OutcomeKind } from '../OutcomeKind.js';
import {
  type Disturbance,
  DisturbanceKind,
  type Evidence,
  type RequestEvidence,
  StandInRecordKind,
} from './Evidence.js';
import { countConfigurationViolations } from './ConfigurationChecks.js';

/** Time after the deadline of a request by which its final answer must have reached the caller. */
export const ANSWER_TOLERANCE_MS = 2_000;
/** Time after the start of a leaving period from which the target must receive no new requests. */
export const LEAVING_BOUND_MS = 5_000;
/** Time allowed for a refusal to get from the daemon to the caller that records it. */
const REFUSAL_DELIVERY_MS = 100;
/** Time after a disturbance within which connections to the daemon may still break. */
const CONNECTION_CLOSE_MARGIN_MS = 1_000;

/** The figures of a run, as printed on its last line. */
export interface ProofFigures {
  /** Requests that were not refused with "not run". */
  readonly admitted: number;
  readonly answered: number;
  readonly failed: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Requests without a final answer whose entry daemon was not killed, frozen or shutting down. */
  readonly lost: number;
  /** Idempotency keys that services executed more than once. */
  readonly doubled: number;
  /** Requests that ended after their deadline and `ANSWER_TOLERANCE_MS`. */
  readonly late: number;
  /** Answers that were incomplete or belonged to another request. */
  readonly crossed: number;
  /** Requests that were refused with "not run" although a target received them. */
  readonly falseNotRun: number;
  /** Items that engines held for too long after their holder had ended. */
  readonly leaked: number;
  /** Requests that reached a target more than `LEAVING_BOUND_MS` after it began to leave. */
  readonly lateDispatch: number;
  /** Requests without a final answer whose entry daemon was shutting down. */
  readonly cut: number;
  /** Configuration changes that were reverted, late, divergent or accepted on a shared base. */
  readonly reverted: number;
  /** Invariant violations and defects that the daemons logged. */
  readonly violations: number;
}

/** The figures that must be zero for a run to pass. */
export const MUST_BE_ZERO = [
  'lost',
  'doubled',
  'late',
  'crossed',
  'falseNotRun',
  'leaked',
  'lateDispatch',
  'cut',
  'reverted',
  'violations',
] as const satisfies readonly (keyof ProofFigures)[];

export function computeFigures(evidence: Evidence): ProofFigures {
  const { requests } = evidence;
  const countOutcomes = (kind: OutcomeKind): number =>
    requests.filter((each) => each.ending === kind).length;
  return {
    admitted: requests.length - countOutcomes(OutcomeKind.NotRun),
    answered: countOutcomes(OutcomeKind.Answered),
    failed: countOutcomes(OutcomeKind.Failed),
    notRun: countOutcomes(OutcomeKind.NotRun),
    unknown: countOutcomes(OutcomeKind.Unknown),
    lost: requests.filter((each) => isLost(each, evidence)).length,
    doubled: countDoubled(evidence),
    late: requests.filter((each) => isLate(each, evidence)).length,
    crossed: countOutcomes(OutcomeKind.Crossed),
    falseNotRun: countFalseNotRun(evidence),
    leaked: evidence.leakedItems.length,
    lateDispatch: countLateDispatches(evidence),
    cut: requests.filter((each) => isCut(each, evidence)).length,
    reverted: countConfigurationViolations(evidence),
    violations: evidence.violations,
  };
}

/** Whether any of the figures in `MUST_BE_ZERO` is above zero. */
export function hasFailed(figures: ProofFigures): boolean {
  return MUST_BE_ZERO.some((name) => figures[name] > 0);
}

/** Whether the entry daemon was killed or frozen during a request; no daemon can answer it then. */
export function isEntryDisturbed(request: RequestEvidence, evidence: Evidence): boolean {
  return (
    isDisturbed(request, evidence, DisturbanceKind.Kill) ||
    isDisturbed(request, evidence, DisturbanceKind.Freeze)
  );
}

/** Whether a request ended without a final answer although its entry daemon was undisturbed. */
function isLost(request: RequestEvidence, evidence: Evidence): boolean {
  return (
    !request.hasFinalAnswer &&
    request.ending !== OutcomeKind.NotRun &&
    !isEntryDisturbed(request, evidence) &&
    !isCut(request, evidence)
  );
}

/** Whether a request ended without a final answer while its entry daemon was shutting down. */
function isCut(request: RequestEvidence, evidence: Evidence): boolean {
  return (
    !request.hasFinalAnswer &&
    request.ending !== OutcomeKind.NotRun &&
    !isEntryDisturbed(request, evidence) &&
    isDisturbed(request, evidence, DisturbanceKind.Drain)
  );
}

function isLate(request: RequestEvidence, evidence: Evidence): boolean {
  const elapsedMs = request.endedAt - request.sentAt;
  return (
    elapsedMs > request.deadlineMs + ANSWER_TOLERANCE_MS && !isEntryDisturbed(request, evidence)
  );
}

function isDisturbed(
  { entry, sentAt, endedAt }: RequestEvidence,
  { disturbances }: Evidence,
  kind: DisturbanceKind,
): boolean {
  const overlaps = ({ from, until }: Disturbance): boolean =>
    from <= endedAt && until + CONNECTION_CLOSE_MARGIN_MS >= sentAt;
  return disturbances.some((each) => each.kind === kind && each.entry === entry && overlaps(each));
}

function executionTimes({ records }: Evidence): ReadonlyMap<string, readonly number[]> {
  const times = new Map<string, number[]>();
  for (const record of records) {
    if (record.kind === StandInRecordKind.Execution) {
      times.set(record.key, [...(times.get(record.key) ?? []), record.at]);
    }
  }
  return times;
}

function countDoubled(evidence: Evidence): number {
  return [...executionTimes(evidence).values()].filter(({ length }) => length > 1).length;
}

/**
 * Counts "not run" refusals of requests that a target received. If several requests share a key, a
 * refusal of one is false only if the key was executed more than `REFUSAL_DELIVERY_MS` before it
 * arrived: another request may execute the key later, or while the refusal is on its way.
 */
function countFalseNotRun(evidence: Evidence): number {
  const executions = executionTimes(evidence);
  const attemptedPrompts = new Set<string>();
  for (const record of evidence.records) {
    if (record.kind === StandInRecordKind.Attempt) {
      attemptedPrompts.add(record.prompt);
    }
  }
  const requestCounts = new Map<string, number>();
  for (const { id } of evidence.requests) {
    requestCounts.set(id, (requestCounts.get(id) ?? 0) + 1);
  }
  return evidence.requests.filter(({ ending, endedAt, id, isCall, isKeyReused }) => {
    if (ending !== OutcomeKind.NotRun || isKeyReused) {
      return false;
    }
    if (!isCall) {
      return attemptedPrompts.has(id);
    }
    const times = executions.get(id) ?? [];
    return requestCounts.get(id) === 1
      ? times.length > 0
      : times.some((at) => at < endedAt - REFUSAL_DELIVERY_MS);
  }).length;
}

function countLateDispatches({ leavings, records }: Evidence): number {
  const isLateDispatch = (target: string, at: number): boolean =>
    leavings.some(
      (period) =>
        period.target === target && at > period.from + LEAVING_BOUND_MS && at < period.until,
    );
  return records.filter(
    ({ kind, target, at }) => kind !== StandInRecordKind.Append && isLateDispatch(target, at),
  ).length;
}
