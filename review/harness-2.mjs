// JavaScript has no accessibility modifiers.
/* eslint-disable @typescript-eslint/explicit-member-accessibility */
/**
 * Stand-ins for the scripts of this review, written after the pages of the platform: the store, servers,
 * and the start and end of the processes of the system. All addresses are loopback addresses.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as httpRequest } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');

/** The other settings, as the platform writes them for the site amsd-ct. */
const SETTINGS = [
  'bootstrap=true',
  'counts_loss=false',
  'limits.cpu_share=0.675',
  'limits.cores=1',
  'discovery=platform',
  'entry=directory',
  'heartbeat_ms=1200',
  'bounds.seed_lag_s=3',
  'bounds.addr_reuse_s=2',
  'bounds.stable_window_ms=3000',
  'bounds.ack_ms=4000',
  'bounds.catch_up_s=4',
  'bounds.drain_ms=2000',
  'bounds.grace_s=8',
  'bounds.loss_slack_ms=200',
  'bounds.config_apply_ms=2000',
  'bounds.downgrade_ms=250',
  'bounds.stretch_ms=5000',
  'bounds.strict_revoke=false',
  'bounds.revoke_ms=5000',
  'bounds.retry_budget_ratio=0.2',
  'bounds.budget_window_s=10',
  'bounds.budget_slack=102',
  'bounds.recovery_s=12',
  'bounds.pass_ms=120',
  'bounds.retry_after_s=0',
  'bounds.stall_ms=1500',
  'bounds.hold_max_ms=20000',
  'bounds.free_ms=4000',
  'bounds.idle_max_ms=9000',
  'bounds.ttl_max_s=5',
  'platform.form=log',
];

/** Whether the run plays the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

const startedAt = performance.now();

/** Milliseconds since the start of the script. */
export function now() {
  return Math.round(performance.now() - startedAt);
}

export function sleep(ms) {
  return new Promise((done) => setTimeout(done, ms));
}

/** The lines of `record.txt`. */
export class Record {
  lines = [];

  add(text) {
    this.lines.push(`${String(now()).padStart(6)} ms  ${text}`);
  }

  write(directory) {
    writeFileSync(join(directory, 'record.txt'), this.lines.join('\n') + '\n');
  }
}

/** The platform's store: keyed topics with offsets, of which the system reads and writes records. */
export class Store {
  topics = new Map();
  era = 1;

  async listen() {
    this.server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** A copy of all topics as they are now. */
  copy() {
    return new Map([...this.topics].map(([name, { records }]) => [name, [...records]]));
  }

  /** Is away: ends all connections, and answers none. */
  leave() {
    this.isAway = true;
    this.server.closeAllConnections();
  }

  /** Goes back to a copy, with the next era. */
  restore(copy) {
    this.era++;
    for (const [name, log] of this.topics) {
      log.records.splice(0, log.records.length, ...(copy.get(name) ?? []));
    }
  }

  return() {
    this.isAway = false;
  }

  /** Appends a record; without a value, the key is dropped. */
  write(topic, key, value) {
    this.#append(topic, key, Buffer.from(value === undefined ? '' : JSON.stringify(value)));
  }

  #log(name) {
    let log = this.topics.get(name);
    if (log === undefined) {
      log = { records: [], waiting: new Set() };
      this.topics.set(name, log);
    }
    return log;
  }

  #append(topic, key, value) {
    const log = this.#log(topic);
    log.records.push({ key, value });
    for (const wake of [...log.waiting]) {
      wake();
    }
  }

  async #serve(request, response) {
    if (this.isAway) {
      request.socket.destroy();
      return;
    }
    const pieces = [];
    for await (const piece of request) {
      pieces.push(piece);
    }
    response.setHeader('Store-Era', String(this.era));
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    if (url.pathname === '/-/log-newest') {
      const { records } = this.#log(topic);
      const newest = new Map(
        records.map(({ key, value }, offset) => [key, { key, value, offset }]),
      );
      const entries = [...newest.values()]
        .filter(({ value }) => value.length > 0)
        .map(({ key, offset, value }) => ({ key, value: value.toString('base64'), offset }));
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify({ entries, has_more: false, end: records.length }));
    } else if (url.pathname === '/-/log-read') {
      await this.#read(this.#log(topic), url.searchParams, response);
    } else if (url.pathname === '/-/log-append') {
      const log = this.#log(topic);
      const offset = log.records.length;
      this.#appendAll(topic, Buffer.concat(pieces));
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify({ offset, end: log.records.length }));
    } else {
      response.writeHead(404).end();
    }
  }

  #appendAll(topic, body) {
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      const record = body.subarray(at + 4, at + 4 + length);
      const key = record.subarray(1, 1 + record[0]).toString();
      this.#append(topic, key, Buffer.from(record.subarray(1 + record[0])));
      at += 4 + length;
    }
  }

  async #read(log, query, response) {
    const from = Number(query.get('from'));
    if (from > log.records.length) {
      response.writeHead(410).end(JSON.stringify({ first: 0 }));
      return;
    }
    if (log.records.length === from) {
      await new Promise((done) => {
        const wake = () => {
          clearTimeout(timer);
          log.waiting.delete(wake);
          done();
        };
        const timer = setTimeout(wake, Number(query.get('wait_ms') ?? 0));
        log.waiting.add(wake);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(log.records.length));
    const frames = log.records.slice(from).map(({ key, value }) => {
      const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value]);
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      return Buffer.concat([length, content]);
    });
    response.end(Buffer.concat([head, ...frames]));
  }
}

