/** The HTTP server of a node, with all limits from the settings applied. */
import { createServer, type Server } from 'node:http';
import { serve } from '@hono/node-server';
import {
  type Clock,
  createLogger,
  DisposableOwner,
  ErrorKind,
  LogLevel,
  NotRun,
  ServiceError,
  toDisposable,
} from '@tanagerdyke/kernel';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { ServedNode } from './ServedNode.js';
import { registerAddressRoutes } from './AddressRoutes.js';
import { registerCallRoutes } from './CallRoutes.js';
import { answerClientError } from './ClientErrors.js';
import { registerCompletionRoutes } from './CompletionRoutes.js';
import type { HttpApp } from './HttpApp.js';
import { ConnectionLimit } from './ConnectionLimit.js';
import { registerOperatorRoutes } from './OperatorRoutes.js';
import { problemResponse } from './Problem.js';

/** Serves the HTTP routes of callers and operators. */
export class HttpServer extends DisposableOwner {
  private constructor(
    private readonly _server: Server,
    private readonly _clock: Clock,
  ) {
    super();
    this.register(
      toDisposable(() => {
        this._server.close();
        this._server.closeAllConnections();
      }),
    );
  }

  /** Starts listening on the caller address of the settings. Rejects if the address is in use. */
  public static async listen(node: ServedNode, operatorToken: string): Promise<HttpServer> {
    const { limits, listen } = node.settings;
    const [hostname, port] = listen.caller.split(':');
    const connections = new ConnectionLimit(limits.connections);
    const app = createApp(node, operatorToken, connections);
    const server = await new Promise<Server>((resolve, reject) => {
      const created = serve(
        {
          fetch: app.fetch,
          hostname,
          port: Number(port),
          createServer,
          serverOptions: {
            maxHeaderSize: limits.headerBytes,
            headersTimeout: limits.headersTimeoutMs,
            requestTimeout: limits.requestTimeoutMs,
            keepAliveTimeout: limits.idleTimeoutMs,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
          },
        },
        () => {
          resolve(created as Server);
        },
      );
      created.once('error', reject);
    });
    connections.attach(server);
    server.on('clientError', (error, socket) => {
      answerClientError(error, socket, limits, node.metrics);
    });
    return new HttpServer(server, node.clock);
  }

  /** The port that the server listens on; 0 when it is closed. */
  public get port(): number {
    const address = this._server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops listening and waits up to `FLUSH_TIMEOUT_MS` until pending responses have been sent. */
  public async close(): Promise<void> {
    const closed = new AbortController();
    this._server.close(() => {
      closed.abort();
    });
    const endsAt = this._clock.now() + FLUSH_TIMEOUT_MS;
    while (!closed.signal.aborted && this._clock.now() < endsAt) {
      this._server.closeIdleConnections();
      await this._clock.sleep(FLUSH_POLL_INTERVAL_MS, closed.signal);
    }
    this.dispose();
  }
}

const CONNECTION_CHECK_INTERVAL_MS = 1_000;
const FLUSH_TIMEOUT_MS = 2_000;
const FLUSH_POLL_INTERVAL_MS = 20;

function createApp(node: ServedNode, operatorToken: string, connections: ConnectionLimit): HttpApp {
  const app: HttpApp = new Hono();
  const logger = createLogger(node.clock, node.settings.node.name, 'http');
  app.use(async (context, next) => {
    if (connections.isOverLimit(context.env.incoming.socket)) {
      const refusal = connections.createRefusal();
      node.metrics.increment('tanager_refusals_total', { kind: refusal.kind });
      const response = problemResponse(refusal);
      response.headers.set('connection', 'close');
      return response;
    }
    await next();
    return undefined;
  });
  app.use(
    bodyLimit({
      maxSize: node.settings.limits.bodyBytes,
      onError: () => problemResponse(tooLargeError(node.settings.limits.bodyBytes)),
    }),
  );
  registerAddressRoutes(app, node);
  registerCompletionRoutes(app, node);
  registerCallRoutes(app, node);
  registerOperatorRoutes(app, node, operatorToken);
  app.notFound((context) => problemResponse(notFoundError(context.req.path)));
  app.onError((error) => {
    logger.log(LogLevel.Error, 'defect', { stack: error.stack });
    return problemResponse(internalError(error));
  });
  return app;
}

function tooLargeError(limit: number): ServiceError {
  return new ServiceError(ErrorKind.TooLarge, `the body is larger than ${limit} bytes`, {
    remedy: 'send a smaller body',
    notRun: NotRun.True,
  });
}

function notFoundError(path: string): ServiceError {
  return new ServiceError(ErrorKind.NotFound, `no resource at ${path}`, {
    remedy: 'see the list of resources in README.md',
    notRun: NotRun.True,
  });
}

function internalError(error: Error): ServiceError {
  return new ServiceError(ErrorKind.Internal, 'an unexpected error occurred on this node', {
    remedy: 'report it with the log of this node',
    cause: error,
  });
}
