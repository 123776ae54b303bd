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
import { type CallerLimits, callerLimits } from '../common/callers/CallerLimits.js';
import { type CallerHolding, CallerMemory, HoldingState } from '../common/callers/CallerMemory.js';
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
import { BodyFailure, BodyReader, type BodyReception } from './BodyReader.js';
import { CallerConnections, MAX_FIELDS, SERVER_OPTIONS } from './CallerConnections.js';
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
  BODY_TOO_SLOW,
  CALLER_DISCONNECTED,
  DRAINING,
  ENDING,
  HEADERS_TOO_LARGE,
  INTERNAL_ERROR,
  NO_MEMORY,
  NO_ROUTE,
  OUTDATED,
  TOO_MANY_FIELDS,
  TOO_MANY_PIECES,
  UNKNOWN_KEY,
  UNREADY,
} from './GatewayAnswers.js';
import { ResidentMemory } from './ResidentMemory.js';
import { forwardStream } from './StreamForwarder.js';

/** Added to the configured idle time, so that callers close idle connections first. */
const IDLE_MARGIN_MS = 1_000;
/** Size of a colon and a space, or of a line end. */
const SEPARATOR_BYTES = 2;
/** How long a request waits for the first configuration; changing the address takes longer. */
const CONFIGURATION_WAIT_MS = 500;
/** A body up to this size is read to its end after an early answer, and the connection is kept. */
const MAX_KEPT_BODY_BYTES = 64 * 1024;

/** Drain state of the node. */
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

/** A request that is not answered yet. */
interface UnansweredRequest {
  readonly arrival: RequestArrival;
  /** Whether its body is complete, so that it is being forwarded. */
  isForwarded: boolean;
  /** Ends what is done for the request. */
  readonly abort: AbortController;
}

