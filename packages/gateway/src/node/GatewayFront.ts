/**
 * The HTTP server for callers: buffers a request, determines its route, workspace and deadline, and
 * passes it to the forwarder of its kind. Requests that can't be forwarded are answered
 * immediately.
 *
 * It uses node:http directly, since the raw header list has to be forwarded unchanged and the
 * Headers type of fetch would merge repeated headers.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { awaitEvent, describeCause, DisposableOwner, toDisposable } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import {
  CallKind,
  type CallerRequest,
  type EngineProfile,
  type ForwardingConfiguration,
  type RawHeaders,
} from '../common/Messages.js';
import { didNotRun } from '../common/Execution.js';
import { fingerprintsOf } from '../common/quarantine/RequestFingerprint.js';
import { chooseService } from '../common/RouteShares.js';
import { BodyReader } from './BodyReader.js';
import { CallerResponse, type GatewayAnswer } from './CallerResponse.js';
import { forwardCall } from './CallForwarder.js';
import {
  type ForwardedRequest,
  type ForwardingDependencies,
  RequestOutcome,
  type RequestReport,
} from './ForwardedRequest.js';
import {
  BODY_TOO_LARGE,
  CALLER_DISCONNECTED,
  DRAINING,
  ENDING,
  HEADERS_TOO_LARGE,
  INTERNAL_ERROR,
  NO_ROUTE,
  OUTDATED,
  UNKNOWN_KEY,
  UNREADY,
} from './GatewayAnswers.js';
import { forwardStream } from './StreamForwarder.js';

/** The HTTP parser rejects larger header blocks; the configured limit is lower. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** How often connections are checked for their time limits. */
const CHECK_INTERVAL_MS = 500;
/** Added to the configured idle time, so that callers close idle connections first. */
const IDLE_MARGIN_MS = 1_000;
/** Size of a colon and a space, or of a line end. */
const SEPARATOR_BYTES = 2;
/** How long a request waits for the first configuration; changing the address takes longer. */
const CONFIGURATION_WAIT_MS = 500;

/** Drain state of the node. */
export interface FrontState {
  /** Whether new requests are refused. */
  readonly isClosed: () => boolean;
  /** Time after which a request that is refused since the node drains may be sent again. */
  readonly retryAfterMs: () => number;
  /** Whether connections close after their answer. */
  readonly isDraining: () => boolean;
  /** Time on the clock by which every request must be answered; infinity while not draining. */
  readonly lastAnswerAt: () => number;
}

/** A request that is not answered yet. */
interface UnansweredRequest {
  readonly response: CallerResponse;
  /** Whether its body is complete, so that it is being forwarded. */
  isForwarded: boolean;
  /** Ends what is done for the request. */
  readonly abort: AbortController;
}

