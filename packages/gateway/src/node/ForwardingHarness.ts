/**
 * A gateway front between scripted targets and a raw caller, over loopback, for tests of what
 * becomes of a request. Its dialect uses header names of its own. Not shipped.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { ErrorKind, Metrics, SeededRandom, ServiceError, SystemClock } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { DecisionLog } from '../common/DecisionLog.js';
import { findHeader, keepEndToEnd } from '../common/HttpHeaders.js';
import {
  CallKind,
  type EngineProfile,
  type ForwardingConfiguration,
  type ForwardRoute,
  type TargetEntry,
} from '../common/Messages.js';
import { EngineScheduler, type WorkPublisher } from '../common/placement/EngineScheduler.js';
import { type EngineWork, LoadBoard } from '../common/placement/LoadBoard.js';
import { TargetHealth } from '../common/placement/TargetHealth.js';
import type { Dialect, EngineReservations, RecordDecoder } from '../common/services/Services.js';
import { SharedRetryBudget } from '../common/SharedRetryBudget.js';
import { ConfigurationState } from '../common/state/ConfigurationState.js';
import { KeyedTable } from '../common/state/KeyedTable.js';
import { TargetTable } from '../common/state/TargetTable.js';
import { GatewayFront } from './GatewayFront.js';
import { Upstream } from './Upstream.js';

const HOST = '127.0.0.1';

/** Answers one request that a target received. */
export type TargetScript = (socket: Socket, request: string) => void;

/** Engines that take no reservations. */
export const noReservations: EngineReservations = {
  reserve: () => Promise.resolve(Result.err(refusal('no reservations here'))),
  release: () => Promise.resolve(Result.ok(undefined)),
};

/** Keeps the work of the only node, `n`, on its board. */
export function publisherTo(board: LoadBoard): WorkPublisher {
  const keep = (work: EngineWork): void => {
    board.set('n', work);
  };
  return {
    publish: keep,
    begin: keep,
    withdraw: (id) => {
      board.end('n', id);
    },
  };
}

/** Short names in place of a platform's. */
export const testDialect: Dialect = {
  readyPath: '/ready',
  addressPath: '/addresses',
  readCaller: (headers) => ({
    attemptId: findHeader(headers, 'attempt'),
    host: findHeader(headers, 'host') ?? '',
    waitsMs: numberOf(findHeader(headers, 'waits')),
    key: findHeader(headers, 'key'),
    promptTokens: numberOf(findHeader(headers, 'prompt')) ?? 0,
    outputTokens: numberOf(findHeader(headers, 'output')) ?? 0,
    lastEventId: findHeader(headers, 'last'),
  }),
  markForwarded: (headers, marks) => {
    if (findHeader(headers, 'defect') !== undefined) {
      throw new Error('a defect that a test asked for');
    }
    const kept = keepEndToEnd(headers, new Set(['content-length', 'key', 'waits', 'last']));
    const last = marks.lastEventId === undefined ? [] : ['Last', marks.lastEventId];
    return [...kept, 'Waits', String(Math.floor(marks.waitsMs)), 'Target', marks.targetId, ...last];
  },
  readAnswer: (status, headers) => ({
    status,
    attemptId: findHeader(headers, 'attempt'),
    isNotRun: findHeader(headers, 'not-run') !== undefined,
    isMisdirected: false,
    failedAddress: findHeader(headers, 'failed-at'),
  }),
  readAddressQuestion: () => ({ region: '', availabilityZone: '' }),
  writeAddresses: (addresses) => JSON.stringify(addresses),
};

const profile: EngineProfile = {
  slots: 4,
  memoryTokens: 100_000,
  stepMs: 1,
  sequenceMs: 0,
  contextThousandMs: 0,
  prefillTokensPerMs: 1_000,
  pairsMillionMs: 0,
  chunkTokens: 2_000,
  stride: 1,
};

/** The routes of the harness, by their kind. */
export const configuration: ForwardingConfiguration = {
  version: 1,
  routes: [
    routeOf('/idempotent/', CallKind.Idempotent, 'app'),
    routeOf('/once/', CallKind.NonIdempotent, 'app'),
    routeOf('/stream/', CallKind.Stream, 'engine'),
  ],
  services: [
    { name: 'app', maxConnections: 50, engine: undefined },
    { name: 'engine', maxConnections: 50, engine: profile },
  ],
  workspaces: [{ name: 'w', keys: ['k'], priority: undefined }],
  limits: { headerBytes: 8_192, bodyBytes: 1_000, headerTimeoutMs: 2_000, idleTimeoutMs: 5_000 },
};

function routeOf(pathPrefix: string, kind: CallKind, service: string): ForwardRoute {
  return {
    name: pathPrefix,
    host: 'test',
    pathPrefix,
    kind,
    timeoutMs: 3_000,
    latencyTargetMs: 300,
    pauseTargetMs: 200,
    maxAttempts: 2,
    isOpen: false,
    isResumable: true,
    priority: 1,
    shares: [{ service, weight: 1 }],
  };
}

