/**
 * The address for callers: reads a request whole, finds its route, its workspace and its deadline,
 * and hands it to the forwarder of its kind. Requests that can't be forwarded are answered at once.
 *
 * The raw header list has to pass unchanged, which the Headers type of fetch would merge, so this
 * front uses node:http directly.
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
import { chooseShare } from '../common/RouteShares.js';
import { BodyReader } from './BodyReader.js';
import { CallerResponse, type OwnAnswer } from './CallerResponse.js';
import { forwardCall } from './CallForwarder.js';
import {
  type ForwardedRequest,
  type ForwardingParts,
  type RequestReport,
} from './ForwardedRequest.js';
import {
  CALLER_LEFT,
  DEFECT,
  HEADERS_TOO_LARGE,
  LEAVING,
  NO_ROUTE,
  TOO_LARGE,
  UNKNOWN_KEY,
  UNREADY,
} from './OwnAnswers.js';
import { forwardStream } from './StreamForwarder.js';

/** A header block beyond this is refused by the parser; the configured limit is below it. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** How often connections are checked for their time limits. */
const CHECK_INTERVAL_MS = 500;
/** Room over the configured idle time, so that callers close first. */
const IDLE_MARGIN_MS = 1_000;
/** Colon and space, or the end of a line. */
const SEPARATOR_BYTES = 2;
/** A caller that tries another address loses more than this. */
const CONFIGURATION_WAIT_MS = 500;

/** Whether new requests are refused, and whether connections close after their answer. */
export interface FrontState {
  readonly isClosed: () => boolean;
  readonly isDraining: () => boolean;
}

