/**
 * The final answer to a request that no target answered. It states that the request did not run
 * only if that is certain, since callers rely on it when they repeat non-idempotent requests.
 */
import { didNotRun, type Execution } from '../common/Execution.js';
import { CauseKind, kindOfCause } from '../common/quarantine/CrashEvidence.js';
import { causeOfPart } from '../common/quarantine/PartCause.js';
import { type GatewayAnswer, GatewayStatus } from './CallerResponse.js';
import {
  type ForwardedRequest,
  type ForwardingDependencies,
  possibleCausesOf,
  RequestOutcome,
} from './ForwardedRequest.js';

/** How much of the id of a part an answer repeats. */
const SHOWN_ID_LENGTH = 64;

/** State of the request that determines the status, and the texts for the caller. */
export interface UnservedRequest {
  readonly execution: Execution;
  /** Whether the deadline passed. */
  readonly hasTimedOut: boolean;
  /** Time after which to retry if the request did not run. */
  readonly retryAfterMs: number;
  /** What the caller can do if the request did not run. */
  readonly notRunRemedy: string;
  /** What the caller can do if the request may have run. */
  readonly mayHaveRunRemedy: string;
}

/** The answer to a quarantined request, by what is blocked. */
const QUARANTINE_ANSWERS: Readonly<
  Record<
    CauseKind,
    (cause: string, request: ForwardedRequest) => Pick<GatewayAnswer, 'kind' | 'remedy'>
  >
> = {
  [CauseKind.Part]: (cause, { caller }) => {
    const id = caller.sharedParts.find((each) => causeOfPart(each) === cause) ?? cause;
    const part = id.length > SHOWN_ID_LENGTH ? `${id.slice(0, SHOWN_ID_LENGTH)}…` : id;
    return {
      kind: 'part-quarantined',
      remedy: `engines crash under part ${part} of the prompt; send it without that part`,
    };
  },
  [CauseKind.Request]: () => ({
    kind: 'request-quarantined',
    remedy: 'targets crash when they run this request; change its path or body',
  }),
};

/** Answers the caller and returns the outcome. */
export function answerUnserved(
  { quarantine }: ForwardingDependencies,
  request: ForwardedRequest,
  { execution, hasTimedOut, retryAfterMs, mayHaveRunRemedy, notRunRemedy }: UnservedRequest,
): RequestOutcome {
  const { response } = request;
  const blocked = quarantine.findBlocked(possibleCausesOf(request));
  if (didNotRun(execution) && blocked !== undefined) {
    response.sendGatewayAnswer({
      status: GatewayStatus.Refused,
      ...QUARANTINE_ANSWERS[kindOfCause(blocked.cause)](blocked.cause, request),
      retryAfterMs: blocked.remainingMs,
    });
    return RequestOutcome.Refused;
  }
  if (didNotRun(execution)) {
    response.sendGatewayAnswer({
      status: GatewayStatus.Refused,
      kind: 'overloaded',
      remedy: notRunRemedy,
      retryAfterMs,
    });
    return RequestOutcome.Refused;
  }
  response.sendGatewayAnswer({
    status: hasTimedOut ? GatewayStatus.TimedOut : GatewayStatus.Failed,
    kind: hasTimedOut ? 'deadline-exceeded' : 'target-failed',
    remedy: mayHaveRunRemedy,
  });
  return hasTimedOut ? RequestOutcome.TimedOut : RequestOutcome.Failed;
}