/** One front with its targets. */
export class ForwardingHarness {
  public readonly lines: string[] = [];
  public readonly received: string[] = [];
  public isDraining = false;
  private readonly _clock = new SystemClock();
  private readonly _servers: Server[] = [];
  private readonly _upstream = new Upstream();
  private readonly _configurationRecords = new KeyedTable('configuration');
  private readonly _targetRecords = new KeyedTable('targets');
  private readonly _entries = new Map<string, TargetEntry>();
  private readonly _front: GatewayFront;
  private _port = 0;

  constructor(budgetAllowance = 100) {
    const clock = this._clock;
    const random = new SeededRandom(1);
    const log = new DecisionLog(clock, 'n', (line) => this.lines.push(line) > 0);
    const decoder: RecordDecoder = {
      isConfiguration: () => true,
      configuration: () => Result.ok(configuration),
      target: (id) => {
        const entry = this._entries.get(id);
        return entry === undefined ? Result.err(refusal('unknown')) : Result.ok(entry);
      },
    };
    const health = new TargetHealth(clock);
    const targets = new TargetTable({
      clock,
      table: this._targetRecords,
      decoder,
      log,
      isUnsettled: () => false,
    });
    const board = new LoadBoard(clock, 'n');
    const publisher = publisherTo(board);
    const availabilityZone = 'a';
    this._front = new GatewayFront(
      {
        clock,
        random,
        metrics: new Metrics(),
        log,
        dialect: testDialect,
        configuration: new ConfigurationState(this._configurationRecords, decoder, log),
        targets,
        health,
        scheduler: new EngineScheduler({
          clock,
          targets,
          board,
          publisher,
          health,
          availabilityZone,
          random,
          liveNodes: () => 1,
          newsDelayMs: () => 0,
        }),
        engines: noReservations,
        budget: new SharedRetryBudget(
          clock,
          { ratio: 0, windowMs: 10_000, allowance: budgetAllowance },
          () => 1,
        ),
        upstream: this._upstream,
        availabilityZone,
        liveNodes: () => 1,
      },
      { isClosed: () => false, isDraining: () => this.isDraining },
    );
  }

  /** Listens; the configuration is known unless the test publishes it itself. */
  public async start(isConfigured = true): Promise<void> {
    const probe = createServer();
    this._port = await listen(probe);
    await close(probe);
    await this._front.listen(`${HOST}:${this._port}`);
    if (isConfigured) {
      this.publish();
    }
  }

  /** Makes the configuration known to the front. */
  public publish(): void {
    this._configurationRecords.replace({
      records: [{ key: 'configuration', offset: 0, value: Buffer.from('x') }],
      end: 1,
    });
  }

  public async stop(): Promise<void> {
    this._front.dispose();
    this._upstream.dispose();
    await Promise.all(this._servers.map(close));
  }

  /** Adds a target that answers each whole request by a script. */
  public async addTarget(id: string, service: string, script: TargetScript): Promise<void> {
    const server = createServer((socket) => {
      let text = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
        if (isWhole(text)) {
          this.received.push(text);
          const request = text;
          text = '';
          script(socket, request);
        }
      });
    });
    this._servers.push(server);
    this._offer(id, service, await listen(server));
  }

  /** Adds a target that nothing listens for. */
  public async addUnreachableTarget(id: string, service: string): Promise<void> {
    const server = createServer();
    const port = await listen(server);
    await close(server);
    this._offer(id, service, port);
  }

  private _offer(id: string, service: string, port: number): void {
    this._entries.set(id, {
      id,
      service,
      address: `${HOST}:${port}`,
      availabilityZone: 'a',
      slots: profile.slots,
      isDraining: false,
      bornAt: undefined,
    });
    const offset = this._targetRecords.end;
    this._targetRecords.apply([{ key: id, offset, value: Buffer.from('x') }], offset + 1);
  }

  /** Sends raw bytes and returns everything that comes until the connection closes. */
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

  /** Sends a request on a connection of its own. */
  public ask(path: string, headers: readonly string[] = [], body = ''): Promise<string> {
    const lines = [
      `POST ${path} HTTP/1.1`,
      'Host: test',
      'Key: k',
      'Attempt: a1',
      'Connection: close',
      `Content-Length: ${body.length}`,
      ...headers,
    ];
    return this.send(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }
}

/** A whole answer to the harness's request. */
export function answerOf(status: number, headers: readonly string[], body: string): string {
  const lines = [
    `HTTP/1.1 ${status} Scripted`,
    'Attempt: a1',
    `Content-Length: ${body.length}`,
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** The beginning of a chunked event stream. */
export const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Type: text/event-stream\r\n' +
  'Transfer-Encoding: chunked\r\n\r\n';
export const STREAM_END = '0\r\n\r\n';

/** One event as a chunk. */
export function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function isWhole(text: string): boolean {
  const head = text.indexOf('\r\n\r\n');
  const length = /content-length: (\d+)/i.exec(text)?.[1] ?? '0';
  return head !== -1 && text.length >= head + 4 + Number(length);
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      const bound = server.address();
      resolve(typeof bound === 'object' && bound !== null ? bound.port : 0);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}

function numberOf(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

function refusal(message: string): ServiceError {
  return new ServiceError(ErrorKind.Overloaded, message, { remedy: 'none' });
}
