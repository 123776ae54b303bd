/** The caller of a simulated request, and the request as the front hands it over. Not shipped. */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { Clock } from '@tanagerdyke/kernel';
import type { CallKind } from '../common/Messages.js';
import { fingerprintsOf } from '../common/quarantine/RequestFingerprint.js';
import { CallerResponse } from './CallerResponse.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import { configuration } from './ForwardingFixture.js';

const DEADLINE_MS = 3_000;
const BODY = Buffer.from('x');

/** What differs between simulated requests. */
export interface SimulatedRequestOptions {
  readonly id?: string;
  readonly maxAttempts: number;
  readonly sharedParts?: readonly string[];
  readonly promptTokens?: number;
  readonly deadlineMs?: number;
  readonly body?: Buffer;
  /** Of the route; all regions by default. */
  readonly allowedRegions?: readonly string[];
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Returns a request of a kind, on the route that the test configuration has for it. */
export function simulatedRequest(
  clock: Clock,
  kind: CallKind,
  caller: SimulatedCaller,
  options: SimulatedRequestOptions,
): ForwardedRequest {
  const { body = BODY, id = 'r1', maxAttempts, promptTokens = 1_000 } = options;
  const { deadlineMs = DEADLINE_MS } = options;
  const { allowedRegions, sharedParts = [], signal } = options;
  const route = configuration.routes.find((each) => each.kind === kind);
  const service = configuration.services.find(({ name }) => name === route?.shares[0]?.service);
  if (route === undefined || service === undefined) {
    throw new Error(`the test configuration has no route for ${kind}`);
  }
  const content = { method: 'POST', path: route.pathPrefix, body };
  return {
    id,
    ...content,
    headers: ['Host', 'test', 'Parts', sharedParts.join(',')],
    caller: {
      attemptId: 'a1',
      host: 'test',
      remainingMs: deadlineMs,
      key: 'k',
      promptTokens,
      outputTokens: 100,
      expectedOutputTokens: undefined,
      lastEventId: undefined,
      sharedParts,
      ownPart: undefined,
    },
    fingerprints: fingerprintsOf({ ...content, workspace: undefined, parts: sharedParts }),
    route: { ...route, maxAttempts, allowedRegions },
    service,
    workspace: undefined,
    receivedAt: clock.now(),
    deadlineAt: clock.now() + deadlineMs,
    response: new CallerResponse(caller as unknown as ServerResponse, () => false),
    signal,
  };
}

/** Replaces the HTTP response and records what the caller receives. */
export class SimulatedCaller extends EventEmitter {
  public status: number | undefined;
  /** Alternating names and values. */
  public headers: readonly string[] = [];
  public body = '';
  public headersSent = false;
  public writableEnded = false;
  public destroyed = false;
  public sendDate = true;

  /** Whether the answer looks complete to the caller. */
  public get isComplete(): boolean {
    return this.writableEnded && !this.destroyed;
  }

  public get isOver(): boolean {
    return this.writableEnded || this.destroyed;
  }

  public disconnect(): void {
    this.destroyed = true;
  }

  public writeHead(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = headers;
    this.headersSent = true;
  }

  public flushHeaders(): void {
    this.headersSent = true;
  }

  public write(bytes: Buffer): boolean {
    this.body += bytes.toString();
    return true;
  }

  public end(bytes?: Buffer): void {
    this.body += bytes?.toString() ?? '';
    this.writableEnded = true;
  }

  public destroy(): void {
    this.destroyed = true;
  }
}