/** Accepts callers' requests on one address. */
export class GatewayFront extends DisposableOwner {
  private readonly _server: Server;
  private readonly _bodyReader = new BodyReader();
  private readonly _unanswered = new Set<UnansweredRequest>();
  private _running = 0;
  private _lastRequestAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _dependencies: ForwardingDependencies,
    private readonly _state: FrontState,
  ) {
    super();
    this._server = createServer(
      { maxHeaderSize: PARSER_HEADER_BYTES, connectionsCheckingInterval: CHECK_INTERVAL_MS },
      (request, response) => void this._handleRequest(request, response),
    );
    this.register(
      toDisposable(() => {
        this._server.close();
        this._server.closeAllConnections();
      }),
    );
    this.register(
      _dependencies.configuration.onChange((configuration) => {
        this._applyLimits(configuration);
      }),
    );
  }

  /** Number of requests whose answers have not been sent to their end. */
  public get running(): number {
    return this._running;
  }

  /** Time on the clock at which the last request arrived that was not refused for a drain. */
  public get lastRequestAt(): number {
    return this._lastRequestAt;
  }

  /** Listens on `IP:port`. Rejects if the address is in use. */
  public listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(Number(port), host, resolve);
    });
  }

  /** Refuses the requests whose bodies are incomplete, so that their callers use another node. */
  public refuseIncomplete(): void {
    for (const { isForwarded, response } of this._unanswered) {
      if (!isForwarded) {
        response.sendGatewayAnswer(this._draining());
      }
    }
  }

  /** Accepts no further connections, and answers all requests by what is known of them. */
  public close(): void {
    this._server.close();
    this.refuseIncomplete();
    for (const { abort } of this._unanswered) {
      abort.abort();
    }
  }

  private _draining(): GatewayAnswer {
    return { ...DRAINING, retryAfterMs: this._state.retryAfterMs() };
  }

  private _applyLimits({ limits }: ForwardingConfiguration): void {
    this._server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    this._server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * Contains unexpected exceptions: the request is answered with a status that doesn't say whether
   * it ran, and other requests are not affected.
   */
  private async _handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    // A connection that is closed while its caller still sends a body loses the answer.
    const response = new CallerResponse(
      outgoing,
      () => this._state.isDraining() && incoming.complete,
    );
    this._running++;
    outgoing.once('close', () => {
      this._running--;
    });
    try {
      await this._serve(incoming, outgoing, response);
    } catch (error) {
      this._dependencies.log.write('request.defect', {
        path: incoming.url,
        cause: describeCause(error),
      });
      response.sendGatewayAnswer(INTERNAL_ERROR);
    }
  }

  private async _serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    response: CallerResponse,
  ): Promise<void> {
    const { clock, log, metrics } = this._dependencies;
    const receivedAt = clock.now();
    if (!this._state.isClosed()) {
      this._lastRequestAt = receivedAt;
    }
    const abort = new AbortController();
    const unanswered: UnansweredRequest = { response, isForwarded: false, abort };
    this._unanswered.add(unanswered);
    outgoing.on('close', () => {
      this._unanswered.delete(unanswered);
      if (!outgoing.writableFinished) {
        abort.abort();
      }
    });
    outgoing.on('error', () => {
      abort.abort();
    });
    const admitted = await this._admit(incoming, response, receivedAt, abort.signal);
    unanswered.isForwarded = admitted.isOk;
    const report = admitted.isOk ? await this._forward(admitted.value) : undefined;
    const { caller, request } = admitted.isOk
      ? { caller: admitted.value.caller, request: admitted.value }
      : { caller: admitted.error.caller, request: undefined };
    if (admitted.isErr) {
      response.sendGatewayAnswer(admitted.error.answer);
    }
    const ending = report?.ending ?? `own-${admitted.isErr ? admitted.error.answer.status : 0}`;
    const tookMs = Math.round(clock.now() - receivedAt);
    metrics.increment('tanager_requests_total', { ending, kind: request?.route.kind ?? 'none' });
    metrics.observe('tanager_request_ms', tookMs, { kind: request?.route.kind ?? 'none' });
    log.write('request.finished', {
      request: request?.id ?? caller?.attemptId,
      ...(request === undefined ? { path: incoming.url } : describeRequest(request)),
      ...report,
      ending,
      tookMs,
      version: this._dependencies.configuration.current?.version,
    });
  }

  private async _forward(request: ForwardedRequest): Promise<RequestReport> {
    this._dependencies.budget.recordRequest(request.service.name);
    const { engine } = request.service;
    const handler = FORWARDERS[request.route.kind];
    const report = await handler(this._dependencies, request, engine);
    const { response, signal } = request;
    if (signal.aborted && !response.isClosed) {
      // The caller is still there: the node ends, and nobody else answers the request.
      response.sendGatewayAnswer(didNotRun(report.execution) ? this._draining() : ENDING);
      return { ...report, ending: RequestOutcome.Ended };
    }
    return report;
  }

  /**
   * Waits for the first configuration, which a node has some hundred ms after its start, except in
   * an outage. Returns undefined after `CONFIGURATION_WAIT_MS`.
   */
  private _awaitConfiguration(): Promise<ForwardingConfiguration | undefined> {
    const { clock, configuration } = this._dependencies;
    return awaitEvent(clock, configuration.onChange, () => true, CONFIGURATION_WAIT_MS).value;
  }

  /** Checks and buffers a request, and determines what it needs to be forwarded. */
  private async _admit(
    incoming: IncomingMessage,
    response: CallerResponse,
    receivedAt: number,
    signal: AbortSignal,
  ): Promise<Result<ForwardedRequest, Rejection>> {
    const { configuration, dialect, mayBeOutdated, random } = this._dependencies;
    const caller = dialect.parseCallerRequest(incoming.rawHeaders);
    const current = configuration.current ?? (await this._awaitConfiguration());
    if (current === undefined || this._state.isClosed()) {
      return reject(caller, current === undefined ? UNREADY : this._draining());
    }
    if (headerBytesOf(incoming.rawHeaders) > current.limits.headerBytes) {
      return reject(caller, HEADERS_TOO_LARGE);
    }
    const path = incoming.url ?? '/';
    const route = configuration.findRoute(caller.host, withoutQuery(path));
    if (route === undefined) {
      return reject(caller, mayBeOutdated() ? OUTDATED : NO_ROUTE);
    }
    const workspace =
      caller.key === undefined ? undefined : configuration.findWorkspace(caller.key);
    if (workspace === undefined && configuration.needsKeys && !route.allowsAnonymous) {
      return reject(caller, mayBeOutdated() ? OUTDATED : UNKNOWN_KEY);
    }
    const service = configuration.service(chooseService(route.shares, random.next()));
    if (service === undefined) {
      return reject(caller, UNREADY);
    }
    const body = await this._bodyReader.read(incoming, current.limits.bodyBytes, signal);
    if (body === undefined) {
      return reject(caller, signal.aborted ? CALLER_DISCONNECTED : BODY_TOO_LARGE);
    }
    if (this._state.isClosed()) {
      return reject(caller, this._draining());
    }
    const method = incoming.method ?? 'GET';
    const { ownPart, sharedParts } = caller;
    const parts = ownPart === undefined ? sharedParts : [...sharedParts, ownPart];
    const timeoutMs = Math.min(caller.remainingMs ?? route.timeoutMs, route.timeoutMs);
    return Result.ok({
      id: caller.attemptId ?? random.identifier(),
      method,
      path,
      headers: incoming.rawHeaders,
      body,
      caller,
      fingerprints: fingerprintsOf({ method, path, body, workspace: workspace?.name, parts }),
      route,
      service,
      workspace,
      receivedAt,
      deadlineAt: Math.min(receivedAt + timeoutMs, this._state.lastAnswerAt()),
      response,
      signal,
    });
  }
}

