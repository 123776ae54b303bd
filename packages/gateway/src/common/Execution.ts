/**
 * Whether a request was executed, as far as the gateway can tell after an exchange with a target,
 * and whether it may be sent again. An answer that tells the caller "not run" must be true, so only
 * the first two states allow it.
 */
import { CallKind, type ForwardRoute } from './Messages.js';

/** Whether a request was executed, ordered by increasing likelihood. */
export enum Execution {
  /** This node has sent no byte of the request. */
  NotSent = 'not-sent',
  /** The target states that it did not run the request. */
  NotRun = 'refused-unrun',
  MayHaveRun = 'may-have-run',
  Ran = 'ran',
}

const DID_NOT_RUN: Record<Execution, boolean> = {
  [Execution.NotSent]: true,
  [Execution.NotRun]: true,
  [Execution.MayHaveRun]: false,
  [Execution.Ran]: false,
};

/** Whether a request may be executed more than once. */
const IS_REPEATABLE: Record<CallKind, (route: ForwardRoute) => boolean> = {
  [CallKind.Idempotent]: () => true,
  [CallKind.NonIdempotent]: () => false,
  [CallKind.Stream]: (route) => route.isResumable,
};

/** Whether the request certainly did not run. */
export function didNotRun(execution: Execution): boolean {
  return DID_NOT_RUN[execution];
}

/** Whether a route's requests may be executed more than once. */
export function isRepeatable(route: ForwardRoute): boolean {
  return IS_REPEATABLE[route.kind](route);
}

/** Whether a request may be sent to another target after an exchange with this result. */
export function canRetryElsewhere(route: ForwardRoute, execution: Execution): boolean {
  return didNotRun(execution) || isRepeatable(route);
}

/** The state of a request that was sent twice: the one in which it is more likely to have run. */
export function combineExecutions(first: Execution, second: Execution): Execution {
  const order = [Execution.NotSent, Execution.NotRun, Execution.MayHaveRun, Execution.Ran];
  return order.indexOf(first) >= order.indexOf(second) ? first : second;
}