/** Servers on loopback that are registered in the store. */
export class Server {
  /** Requests that were run: id of the attempt, path, time. */
  runs = [];

  /**
   * @param options.handle answers a request that runs: `(request, response, body, server)`
   */
  constructor(store, options) {
    this.store = store;
    this.options = { zone: 'a', service: 'app', slots: 6, workMs: 15, ...options };
    this.id = this.options.id;
    this.born = Date.now();
  }

  async listen() {
    this.http = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.http.keepAliveTimeout = 30_000;
    await new Promise((done) => this.http.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.http.address().port}`;
    this.register('ready');
  }

  register(state) {
    const { service, slots, zone } = this.options;
    this.store.write('keyed.servers', this.id, {
      service,
      address: this.options.address ?? this.address,
      zone,
      version: 'v1',
      slots,
      state,
      cold_left_ms: 0,
      call_seq: 0,
      born: this.born,
    });
  }

  remove() {
    this.store.write('keyed.servers', this.id, undefined);
  }

  close() {
    this.http?.closeAllConnections();
    this.http?.close();
  }

  async #serve(request, response) {
    const attempt = request.headers['x-attempt-id'] ?? '';
    response.sendDate = false;
    response.setHeader('X-Attempt-Id', attempt);
    if (request.headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end();
      return;
    }
    const pieces = [];
    for await (const piece of request) {
      pieces.push(piece);
    }
    const body = Buffer.concat(pieces);
    this.runs.push({ attempt, path: request.url, at: now(), tenant: request.headers['x-tenant'] });
    response.setHeader('X-Server-Stamp', `stamp.${this.id}.${attempt}`);
    const handle = this.options.handle ?? answerPlainly;
    await handle(request, response, body, this);
  }
}

async function answerPlainly(request, response, body, server) {
  await sleep(server.options.workMs);
  response.end(`answer to ${request.headers['x-attempt-id']}`);
}

/** The processes of the system, each with a loopback address of its own. */
export class System {
  nodes = [];

  constructor(store, zones, { settings = [], net = 10 + (process.pid % 200) } = {}) {
    this.store = store;
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.settings = settings;
    const counts = new Map();
    const port = 20_000 + (process.pid % 10_000);
    this.ports = { front: port, ready: port + 1, control: port + 2, directory: port + 3 };
    this.ports.peers = port + 4;
    zones.forEach((zone, index) => {
      const count = (counts.get(zone) ?? 0) + 1;
      counts.set(zone, count);
      this.nodes.push({
        name: `edge-${zone}-${count}`,
        zone,
        ip: `127.${net}.1.${index + 1}`,
        log: '',
      });
    });
    process.on('exit', () => {
      for (const { child } of this.nodes) {
        child?.kill('SIGKILL');
      }
      rmSync(this.directory, { recursive: true, force: true });
    });
  }

  start(node) {
    const { directory, front, peers, ready } = this.ports;
    const path = join(this.directory, `${node.name}.conf`);
    const seeds = this.nodes.slice(0, 3).map(({ ip }) => `${ip}:${this.ports.control}`);
    const zones = [...new Set(this.nodes.map(({ zone }) => zone))];
    writeFileSync(
      path,
      [
        `node_name=${node.name}`,
        'role=entry',
        'machine_class=edge',
        'serves=edge,directory,control',
        `ip=${node.ip}`,
        `zone=${node.zone}`,
        'region=r',
        ...zones.map((zone) => `zones.${zone}=r`),
        `listen.front=${node.ip}:${front}`,
        `listen.ready=${node.ip}:${ready}`,
        `listen.control=${node.ip}:${this.ports.control}`,
        `listen.directory=${node.ip}:${directory}`,
        `internal_ports=${peers},${peers + 15}`,
        `seeds=${seeds.join(',')}`,
        'limits.memory_mb=350',
        'limits.max_fds=4100',
        ...SETTINGS,
        `platform.address=${node.storeAddress ?? this.store.address}`,
        ...this.settings,
      ].join('\n') + '\n',
    );
    const [program, ...words] = commandOf('entry');
    node.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        TANAGERDYKE_NODE_FILE: path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.startedAt = now();
    node.ended = new Promise((done) => {
      node.child.once('exit', (code, signal) => {
        node.end = { code, signal, at: now() };
        done(node.end);
      });
    });
    if (!node.leavesOutput) {
      const keep = (piece) => {
        node.log += piece;
      };
      node.child.stdout.setEncoding('utf8').on('data', keep);
      node.child.stderr.setEncoding('utf8').on('data', keep);
    }
  }

  async startAll() {
    for (const node of this.nodes) {
      this.start(node);
    }
    await Promise.all(this.nodes.map((node) => this.awaitReady(node)));
  }

  async awaitReady(node, limitMs = 20_000) {
    const until = now() + limitMs;
    for (;;) {
      const answer = await this.call(node, this.ports.ready, '/-/ready', 1_000);
      if (answer.status === 200) {
        return;
      }
      if (now() > until) {
        throw new Unplayable(`${node.name} is not ready: ${node.log.slice(-500)}`);
      }
      await sleep(50);
    }
  }

  call({ ip }, port, path, timeoutMs) {
    return send({ host: ip, port, path, timeoutMs });
  }

  async stop() {
    for (const node of this.nodes) {
      node.child?.kill('SIGKILL');
    }
    await Promise.all(this.nodes.map(({ ended }) => ended));
  }
}

/** The case could not be played. */
export class Unplayable extends Error {}

/** The words of the command of a role in the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** Sends one request; resolves with what was answered. */
export function send({
  host,
  port,
  path,
  method = 'GET',
  headers = {},
  body,
  timeoutMs = 5_000,
  agent,
}) {
  return new Promise((done) => {
    const outgoing = httpRequest(
      { host, port, path, method, headers, agent: agent ?? false },
      (response) => {
        const pieces = [];
        const finish = (isComplete) => {
          clearTimeout(timer);
          done({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(pieces).toString(),
            isComplete: isComplete && response.complete,
          });
        };
        response.on('data', (piece) => pieces.push(piece));
        response.on('end', () => finish(true));
        response.on('error', () => finish(false));
      },
    );
    const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs);
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      done({
        status: 0,
        error: error.code ?? error.message,
        headers: {},
        body: '',
        isComplete: false,
      });
    });
    outgoing.end(body);
  });
}

/** A configuration with the given routes and tenants. */
export function configuration(version, { routes, services, tenants }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: 'shop.example',
      timeout_ms: 3_000,
      latency_target_ms: 400,
      gap_target_ms: 300,
      max_attempts: 2,
      priority: 1,
      no_auth: false,
      resumable: false,
      sticky: false,
      ...route,
    })),
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 20_000,
    },
    tenants,
  };
}

/** Values of an engine like those of the site file. */
export const ENGINE = {
  slots: 11,
  kv_capacity: 450_000,
  step_ms: 0.925,
  per_seq_ms: 0.00483,
  context_per_k: 0.00254,
  read_per_s: 256_000,
  pairs_per_m: 0.0917,
  chunk: 2_048,
  stride: 46,
};

/** Passes connections on; open ones can be held, reset or ended. */
export class Proxy {
  sockets = new Set();

  constructor(port, host = '127.0.0.1') {
    this.target = { port, host };
  }

  async listen() {
    this.server = createTcpServer((inner) => {
      const outer = connect(this.target);
      const pair = { inner, outer };
      this.sockets.add(pair);
      for (const socket of [inner, outer]) {
        socket.setNoDelay(true);
        socket.on('error', () => undefined);
        socket.on('close', () => {
          inner.destroy();
          outer.destroy();
          this.sockets.delete(pair);
        });
      }
      inner.pipe(outer);
      outer.pipe(inner);
    });
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server?.close();
    for (const { inner, outer } of this.sockets) {
      inner.destroy();
      outer.destroy();
    }
  }
}

/** Runs a case; ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function play(directory, run) {
  const record = new Record();
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  let code = 2;
  try {
    code = (await run(record)) ? 1 : 0;
    record.add(code === 1 ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.add(
      `the case could not run: ${error instanceof Unplayable ? error.message : error.stack}`,
    );
  }
  record.write(directory);
  console.log(record.lines.slice(-12).join('\n'));
  process.exit(code);
}
