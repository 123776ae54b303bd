/**
 * A harness for tests of the HTTP server: the real server on a loopback socket with a fake node,
 * and clients that send raw bytes.
 */
import { createHash } from 'node:crypto';
import { connect, type Socket } from 'node:net';
import { objectSchema, ObjectSet } from '@tanagerdyke/configuration';
import type { EngineFrame } from '@tanagerdyke/contracts';
import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import {
  createLogger,
  Emitter,
  InvariantMonitor,
  Metrics,
  SeededRandom,
  SystemClock,
  TimeLine,
} from '@tanagerdyke/kernel';
import type { CompletionFrames } from '@tanagerdyke/serving';
import { Result } from 'true-myth';
import { expect } from 'vitest';
import { type Settings, settingsSchema } from '../../common/Settings.js';
import { RequestTracker } from '../RequestTracker.js';
import { HttpServer } from './HttpServer.js';
import type { ServedNode } from './ServedNode.js';

export const TOKEN = 'token-of-a-workspace';
export const OPERATOR_TOKEN = 'token-of-the-operators';
/** Longest prompt of the model that the route `answers` uses, in tokens. */
export const MODEL_LIMIT = 100;
const FLOOD_BYTES = 1_000_000;
const ENGINE_TOKENS = 10_000;

const objects = [
  { kind: 'Model', name: 'm', maxPromptTokens: MODEL_LIMIT },
  { kind: 'Version', name: 'v', model: 'm' },
  { kind: 'Route', name: 'answers', versions: [{ version: 'v', weight: 100 }] },
  { kind: 'Route', name: 'reorders', services: ['s'] },
  {
    kind: 'Workspace',
    name: 'w',
    tokenDigest: createHash('sha256').update(TOKEN).digest('hex'),
    routes: ['answers', 'reorders'],
  },
  {
    kind: 'Host',
    name: 'h',
    region: 'r',
    availabilityZone: 'z',
    targets: [
      {
        name: 'e',
        kind: 'engine',
        adapter: 'http',
        address: 'http://127.0.0.1:1',
        versions: ['v'],
        memoryTokens: ENGINE_TOKENS,
        prefillTokensPerSecond: 1,
        decodeTokensPerSecond: 1,
      },
    ],
  },
].map((each) => objectSchema.parse(each));

type GenerateFrames = (signal: AbortSignal) => CompletionFrames;

/** A running HTTP server with its fake node. */
export interface RunningServer {
  readonly httpServer: HttpServer;
  readonly node: ServedNode;
  readonly metrics: Metrics;
  readonly timeLine: TimeLine;
}

const httpServers: HttpServer[] = [];
const sockets: Socket[] = [];

/** Closes all servers and connections of a test. */
export function stopAll(): void {
  for (const socket of sockets.splice(0)) {
    socket.destroy();
  }
  for (const httpServer of httpServers.splice(0)) {
    httpServer.dispose();
  }
}

/** Starts a server; `generate` produces the frames of its completions. */
export async function startServer(
  limits: Partial<Settings['limits']> = {},
  generate: GenerateFrames = singleFrame,
): Promise<RunningServer> {
  const clock = new SystemClock();
  const metrics = new Metrics();
  const timeLine = new TimeLine(clock, 'n');
  const invariants = new InvariantMonitor(timeLine, metrics, createLogger(clock, 'n', 'test'));
  const set = ObjectSet.of(objects);
  const neverFires = new Emitter<never>().event;
  const node: ServedNode = {
    clock,
    random: new SeededRandom(1),
    settings: withEphemeralPort(
      settingsSchema.parse({
        node: { name: 'n', region: 'r', availabilityZone: 'z' },
        listen: { caller: '127.0.0.1:2', peer: '127.0.0.1:1' },
        platform: {
          adapter: 'http',
          log: 'http://127.0.0.1:1',
          hostList: 'http://127.0.0.1:1',
          weightStore: 'http://127.0.0.1:1',
        },
        operatorToken: { environment: 'NONE' },
        limits,
      }),
    ),
    metrics,
    timeLine,
    invariants,
    membership: new FixedMembership(memberOf('n', '127.0.0.1:1'), []),
    configuration: {
      inForce: { ...({} as ServedNode['configuration']['inForce']), offset: 0, set },
      set,
      isReady: true,
      onChange: neverFires,
      onRecord: neverFires,
    },
    freshness: { isFresh: true },
    publisher: { publish: () => Promise.reject(new Error('a publish that breaks')) },
    ledger: { isReady: true },
    atMostOnceClient: { call: () => new Promise(() => undefined) },
    directory: {
      servicesOf: () => [...set.targets.values()],
      service: () => Result.ok({ call: neverSettles, lookUp: neverSettles }),
    },
    completions: { complete: (_request, signal) => generate(signal) },
    requests: new RequestTracker(),
    isReady: true,
    isDraining: false,
    isRefusingRequests: false,
  };
  const httpServer = await HttpServer.listen(node, OPERATOR_TOKEN);
  httpServers.push(httpServer);
  return { httpServer, node, metrics, timeLine };
}