/** The front of one node. */
export class GatewayFront extends DisposableOwner {
  private readonly _server: Server;
  private readonly _bodies = new BodyReader();
  private _running = 0;
  private _lastRequestAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _parts: ForwardingParts,
    private readonly _state: FrontState,
  ) {
    super();
    this._server = createServer(
      { maxHeaderSize: PARSER_HEADER_BYTES, connectionsCheckingInterval: CHECK_INTERVAL_MS },
      (request, response) => void this._serveSafely(request, response),
    );
    this.register(
      toDisposable(() => {
        this._server.close();
        this._server.closeAllConnections();
      }),
    );
    this.register(
      _parts.configuration.onChange((configuration) => {
        this._applyLimits(configuration);
      }),
    );
  }

  /** Requests under way. */
  public get running(): number {
    return this._running;
  }

  /** When the last request came, on the clock. */
  public get lastRequestAt(): number {
    return this._lastRequestAt;
  }

  /** Listens on `IP:port`. Rejects when the address is taken. */
  public listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(Number(port), host, resolve);
    });
  }

  private _applyLimits({ limits }: ForwardingConfiguration): void {
    this._server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    this._server.headersTimeout = limits.headerTimeoutMs;
  }

  /** A defect costs its own request an answer without a promise, and no other. */
  private async _serveSafely(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const response = new CallerResponse(outgoing, this._state.isDraining);
    this._running++;
    try {
      await this._serve(incoming, outgoing, response);
    } catch (error) {
      this._parts.log.note('request.defect', { path: incoming.url, cause: describeCause(error) });
      response.answer(DEFECT);
    } finally {
      this._running--;
    }
  }

  private async _serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    response: CallerResponse,
  ): Promise<void> {
    const { clock, log, metrics } = this._parts;
    const receivedAt = clock.now();
    this._lastRequestAt = receivedAt;
    const left = new AbortController();
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) {
        left.abort();
      }
    });
    outgoing.on('error', () => {
      left.abort();
    });
    const admitted = await this._admit(incoming, response, receivedAt, left.signal);
    const report = admitted.isOk ? await this._forward(admitted.value) : undefined;
    const { caller, request } = admitted.isOk
      ? { caller: admitted.value.caller, request: admitted.value }
      : { caller: admitted.error.caller, request: undefined };
    if (admitted.isErr) {
      response.answer(admitted.error.answer);
    }
    const ending = report?.ending ?? `own-${admitted.isErr ? admitted.error.answer.status : 0}`;
    const tookMs = Math.round(clock.now() - receivedAt);
    metrics.increment('tanager_requests_total', { ending, kind: request?.route.kind ?? 'none' });
    metrics.observe('tanager_request_ms', tookMs, { kind: request?.route.kind ?? 'none' });
    log.note('request.finished', {
      request: request?.id ?? caller?.attemptId,
      ...(request === undefined ? { path: incoming.url } : describe(request)),
      ...report,
      ending,
      tookMs,
      version: this._parts.configuration.current?.version,
    });
  }

  private _forward(request: ForwardedRequest): Promise<RequestReport> {
    this._parts.budget.noteRequest(request.service.name);
    const { engine } = request.service;
    const handler = FORWARDERS[request.route.kind];
    return handler(this._parts, request, engine);
  }

  /** A node that just started knows its configuration within some hundred ms, or is in an outage. */
  private _awaitConfiguration(): Promise<ForwardingConfiguration | undefined> {
    const { clock, configuration } = this._parts;
    return awaitEvent(clock, configuration.onChange, () => true, CONFIGURATION_WAIT_MS).value;
  }

  /** Reads and checks a request. */
  private async _admit(
    incoming: IncomingMessage,
    response: CallerResponse,
    receivedAt: number,
    signal: AbortSignal,
  ): Promise<Result<ForwardedRequest, Rejection>> {
    const { configuration, dialect, random } = this._parts;
    const caller = dialect.readCaller(incoming.rawHeaders);
    const current = configuration.current ?? (await this._awaitConfiguration());
    if (current === undefined || this._state.isClosed()) {
      return reject(caller, current === undefined ? UNREADY : LEAVING);
    }
    if (lengthOf(incoming.rawHeaders) > current.limits.headerBytes) {
      return reject(caller, HEADERS_TOO_LARGE);
    }
    const path = incoming.url ?? '/';
    const route = configuration.findRoute(caller.host, pathOnly(path));
    if (route === undefined) {
      return reject(caller, NO_ROUTE);
    }
    const workspace =
      caller.key === undefined ? undefined : configuration.findWorkspace(caller.key);
    if (workspace === undefined && configuration.needsKeys && !route.isOpen) {
      return reject(caller, UNKNOWN_KEY);
    }
    const service = configuration.service(chooseShare(route.shares, random.next()));
    if (service === undefined) {
      return reject(caller, UNREADY);
    }
    const body = await this._bodies.read(incoming, current.limits.bodyBytes, signal);
    if (body === undefined) {
      return reject(caller, signal.aborted ? CALLER_LEFT : TOO_LARGE);
    }
    const waitsMs = Math.min(caller.waitsMs ?? route.timeoutMs, route.timeoutMs);
    return Result.ok({
      id: caller.attemptId ?? random.identifier(),
      method: incoming.method ?? 'GET',
      path,
      headers: incoming.rawHeaders,
      body,
      caller,
      route,
      service,
      workspace,
      receivedAt,
      deadlineAt: receivedAt + waitsMs,
      response,
      signal,
    });
  }
}

/** Why a request is not forwarded. */
interface Rejection {
  readonly caller: CallerRequest | undefined;
  readonly answer: OwnAnswer;
}

function reject(caller: CallerRequest, answer: OwnAnswer): Result<ForwardedRequest, Rejection> {
  return Result.err({ caller, answer });
}

type Forwarder = (
  parts: ForwardingParts,
  request: ForwardedRequest,
  engine: EngineProfile | undefined,
) => Promise<RequestReport>;

/** A stream of a plain service needs no placement; it is held whole like a call. */
const FORWARDERS: Record<CallKind, Forwarder> = {
  [CallKind.Idempotent]: forwardCall,
  [CallKind.NonIdempotent]: forwardCall,
  [CallKind.Stream]: (parts, request, engine) =>
    engine === undefined ? forwardCall(parts, request) : forwardStream(parts, request, engine),
};

/** Bytes of a header block, with the separators of each line. */
function lengthOf(headers: RawHeaders): number {
  return headers.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, 0);
}

function pathOnly(path: string): string {
  const query = path.indexOf('?');
  return query === -1 ? path : path.slice(0, query);
}

function describe({
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
