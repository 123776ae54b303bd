/** The small addresses beside the front: readiness, caller addresses and metrics. */
import { createAdaptorServer } from '@hono/node-server';
import { DisposableOwner, type Metrics, toDisposable } from '@tanagerdyke/kernel';
import type { Membership } from '@tanagerdyke/mesh';
import { Hono } from 'hono';
import { findAddresses } from '../common/AddressBook.js';
import type { Dialect } from '../common/services/Services.js';

const OK = 200;
const UNAVAILABLE = 503;
/** Callers keep an answer this long; short, so that they leave a lost host soon. */
const ADDRESS_TTL_MS = 2_000;

/** What the fronts answer from. */
export interface ControlOptions {
  readonly dialect: Dialect;
  readonly membership: Membership;
  readonly metrics: Metrics;
  readonly metricsPath: string;
  readonly isReady: () => boolean;
}

/** One app with all control resources; it listens on several addresses. */
export class ControlFronts extends DisposableOwner {
  private readonly _app = new Hono();

  constructor(options: ControlOptions) {
    super();
    const { dialect, isReady, membership, metrics, metricsPath } = options;
    this._app.get(dialect.readyPath, (context) => context.body(null, isReady() ? OK : UNAVAILABLE));
    this._app.get(dialect.addressPath, (context) => {
      const query = new URL(context.req.url).searchParams;
      const addresses = findAddresses(membership, dialect.readAddressQuestion(query));
      const body = dialect.writeAddresses(addresses, ADDRESS_TTL_MS);
      return context.body(body, addresses.length === 0 ? UNAVAILABLE : OK, {
        'Content-Type': 'application/json',
      });
    });
    this._app.get(metricsPath, (context) => context.text(metrics.render()));
  }

  /** Listens on `IP:port`. Rejects when the address is taken. */
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
