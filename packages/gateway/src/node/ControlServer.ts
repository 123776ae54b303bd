/** HTTP endpoints beside the front: readiness, addresses for callers, metrics, explanations. */
import { createAdaptorServer } from '@hono/node-server';
import {
  DisposableOwner,
  ErrorKind,
  type Metrics,
  NotRun,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { Membership } from '@tanagerdyke/mesh';
import { Hono } from 'hono';
import { findAddresses } from '../common/CallerAddresses.js';
import type { Result } from 'true-myth';
import type { Dialect } from '../common/services/Services.js';
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
  readonly metrics: Metrics;
  readonly metricsPath: string;
  readonly isReady: () => boolean;
  /** Explains where the request that a query describes would go. */
  readonly explain: (search: string) => Result<RequestExplanation, ExplanationError>;
}

/** Serves all control endpoints on each of its addresses. */
export class ControlServer extends DisposableOwner {
  private readonly _app = new Hono();

  constructor(options: ControlServerOptions) {
    super();
    const { dialect, explain, isReady, membership, metrics, metricsPath } = options;
    this._app.get(dialect.readyPath, (context) => context.body(null, isReady() ? OK : UNAVAILABLE));
    this._app.get(dialect.addressPath, (context) => {
      const query = new URL(context.req.url).searchParams;
      const addresses = findAddresses(membership, dialect.parseAddressQuery(query));
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
    const server = createAdaptorServer({ fetch: this._app.fetch });
    this.register(
      toDisposable(() => {
        server.close();
        if ('closeAllConnections' in server) {
          server.closeAllConnections();
        }
      }),
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), hostname, resolve);
    });
  }
}
