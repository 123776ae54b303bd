/**
 * Shares among all nodes which targets limit their requests, and the requests that they get. Only
 * requests to limited targets are reported, so there are no more of them than the targets allow.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser, type ZoneBroadcast } from '@tanagerdyke/mesh';
import type { RateLimits, RateStatement, SentRequest } from './RateLimits.js';

const STATEMENT_METHOD = 'target.rate';
const REQUEST_METHOD = 'target.sent';

const parseStatement = notificationParser(STATEMENT_METHOD, parseRateStatement);
const parseRequest = notificationParser(REQUEST_METHOD, parseSentRequest);

export interface RateLimitReportsOptions {
  readonly broadcast: ZoneBroadcast;
  readonly rateLimits: RateLimits;
  /** Whether this node has a record of the target; reports of others are dropped. */
  readonly isKnown: (target: string) => boolean;
}

/** Broadcasts what this node sees of limited targets, and applies the reports of the others. */
export class RateLimitReports extends DisposableOwner {
  constructor({ broadcast, isKnown, rateLimits }: RateLimitReportsOptions) {
    super();
    this.register(
      rateLimits.onStatement(({ requestsPerSecond, target }) => {
        const params = { target, rate: requestsPerSecond ?? null };
        broadcast.send(encodeNotification(STATEMENT_METHOD, params));
      }),
    );
    this.register(
      rateLimits.onRequest((sent) => {
        broadcast.send(encodeNotification(REQUEST_METHOD, sent));
      }),
    );
    this.register(
      broadcast.onMessage((payload) => {
        const statement = parseStatement(payload);
        if (statement !== undefined && isKnown(statement.target)) {
          rateLimits.applyStatement(statement);
          return;
        }
        const sent = parseRequest(payload);
        if (sent !== undefined) {
          rateLimits.countRequest(sent);
        }
      }),
    );
  }
}

/** Validates a received statement; returns `undefined` when it is malformed. */
function parseRateStatement(params: unknown): RateStatement | undefined {
  const { rate, target } = (params ?? {}) as Readonly<Record<string, unknown>>;
  const isRate = rate === null || (typeof rate === 'number' && rate >= 0);
  return typeof target === 'string' && isRate
    ? { target, requestsPerSecond: rate ?? undefined }
    : undefined;
}

/** Validates a received report of a request; returns `undefined` when it is malformed. */
function parseSentRequest(params: unknown): SentRequest | undefined {
  const { request, target } = (params ?? {}) as Readonly<Record<string, unknown>>;
  return typeof request === 'string' && typeof target === 'string'
    ? { target, request }
    : undefined;
}
