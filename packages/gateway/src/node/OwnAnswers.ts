/** The answers that a node gives without a target, each with the caller's remedy. */
import { type OwnAnswer, OwnStatus } from './CallerResponse.js';

/** When callers should come back to a node that knows no configuration yet. */
const UNREADY_RETRY_MS = 300;
/** Other nodes serve already; the caller only has to change its address. */
const LEAVING_RETRY_MS = 20;

export const UNREADY: OwnAnswer = {
  status: OwnStatus.Refused,
  kind: 'unready',
  remedy: 'this node is starting; ask for addresses again',
  retryAfterMs: UNREADY_RETRY_MS,
};
export const LEAVING: OwnAnswer = {
  status: OwnStatus.Refused,
  kind: 'draining',
  remedy: 'this node is leaving; use another address',
  retryAfterMs: LEAVING_RETRY_MS,
};
export const DEFECT: OwnAnswer = {
  status: OwnStatus.Failed,
  kind: 'internal',
  remedy: 'look at the log of the node for request.defect',
};
export const NO_ROUTE: OwnAnswer = {
  status: OwnStatus.NotFound,
  kind: 'not-found',
  remedy: 'no route of this host begins the path; check both',
};
export const UNKNOWN_KEY: OwnAnswer = {
  status: OwnStatus.Unauthorized,
  kind: 'unauthorized',
  remedy: 'send a key of a workspace as a bearer token',
};
export const TOO_LARGE: OwnAnswer = {
  status: OwnStatus.TooLarge,
  kind: 'too-large',
  remedy: 'send a shorter body',
};
export const HEADERS_TOO_LARGE: OwnAnswer = {
  status: OwnStatus.HeadersTooLarge,
  kind: 'headers-too-large',
  remedy: 'send fewer or shorter headers',
};
export const CALLER_LEFT: OwnAnswer = {
  status: OwnStatus.BadRequest,
  kind: 'cancelled',
  remedy: 'send the whole body',
};