/** Accepts callers' requests on one address. */
export class GatewayFront extends DisposableOwner {
  private readonly _server: Server;
  private readonly _memory: CallerMemory;
  private readonly _resident: ResidentMemory;
  private readonly _bodyReader: BodyReader;
  private readonly _connections: CallerConnections;
  private readonly _unanswered = new Set<UnansweredRequest>();
  private _running = 0;
  private _lastRequestAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _dependencies: ForwardingDependencies,
    private readonly _state: FrontState,
    limits: CallerLimits = callerLimits(DEFAULT_HOST),
  ) {
    super();
    const { clock, metrics } = _dependencies;
    const memory = new CallerMemory(limits.memory);
    this._resident = new ResidentMemory({
      clock,
      limitBytes: limits.hostBytes,
      onRead: (bytes) => {
        memory.recordResident(bytes);
      },
      onCollected: () => {
        metrics.increment('tanager_forced_collections_total');
      },
    });
    this._memory = memory;
    this._bodyReader = new BodyReader({ clock, memory });
    this._connections = this.register(
      new CallerConnections({
        ..._dependencies,
        limits: limits.front,
        onCheck: (elapsedMs) => {
          this._resident.check();
          this._bodyReader.demandProgress(elapsedMs);
        },
        onArrival: () => {
          this._resident.check();
        },
      }),
    );
    metrics.gauge('tanager_caller_bytes', () => memory.bytes);
    metrics.gauge('tanager_caller_connections', () => this._connections.count);
    this._server = createServer(
      SERVER_OPTIONS,
      (request, response) => void this._handleRequest(request, response),
    );
    this._connections.attach(this._server);
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
    for (const { arrival, isForwarded } of this._unanswered) {
      if (!isForwarded) {
        this._reject(arrival, this._draining());
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
    let onEnd = (): void => undefined;
    const turn = this._connections.admit(incoming, outgoing, () => {
      onEnd();
    });
    if (turn === undefined) {
      return;
    }
    if (incoming.rawHeaders.length > MAX_FIELDS * 2) {
      this._connections.holdAt(incoming, 'header-fields');
      new CallerResponse(outgoing, () => true).sendLast(TOO_MANY_FIELDS);
      return;
    }
    const abort = new AbortController();
    outgoing.on('error', () => {
      abort.abort();
    });
    let response = new CallerResponse(outgoing, this._state.isDraining);
    try {
      const arrival = this._open(incoming, outgoing, abort.signal);
      const unanswered: UnansweredRequest = { arrival, isForwarded: false, abort };
      ({ response } = arrival);
      this._unanswered.add(unanswered);
      this._running++;
      onEnd = () => {
        this._running--;
        this._unanswered.delete(unanswered);
        this._memory.release(arrival.holding);
        if (!outgoing.writableFinished) {
          abort.abort();
        }
      };
      await turn;
      if (abort.signal.aborted) {
        return;
      }
      await this._serve(arrival, unanswered);
    } catch (error) {
      this._dependencies.log.write('request.defect', {
        path: incoming.url,
        cause: describeCause(error),
      });
      response.sendGatewayAnswer(INTERNAL_ERROR);
    }
  }

  /** Begins to receive the body, and counts what is held for the request. */
  private _open(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    signal: AbortSignal,
  ): RequestArrival {
    const { clock, configuration, dialect } = this._dependencies;
    const { socket } = incoming;
    const caller = dialect.parseCallerRequest(incoming.rawHeaders);
    const workspace =
      caller.key === undefined ? undefined : configuration.findWorkspace(caller.key);
    const receivedAt = clock.now();
    const holding = this._memory.open(
      {
        caller: workspace === undefined ? (socket.remoteAddress ?? '') : `key ${workspace.name}`,
        connection: socket,
        close: () => {
          if (holding.state === HoldingState.Receiving) {
            reception.fail(BodyFailure.NoMemory);
          } else {
            this._connections.close(socket, 'memory');
          }
        },
      },
      receivedAt,
    );
    const reception = this._bodyReader.open(incoming, holding, {
      close: (reason) => {
        this._connections.close(socket, reason);
      },
      hold: (reason) => {
        this._connections.hold(socket, reason);
      },
    });
    const response = new CallerResponse(
      outgoing,
      // A connection that is closed while its caller still sends a body loses the answer.
      () => this._state.isDraining() && incoming.complete,
      (bytes) => {
        holding.state = HoldingState.Unread;
        this._resident.check();
        for (const { close } of this._memory.add(holding, bytes, clock.now())) {
          close();
        }
      },
    );
    return { incoming, caller, receivedAt, holding, reception, response, signal };
  }

  private async _serve(arrival: RequestArrival, unanswered: UnansweredRequest): Promise<void> {
    const { clock, log, metrics } = this._dependencies;
    const { caller, incoming, receivedAt } = arrival;
    if (!this._state.isClosed()) {
      this._lastRequestAt = receivedAt;
    }
    const admitted = await this._admit(arrival);
    unanswered.isForwarded = admitted.isOk;
    const request = admitted.isOk ? admitted.value : undefined;
    const report = admitted.isOk ? await this._forward(admitted.value) : undefined;
    if (admitted.isErr) {
      this._reject(arrival, admitted.error);
    }
    const ending = report?.ending ?? `own-${admitted.isErr ? admitted.error.status : 0}`;
    const tookMs = Math.round(clock.now() - receivedAt);
    metrics.increment('tanager_requests_total', { ending, kind: request?.route.kind ?? 'none' });
    metrics.observe('tanager_request_ms', tookMs, { kind: request?.route.kind ?? 'none' });
    log.write('request.finished', {
      request: request?.id ?? caller.attemptId,
      ...(request === undefined ? { path: incoming.url } : describeRequest(request)),
      ...report,
      ending,
      tookMs,
      version: this._dependencies.configuration.current?.version,
    });
  }

  /** Answers a request that is not forwarded, whether or not its body has arrived. */
  private _reject({ reception, response }: RequestArrival, answer: GatewayAnswer): void {
    const { statedBytes = Number.POSITIVE_INFINITY } = reception;
    if (reception.isComplete) {
      response.sendGatewayAnswer(answer);
    } else if (answer === BODY_TOO_SLOW) {
      response.sendGatewayAnswer(answer, true);
    } else if (statedBytes <= MAX_KEPT_BODY_BYTES) {
      response.sendGatewayAnswer(answer);
      void reception.drop();
    } else {
      response.sendEarly(answer, reception.drop());
    }
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
  private async _admit(arrival: RequestArrival): Promise<Result<ForwardedRequest, GatewayAnswer>> {
    const { configuration, mayBeOutdated, random } = this._dependencies;
    const { caller, holding, incoming, receivedAt, reception, response, signal } = arrival;
    const { rawHeaders } = incoming;
    const current = configuration.current ?? (await this._awaitConfiguration());
    if (current === undefined || this._state.isClosed()) {
      return Result.err(current === undefined ? UNREADY : this._draining());
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
    if (workspace === undefined && configuration.needsKeys && !route.allowsAnonymous) {
      return Result.err(mayBeOutdated() ? OUTDATED : UNKNOWN_KEY);
    }
    const service = configuration.service(chooseService(route.shares, random.next()));
    if (service === undefined) {
      return Result.err(UNREADY);
    }
    const timeoutMs = Math.min(caller.remainingMs ?? route.timeoutMs, route.timeoutMs);
    const deadlineAt = receivedAt + timeoutMs;
    const read = await reception.read(current.limits.bodyBytes, deadlineAt, signal);
    if (read.isErr) {
      return this._refuse(incoming, read.error, BODY_ANSWERS[read.error]);
    }
    if (this._state.isClosed() || !this._state.admits(deadlineAt)) {
      return Result.err(this._draining());
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
      deadlineAt: Math.min(deadlineAt, this._state.lastAnswerAt()),
      response,
      signal,
    });
  }

  private _refuse(
    { socket }: IncomingMessage,
    reason: string,
    answer: GatewayAnswer,
  ): Result<ForwardedRequest, GatewayAnswer> {
    // A connection that is held was counted.
    if (answer !== CALLER_DISCONNECTED && answer !== TOO_MANY_PIECES) {
      this._connections.record('caller.refused', reason, socket.remoteAddress);
    }
    return Result.err(answer);
  }
}

/** A request whose head has arrived. */
interface RequestArrival {
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
};

/** The host where nothing else is stated. */
const DEFAULT_HOST = { memoryBytes: 350_000_000, maxDescriptors: 4_096 } as const;

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
