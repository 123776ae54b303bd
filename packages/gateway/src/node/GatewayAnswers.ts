/** Answers to requests that are not forwarded, each with a remedy for the caller. */
import { type GatewayAnswer, GatewayStatus } from './CallerResponse.js';

/** Retry-After of a node that has no configuration yet. */
const UNREADY_RETRY_AFTER_MS = 300;

export const UNREADY: GatewayAnswer = {
  status: GatewayStatus.Refused,
  kind: 'unready',
  remedy: 'this node is starting; query the addresses again',
  retryAfterMs: UNREADY_RETRY_AFTER_MS,
};
/** To a request that only the configuration in force at this node does not allow. */
export const OUTDATED: GatewayAnswer = {
  status: GatewayStatus.Refused,
  kind: 'configuration-unconfirmed',
  remedy: 'a newer configuration may be in force; send the request again',
  retryAfterMs: UNREADY_RETRY_AFTER_MS,
};
/** Without the time to retry, which depends on whether another node accepts requests. */
export const DRAINING: GatewayAnswer = {
  status: GatewayStatus.Refused,
  kind: 'draining',
  remedy: 'this node is shutting down; use another address',
};
/** To a request that may have run, of a node that ends. */
export const ENDING: GatewayAnswer = {
  status: GatewayStatus.Failed,
  kind: 'draining',
  remedy: 'this node ended before the answer; check the effect before sending the request again',
};
export const INTERNAL_ERROR: GatewayAnswer = {
  status: GatewayStatus.Failed,
  kind: 'internal',
  remedy: 'search the log of the node for request.defect',
};
export const NO_ROUTE: GatewayAnswer = {
  status: GatewayStatus.NotFound,
  kind: 'not-found',
  remedy: 'no route matches this host and path; check both',
};
export const UNKNOWN_KEY: GatewayAnswer = {
  status: GatewayStatus.Unauthorized,
  kind: 'unauthorized',
  remedy: 'send the key of a workspace as a bearer token',
};
export const BODY_TOO_LARGE: GatewayAnswer = {
  status: GatewayStatus.TooLarge,
  kind: 'too-large',
  remedy: 'send a shorter body',
};
export const HEADERS_TOO_LARGE: GatewayAnswer = {
  status: GatewayStatus.HeadersTooLarge,
  kind: 'headers-too-large',
  remedy: 'send fewer or shorter headers',
};
export const CALLER_DISCONNECTED: GatewayAnswer = {
  status: GatewayStatus.BadRequest,
  kind: 'cancelled',
  remedy: 'send the complete body',
};
