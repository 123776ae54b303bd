/** Non-repeatable calls of plain services and their results. */
import type { ServiceError } from '@tanagerdyke/kernel';
import type { Service, ServiceAnswer } from '@tanagerdyke/contracts';
import type { Result } from 'true-myth';

/** A call of a plain service that may be dispatched at most once. */
export interface AtMostOnceCall {
  /** The idempotency key, scoped by workspace. */
  readonly key: string;
  readonly path: string;
  readonly body: string;
  /** Digest of workspace, route and body. */
  readonly bodyDigest: string;
  readonly service: Service;
  /** Whether the service answers look-ups of a key's outcome. */
  readonly offersLookUp: boolean;
  /** In milliseconds on the monotonic clock of this node. */
  readonly deadline: number;
}

/** The whole answer of the service, or the reason why there is none. */
export type AtMostOnceCallResult = Result<ServiceAnswer, ServiceError>;