/** The settings with a port assigned by the operating system; the schema refuses port 0. */
function withEphemeralPort(settings: Settings): Settings {
  return { ...settings, listen: { ...settings.listen, caller: '127.0.0.1:0' } };
}

function neverSettles(): Promise<never> {
  return new Promise(() => undefined);
}

async function* singleFrame(): CompletionFrames {
  await Promise.resolve();
  yield Result.ok(frame(0, true));
}

/** Yields one token, then never settles. */
export async function* hangAfterFirst(): CompletionFrames {
  yield Result.ok(frame(0, false));
  await neverSettles();
}

/** Yields some frames, then throws. */
export async function* failAfter(frames: number): CompletionFrames {
  for (let position = 0; position < frames; position++) {
    await Promise.resolve();
    yield Result.ok(frame(position, false));
  }
  throw new Error('a defect');
}

/** Yields large frames without end, which fill all buffers of a connection. */
export async function* floodForever(): CompletionFrames {
  for (let position = 0; ; position++) {
    await Promise.resolve();
    yield Result.ok({ ...frame(position, false), tokens: ['x'.repeat(FLOOD_BYTES)] });
  }
}

function frame(position: number, isLast: boolean): EngineFrame {
  return { id: 'a', position, tokens: ['t'], isLast, digest: 'd' };
}

/** A client connection to the server. */
export interface Exchange {
  readonly socket: Socket;
  /** Everything received until the server closes the connection. */
  readonly received: Promise<string>;
}

/** Opens a connection and sends raw bytes. */
export function send({ httpServer }: RunningServer, bytes: string | Buffer): Exchange {
  const socket = connect({ port: httpServer.port, host: '127.0.0.1', allowHalfOpen: true });
  sockets.push(socket);
  const received = new Promise<string>((resolve) => {
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('end', () => socket.end());
    socket.on('close', () => {
      resolve(text);
    });
  });
  socket.write(bytes);
  return { socket, received };
}

/** Builds a request with `Connection: close`. */
export function post(path: string, body: string | Buffer, headers: readonly string[] = []): Buffer {
  const head = [
    `POST ${path} HTTP/1.1`,
    'host: n',
    'connection: close',
    `authorization: Bearer ${TOKEN}`,
    `content-length: ${Buffer.byteLength(body)}`,
    ...headers,
    '',
    '',
  ].join('\r\n');
  return Buffer.concat([Buffer.from(head), Buffer.from(body)]);
}

/** Builds the body of a completion request. */
export function completion(prompt: unknown, stream = true): string {
  return JSON.stringify({ model: 'answers', prompt, maxTokens: 1, stream });
}

/**
 * Parses the problem document of a raw response and checks that its status matches the response.
 */
export function parseProblemResponse(response: string): Record<string, unknown> {
  expect(response).toContain('application/problem+json');
  const body = response.slice(response.indexOf('{'), response.lastIndexOf('}') + 1);
  const problem = JSON.parse(body) as Record<string, unknown>;
  expect(response.startsWith(`HTTP/1.1 ${String(problem.status)} `)).toBe(true);
  expect(problem.remedy).toBeTypeOf('string');
  return problem;
}

/** Sends raw bytes and returns the problem document of the response. */
export async function sendForProblem(
  server: RunningServer,
  bytes: string | Buffer,
): Promise<unknown> {
  return parseProblemResponse(await send(server, bytes).received);
}

/**
 * Resolves once a request is in flight. Waits for turns of the event loop instead of a time, as the
 * server reads its sockets in each turn.
 */
export async function waitUntilRunning({ node }: RunningServer): Promise<void> {
  while (node.requests.running === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Resolves once no request is in flight. */
export function waitUntilIdle({ node }: RunningServer): Promise<void> {
  return node.requests.whenIdle(new AbortController().signal);
}
