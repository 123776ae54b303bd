/**
 * The HTTP server for callers: admits a request and passes it to the forwarder of its kind. Requests
 * that can't be forwarded are answered immediately.
 *
 * It uses node:http directly, since the raw header list has to be forwarded unchanged and the
 * Headers type of fetch would merge repeated headers.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { describeCause, DisposableOwner, runInBackground, toDisposable } from '@tanagerdyke/kernel';
import { type CallerLimits, callerLimits } from '../common/callers/CallerLimits.js';
import { CallerMemory, HoldingState } from '../common/callers/CallerMemory.js';
import { CallKind, type EngineProfile, type ForwardingConfiguration } from '../common/Messages.js';
import { didNotRun } from '../common/Execution.js';
import { BodyFailure, BodyReader } from './BodyReader.js';
import { CallerConnections, MAX_FIELDS, SERVER_OPTIONS } from './CallerConnections.js';
import { CallerResponse, type GatewayAnswer } from './CallerResponse.js';
import { forwardCall } from './CallForwarder.js';
import {
  type ForwardedRequest,
  type ForwardingDependencies,
  RequestOutcome,
  type RequestReport,
} from './ForwardedRequest.js';
import { BODY_TOO_SLOW, ENDING, INTERNAL_ERROR, TOO_MANY_FIELDS } from './GatewayAnswers.js';
import { type FrontState, type RequestArrival, RequestAdmission } from './RequestAdmission.js';
import { ResidentMemory } from './ResidentMemory.js';
import { forwardStream } from './StreamForwarder.js';

/** Added to the configured idle time, so that callers close idle connections first. */
const IDLE_MARGIN_MS = 1_000;
/** A body up to this size is read to its end after an early answer, and the connection is kept. */
const MAX_KEPT_BODY_BYTES = 64 * 1024;

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
  private readonly _admission: RequestAdmission;
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
    this._admission = new RequestAdmission({
      dependencies: _dependencies,
      state: _state,
      onRefused: (reason, { socket }) => {
        this._connections.record('caller.refused', reason, socket.remoteAddress);
      },
    });
    metrics.gauge('tanager_caller_bytes', () => memory.bytes);
    metrics.gauge('tanager_caller_connections', () => this._connections.count);
    this._server = createServer(SERVER_OPTIONS, (request, response) => {
      runInBackground('request', () => this._handleRequest(request, response));
    });
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
        this._reject(arrival, this._admission.drainingAnswer);
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
    const admitted = await this._admission.admit(arrival);
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
    if (response.isAnswered) {
      return;
    }
    const { statedBytes = Number.POSITIVE_INFINITY } = reception;
    if (reception.isComplete) {
      response.sendGatewayAnswer(answer);
    } else if (answer === BODY_TOO_SLOW) {
      response.sendGatewayAnswer(answer, true);
    } else if (statedBytes <= MAX_KEPT_BODY_BYTES) {
      response.sendGatewayAnswer(answer);
      runInBackground('request.body', () => reception.drop());
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
      response.sendGatewayAnswer(
        didNotRun(report.execution) ? this._admission.drainingAnswer : ENDING,
      );
      return { ...report, ending: RequestOutcome.Ended };
    }
    return report;
  }
}

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