/** The answer to a request that is not forwarded. */
interface Rejection {
  readonly caller: CallerRequest | undefined;
  readonly answer: GatewayAnswer;
}

function reject(caller: CallerRequest, answer: GatewayAnswer): Result<ForwardedRequest, Rejection> {
  return Result.err({ caller, answer });
}

type Forwarder = (
  dependencies: ForwardingDependencies,
  request: ForwardedRequest,
  profile: EngineProfile | undefined,
) => Promise<RequestReport>;

/** A stream of a plain service needs no placement; its answer is buffered like that of a call. */
const FORWARDERS: Record<CallKind, Forwarder> = {
  [CallKind.Idempotent]: forwardCall,
  [CallKind.NonIdempotent]: forwardCall,
  [CallKind.Stream]: (dependencies, request, profile) =>
    profile === undefined
      ? forwardCall(dependencies, request)
      : forwardStream(dependencies, request, profile),
};

/** Size of a header block, including the separators of each line. */
function headerBytesOf(headers: RawHeaders): number {
  return headers.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, 0);
}

function withoutQuery(path: string): string {
  const query = path.indexOf('?');
  return query === -1 ? path : path.slice(0, query);
}

function describeRequest({
  caller,
  route,
  service,
  workspace,
}: ForwardedRequest): Record<string, string | number | undefined> {
  return {
    route: route.name,
    kind: route.kind,
    service: service.name,
    workspace: workspace?.name,
    promptTokens: caller.promptTokens,
    outputTokens: caller.outputTokens,
    targetMs: route.latencyTargetMs,
  };
}
