/**
 * Admits callers' requests: waits for the first configuration, finds the route, the workspace and the
 * service, and receives the body. A request that can't be forwarded gets its answer at once.
 */
import type { IncomingMessage } from 'node:http';
import { awaitEvent } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { type CallerHolding, HoldingState } from '../common/callers/CallerMemory.js';
import type { CallerRequest, ForwardingConfiguration, RawHeaders } from '../common/Messages.js';
import { fingerprintsOf } from '../common/quarantine/RequestFingerprint.js';
import { chooseService } from '../common/RouteShares.js';
import { BodyFailure, type BodyReception } from './BodyReader.js';
import type { CallerResponse, GatewayAnswer } from './CallerResponse.js';
import type { ForwardedRequest, ForwardingDependencies } from './ForwardedRequest.js';
import {
  BODY_TOO_LARGE,
  BODY_TOO_SLOW,
  CALLER_DISCONNECTED,
  DRAINING,
  HEADERS_TOO_LARGE,
  NO_MEMORY,
  NO_ROUTE,
  OUTDATED,
  TOO_MANY_PIECES,
  UNKNOWN_KEY,
  UNREADY,
} from './GatewayAnswers.js';

/** Size of a colon and a space, or of a line end. */
const SEPARATOR_BYTES = 2;
/** How long a request waits for the first configuration; changing the address takes longer. */
const CONFIGURATION_WAIT_MS = 500;

/** Whether the node accepts requests, and until when it answers. */
export interface FrontState {
  /** Whether new requests are refused. */
  readonly isClosed: () => boolean;
  /** Whether a request may be accepted that ends at its deadline at the latest. */
  readonly admits: (deadlineAt: number) => boolean;
  /** Time after which a request that is refused since the node drains may be sent again. */
  readonly retryAfterMs: () => number;
  /** Whether connections close after their answer. */
  readonly isDraining: () => boolean;
  /** Time on the clock by which every request must be answered; infinity while not draining. */
  readonly lastAnswerAt: () => number;
}

/** A request whose head has arrived. */
export interface RequestArrival {
  readonly incoming: IncomingMessage;
  readonly caller: CallerRequest;
  readonly receivedAt: number;
  readonly holding: CallerHolding;
  readonly reception: BodyReception;
  readonly response: CallerResponse;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** The answers to requests without a body that can be forwarded. */
const BODY_ANSWERS: Readonly<Record<BodyFailure, GatewayAnswer>> = {
  [BodyFailure.TooLarge]: BODY_TOO_LARGE,
  [BodyFailure.NoMemory]: NO_MEMORY,
  [BodyFailure.TooSlow]: BODY_TOO_SLOW,
  [BodyFailure.Overdue]: BODY_TOO_SLOW,
  [BodyFailure.TooManyPieces]: TOO_MANY_PIECES,
  [BodyFailure.Disconnected]: CALLER_DISCONNECTED,
  [BodyFailure.Unneeded]: DRAINING,
};

export interface RequestAdmissionOptions {
  readonly dependencies: ForwardingDependencies;
  readonly state: FrontState;
  /** Counts a caller whose body is refused, and why. */
  readonly onRefused: (reason: string, incoming: IncomingMessage) => void;
}

/** Decides which requests of one front are forwarded. */
export class RequestAdmission {
  constructor(private readonly _options: RequestAdmissionOptions) {}

  /** The answer to a request that is refused since the node drains. */
  public get drainingAnswer(): GatewayAnswer {
    return { ...DRAINING, retryAfterMs: this._options.state.retryAfterMs() };
  }

  /** Checks and buffers a request, and determines what it needs to be forwarded. */
  public async admit(arrival: RequestArrival): Promise<Result<ForwardedRequest, GatewayAnswer>> {
    const { dependencies, state } = this._options;
    const { configuration, mayBeOutdated, random } = dependencies;
    const { caller, holding, incoming, receivedAt, reception, response, signal } = arrival;
    const { rawHeaders } = incoming;
    const current = configuration.current ?? (await this._awaitConfiguration());
    if (current === undefined || state.isClosed()) {
      return Result.err(current === undefined ? UNREADY : this.drainingAnswer);
    }
    if (headerBytesOf(rawHeaders) > current.limits.headerBytes) {
      return Result.err(HEADERS_TOO_LARGE);
    }
    const path = incoming.url ?? '/';
    const route = configuration.findRoute(caller.host, withoutQuery(path));
    if (route === undefined) {
      return Result.err(mayBeOutdated() ? OUTDATED : NO_ROUTE);
    }
    const workspace =
      caller.key === undefined ? undefined : configuration.findWorkspace(caller.key);
    if (workspace === undefined && configuration.requiresKeys && !route.allowsAnonymous) {
      return Result.err(mayBeOutdated() ? OUTDATED : UNKNOWN_KEY);
    }
    const service = configuration.service(chooseService(route.shares, random.next()));
    if (service === undefined) {
      return Result.err(UNREADY);
    }
    const timeoutMs = Math.min(caller.remainingMs ?? route.timeoutMs, route.timeoutMs);
    const deadlineAt = receivedAt + timeoutMs;
    const read = await reception.read(current.limits.bodyBytes, deadlineAt, signal);
    if (response.isAnswered) {
      return Result.err(this.drainingAnswer);
    }
    if (read.isErr) {
      return this._refuse(incoming, read.error, BODY_ANSWERS[read.error]);
    }
    if (state.isClosed() || !state.admits(deadlineAt)) {
      return Result.err(this.drainingAnswer);
    }
    holding.state = HoldingState.Running;
    const body = read.value;
    const method = incoming.method ?? 'GET';
    const { ownPart, sharedParts } = caller;
    const parts = ownPart === undefined ? sharedParts : [...sharedParts, ownPart];
    return Result.ok({
      id: caller.attemptId ?? random.identifier(),
      method,
      path,
      headers: rawHeaders,
      body,
      caller,
      fingerprints: fingerprintsOf({ method, path, body, workspace: workspace?.name, parts }),
      route,
      service,
      workspace,
      receivedAt,
      deadlineAt: Math.min(deadlineAt, state.lastAnswerAt()),
      response,
      signal,
    });
  }

  /**
   * Waits for the first configuration, which a node has some hundred ms after its start, except in
   * an outage. Returns undefined after `CONFIGURATION_WAIT_MS`.
   */
  private _awaitConfiguration(): Promise<ForwardingConfiguration | undefined> {
    const { clock, configuration } = this._options.dependencies;
    return awaitEvent(clock, configuration.onChange, () => true, CONFIGURATION_WAIT_MS).value;
  }

  private _refuse(
    incoming: IncomingMessage,
    reason: string,
    answer: GatewayAnswer,
  ): Result<ForwardedRequest, GatewayAnswer> {
    // A connection that is held was counted.
    if (answer !== CALLER_DISCONNECTED && answer !== TOO_MANY_PIECES) {
      this._options.onRefused(reason, incoming);
    }
    return Result.err(answer);
  }
}

/** Size of a header block, including the separators of each line. */
function headerBytesOf(headers: RawHeaders): number {
  return headers.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, 0);
}

function withoutQuery(path: string): string {
  const query = path.indexOf('?');
  return query === -1 ? path : path.slice(0, query);
}
