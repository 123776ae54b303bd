/**
 * What is known of a request's execution after an exchange with a target ended, and what follows
 * from it. A refusal that says "not run" must be true, so only the first two states allow it.
 */
import { CallKind, type ForwardRoute } from './Messages.js';

/** Whether a request ran. */
export enum Execution {
  /** No byte of it left this node. */
  NotSent = 'not-sent',
  /** The target states that it did not run it. */
  RefusedUnrun = 'refused-unrun',
  MayHaveRun = 'may-have-run',
  Ran = 'ran',
}

const IS_UNRUN: Record<Execution, boolean> = {
  [Execution.NotSent]: true,
  [Execution.RefusedUnrun]: true,
  [Execution.MayHaveRun]: false,
  [Execution.Ran]: false,
};

/** Whether a request may run more than once. */
const IS_REPEATABLE: Record<CallKind, (route: ForwardRoute) => boolean> = {
  [CallKind.Idempotent]: () => true,
  [CallKind.NonIdempotent]: () => false,
  [CallKind.Stream]: (route) => route.isResumable,
};

/** Whether it is certain that the request did not run. */
export function isUnrun(execution: Execution): boolean {
  return IS_UNRUN[execution];
}

export function isRepeatable(route: ForwardRoute): boolean {
  return IS_REPEATABLE[route.kind](route);
}

/** Whether a request may be sent to another target after an exchange ended so. */
export function mayMove(route: ForwardRoute, execution: Execution): boolean {
  return isUnrun(execution) || isRepeatable(route);
}

/** The less certain of two states, for a request that was sent twice. */
export function worse(first: Execution, second: Execution): Execution {
  const order = [Execution.NotSent, Execution.RefusedUnrun, Execution.MayHaveRun, Execution.Ran];
  return order.indexOf(first) >= order.indexOf(second) ? first : second;
}
