/** HTTP endpoints beside the front: readiness, addresses for callers, and metrics. */
import { createAdaptorServer } from '@hono/node-server';
import { DisposableOwner, type Metrics, toDisposable } from '@tanagerdyke/kernel';
import type { Membership } from '@tanagerdyke/mesh';
import { Hono } from 'hono';
import { findAddresses } from '../common/CallerAddresses.js';
import type { DrainingNodes } from '../common/DrainingNodes.js';
import type { Dialect } from '../common/services/Services.js';

const OK = 200;
const UNAVAILABLE = 503;
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
}

/** Serves all control endpoints on each of its addresses. */
export class ControlServer extends DisposableOwner {
  private readonly _app = new Hono();

  constructor(options: ControlServerOptions) {
    super();
    const { dialect, drainingNodes, isReady, membership, metrics, metricsPath } = options;
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
