/**
 * HTTP endpoints beside the front: readiness, addresses for callers, metrics and explanations. Requests
 * have no bodies; one that has is answered without it, and its connection is closed.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  type Metrics,
  NotRun,
  runInBackground,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { Membership } from '@tanagerdyke/mesh';
import { Hono } from 'hono';
import type { Result } from 'true-myth';
import type { ConnectionLimits } from '../common/callers/CallerLimits.js';
import { findAddresses } from '../common/CallerAddresses.js';
import type { DecisionLog } from '../common/DecisionLog.js';
import type { DrainingNodes } from '../common/DrainingNodes.js';
import type { Dialect } from '../common/services/Services.js';
import { CallerConnections, MAX_FIELDS, SERVER_OPTIONS } from './CallerConnections.js';
import { CallerResponse } from './CallerResponse.js';
import { BODY_TOO_LARGE, TOO_MANY_FIELDS } from './GatewayAnswers.js';
import type { ExplanationError, RequestExplanation } from './RequestExplainer.js';

const OK = 200;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;
const EXPLAIN_PATH = '/v1/operator/explain';
/** How long callers cache addresses; short, so that they soon stop using a failed host. */
const ADDRESS_TTL_MS = 2_000;
/** State that the endpoints report, and their formats. */
export interface ControlServerOptions {
  readonly dialect: Dialect;
  readonly membership: Membership;
  readonly drainingNodes: DrainingNodes;
  readonly metrics: Metrics;
  readonly metricsPath: string;
  readonly isReady: () => boolean;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Connections to all addresses together. */
  readonly limits: ConnectionLimits;
  /** Explains where the request that a query describes would go. */
  readonly explain: (search: string) => Result<RequestExplanation, ExplanationError>;
}

/** Serves all control endpoints on each of its addresses. */
export class ControlServer extends DisposableOwner {
  private readonly _app = new Hono();
  private readonly _connections: CallerConnections;

  constructor(options: ControlServerOptions) {
    super();
    this._connections = this.register(new CallerConnections(options));
    const { dialect, drainingNodes, explain, isReady, membership, metrics, metricsPath } = options;
    this._app.get(dialect.readyPath, (context) => context.body(null, isReady() ? OK : UNAVAILABLE));
    this._app.get(dialect.addressPath, (context) => {
      const query = new URL(context.req.url).searchParams;
      const addresses = findAddresses(
        membership,
        dialect.parseAddressQuery(query),
        drainingNodes.listed,
      );
      const body = dialect.formatAddresses(addresses, ADDRESS_TTL_MS);
      return context.body(body, addresses.length === 0 ? UNAVAILABLE : OK, {
        'Content-Type': 'application/json',
      });
    });
    this._app.get(EXPLAIN_PATH, (context) => {
      const explained = explain(new URL(context.req.url).search);
      return explained.isOk
        ? context.json(explained.value, OK)
        : context.json(
            { kind: ErrorKind.BadRequest, notRun: NotRun.True, ...explained.error },
            BAD_REQUEST,
          );
    });
    this._app.get(metricsPath, (context) => context.text(metrics.render()));
  }

  /** Listens on `IP:port`. Rejects if the address is in use. */
  public async listen(address: string): Promise<void> {
    const [hostname, port] = address.split(':');
    const serve = getRequestListener(this._app.fetch);
    const server = createServer(SERVER_OPTIONS, (incoming, outgoing) => {
      runInBackground('control.request', () =>
        this._serve(incoming, outgoing, () => serve(incoming, outgoing)),
      );
    });
    this._connections.attach(server);
    this.register(
      toDisposable(() => {
        server.close();
        server.closeAllConnections();
      }),
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), hostname, resolve);
    });
  }

  /** Serves a request without a body once those before it on its connection are answered. */
  private async _serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    serve: () => unknown,
  ): Promise<void> {
    const { headers, rawHeaders } = incoming;
    const turn = this._connections.admit(incoming, outgoing, () => undefined);
    if (turn === undefined) {
      return;
    }
    const hasBody =
      Number(headers['content-length'] ?? 0) > 0 || headers['transfer-encoding'] !== undefined;
    if (hasBody || rawHeaders.length > MAX_FIELDS * 2) {
      this._connections.holdAt(incoming, hasBody ? 'body-at-control' : 'header-fields');
      const answer = hasBody ? BODY_TOO_LARGE : TOO_MANY_FIELDS;
      new CallerResponse(outgoing, () => true).sendLast(answer);
      return;
    }
    await turn;
    serve();
  }
}
