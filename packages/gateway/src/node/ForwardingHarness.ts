/**
 * A gateway front between scripted targets and a caller that sends raw bytes, over loopback
 * connections, for tests. Not shipped.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { closeServer, listenOnLoopback } from '@tanagerdyke/fakes';
import { type Clock, SystemClock } from '@tanagerdyke/kernel';
import type { ForwardingConfiguration } from '../common/Messages.js';
import { ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { GatewayFront } from './GatewayFront.js';
import { directConnections } from './paths/DirectConnections.js';
import { Upstream } from './Upstream.js';

const HOST = '127.0.0.1';
const DRAIN_RETRY_MS = 40;
/** Id of requests for which the test gives none. */
const ATTEMPT = 'a1';

/** Handles one request at a target. */
export type TargetScript = (socket: Socket, request: string) => void;

/** A front with its targets, the log lines, and the requests that the targets received. */
export class ForwardingHarness {
  public readonly lines: string[] = [];
  public readonly received: string[] = [];
  public isDraining = false;
  /** Whether the front refuses new requests. */
  public isClosed = false;
  public lastAnswerAt = Number.POSITIVE_INFINITY;
  /** Whether requests are refused that may last until after `lastAnswerAt`. */
  public isLate = false;
  private readonly _servers: Server[] = [];
  private readonly _upstream = new Upstream(directConnections(new SystemClock()));
  private readonly _fixture: ForwardingFixture;
  public readonly front: GatewayFront;
  private _port = 0;

  constructor(budgetAllowance?: number) {
    this._fixture = new ForwardingFixture({
      clock: new SystemClock(),
      upstream: this._upstream,
      onLine: (line) => this.lines.push(line),
      ...(budgetAllowance !== undefined && { budgetAllowance }),
    });
    this.front = new GatewayFront(this._fixture.dependencies, {
      isClosed: () => this.isClosed,
      admits: (deadlineAt) => !this.isLate || deadlineAt <= this.lastAnswerAt,
      retryAfterMs: () => DRAIN_RETRY_MS,
      isDraining: () => this.isDraining,
      lastAnswerAt: () => this.lastAnswerAt,
    });
  }

  /** Whether a newer configuration may be in force than the published one. */
  public set mayBeOutdated(value: boolean) {
    this._fixture.mayBeOutdated = value;
  }

  public get clock(): Clock {
    return this._fixture.dependencies.clock;
  }

  /** Bytes of the large answers that are being buffered. */
  public get bufferedBytes(): number {
    return this._fixture.dependencies.answerBuffers.bytes;
  }

  /** Listens, and publishes the configuration unless the test does so itself. */
  public async start(isConfigured = true): Promise<void> {
    const probe = createServer();
    this._port = await listenOnLoopback(probe);
    await closeServer(probe);
    await this.front.listen(`${HOST}:${this._port}`);
    if (isConfigured) {
      this.publishConfiguration();
    }
  }

  /** Applies the configuration at the front. */
  public publishConfiguration(): void {
    this._fixture.publishConfiguration();
  }

  /** Applies a newer configuration with some changes at the front. */
  public changeConfiguration(changes: Partial<ForwardingConfiguration>): void {
    this._fixture.changeConfiguration(changes);
  }

  public async stop(): Promise<void> {
    this.front.dispose();
    this._upstream.dispose();
    await Promise.all(this._servers.map(closeServer));
  }

  /** Adds a target that handles each complete request with a script. */
  public async addTarget(id: string, service: string, script: TargetScript): Promise<void> {
    const server = createServer((socket) => {
      let text = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
        if (isCompleteRequest(text)) {
          this.received.push(text);
          const request = text;
          text = '';
          script(socket, request);
        }
      });
    });
    this._servers.push(server);
    this._registerTarget(id, service, await listenOnLoopback(server));
  }

  /** Removes the entry of a target and closes its connections, as a node does. */
  public removeTarget(id: string): void {
    const entry = this._fixture.dependencies.targets.find(id);
    this._fixture.removeTarget(id);
    if (entry !== undefined) {
      this._upstream.closeTarget(entry);
    }
  }

  /** Adds a target with a port on which nothing listens. */
  public async addUnreachableTarget(id: string, service: string): Promise<void> {
    const server = createServer();
    const port = await listenOnLoopback(server);
    await closeServer(server);
    this._registerTarget(id, service, port);
  }

  private _registerTarget(id: string, service: string, port: number): void {
    this._fixture.addTarget(targetEntry(id, service, `${HOST}:${port}`));
  }

  /** Sends raw bytes and returns everything that arrives until the connection closes. */
  public send(text: string, onConnect?: (socket: Socket) => void): Promise<string> {
    return new Promise((resolve) => {
      let answer = '';
      const socket = connect(this._port, HOST, () => {
        socket.write(text);
        onConnect?.(socket);
      });
      socket.on('data', (chunk) => {
        answer += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        resolve(answer);
      });
    });
  }

  /** Sends a POST request on a new connection and returns the raw answer. */
  public post(
    path: string,
    headers: readonly string[] = [],
    body = '',
    attempt = ATTEMPT,
  ): Promise<string> {
    const lines = [
      `POST ${path} HTTP/1.1`,
      'Host: test',
      'Key: k',
      `Attempt: ${attempt}`,
      'Connection: close',
      `Content-Length: ${body.length}`,
      ...headers,
    ];
    return this.send(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }
}

/** A complete answer to a request of the harness. */
export function answerText(
  status: number,
  headers: readonly string[],
  body: string,
  attempt = ATTEMPT,
): string {
  const lines = [
    `HTTP/1.1 ${status} Scripted`,
    `Attempt: ${attempt}`,
    `Content-Length: ${body.length}`,
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Status and headers of a chunked event stream. */
export const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Type: text/event-stream\r\n' +
  'Transfer-Encoding: chunked\r\n\r\n';
export const STREAM_END = '0\r\n\r\n';

/** The attempt id of a request. */
export function attemptOf(request: string): string {
  return /^attempt: (\w+)/im.exec(request)?.[1] ?? '';
}

/** Encodes a text as one chunk. */
export function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function isCompleteRequest(text: string): boolean {
  const head = text.indexOf('\r\n\r\n');
  const length = /content-length: (\d+)/i.exec(text)?.[1] ?? '0';
  return head !== -1 && text.length >= head + 4 + Number(length);
}
