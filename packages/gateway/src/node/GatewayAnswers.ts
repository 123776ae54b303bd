/** Answers to requests that are not forwarded, each with a remedy for the caller. */
import { type GatewayAnswer, GatewayStatus } from './CallerResponse.js';

/** Retry-After of a node that has no configuration yet. */
const UNREADY_RETRY_AFTER_MS = 300;
/** To a request that only the configuration in force at this node does not allow. */
export const OUTDATED: GatewayAnswer = {
  status: GatewayStatus.Refused,
  kind: 'configuration-unconfirmed',
  remedy: 'a newer configuration may be in force; send the request again',
  retryAfterMs: UNREADY_RETRY_AFTER_MS,
};
/** Short, since other nodes are available: the caller only has to change the address. */
const DRAINING_RETRY_AFTER_MS = 20;

export const UNREADY: GatewayAnswer = {
  status: GatewayStatus.Refused,
  kind: 'unready',
  remedy: 'this node is starting; query the addresses again',
  retryAfterMs: UNREADY_RETRY_AFTER_MS,
};
export const DRAINING: GatewayAnswer = {
  status: GatewayStatus.Refused,
  kind: 'draining',
  remedy: 'this node is shutting down; use another address',
  retryAfterMs: DRAINING_RETRY_AFTER_MS,
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
