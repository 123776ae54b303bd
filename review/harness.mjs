/**
 * Stand-ins and processes for the scripts of this review: the platform's store, servers, requesters
 * and the nodes of a small deployment. Everything listens on loopback addresses.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createHttpServer, get } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');
const READY_TIMEOUT_MS = 20_000;
/** Time after which the platform starts a process again. */
const RESTART_MS = 500;
const HEARTBEAT_MS = 1_200;
const STABLE_WINDOW_MS = 3_000;
const USUAL_WORK_MS = 20;
export const GRACE_MS = 8_000;
export const HOST = 'review.example';

export const withTrouble = process.env.TROUBLE !== '0';

export function sleep(ms) {
  return new Promise((done) => setTimeout(done, ms));
}

/** Writes what was sent, answered and run to record.txt of the case. */
function createRecord(folder) {
  const path = join(folder, 'record.txt');
  const startedAt = performance.now();
  writeFileSync(path, `TROUBLE=${withTrouble ? 1 : 0}\n`);
  const write = (text) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(path, `${seconds.padStart(7)} s  ${text}\n`);
  };
  return { write };
}

function listen(server, host, port = 0) {
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(port, host, () => done(server.address().port));
  });
}

async function freePort(host) {
  const probe = createServer();
  const port = await listen(probe, host);
  await new Promise((done) => probe.close(done));
  return port;
}

/** The platform's store: keyed topics as a log, with the calls that nodes and servers make. */
async function startStore() {
  const topics = new Map();
  const waiting = new Set();
  const logOf = (topic) => {
    if (!topics.has(topic)) {
      topics.set(topic, []);
    }
    return topics.get(topic);
  };
  const append = (topic, record) => {
    logOf(topic).push(record);
    for (const wake of [...waiting]) {
      wake();
    }
  };

  const answerNewest = (log, response) => {
    const newest = new Map(log.map(({ key, value }, offset) => [key, { key, value, offset }]));
    const entries = [...newest.values()]
      .filter(({ value }) => value.length > 0)
      .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }));
    response.setHeader('Content-Type', 'application/json');
    response.end(JSON.stringify({ entries, has_more: false, end: log.length }));
  };

  const answerRead = async (log, query, response) => {
    const from = Number(query.get('from'));
    if (from > log.length) {
      response.writeHead(410).end(JSON.stringify({ first: 0 }));
      return;
    }
    if (log.length === from) {
      await new Promise((done) => {
        const wake = () => {
          clearTimeout(timer);
          waiting.delete(wake);
          done();
        };
        const timer = setTimeout(wake, Number(query.get('wait_ms') ?? 0));
        waiting.add(wake);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(log.length));
    const records = log.slice(from).map(({ key, value }) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(1 + Buffer.byteLength(key) + value.length);
      return Buffer.concat([
        length,
        Buffer.from([Buffer.byteLength(key)]),
        Buffer.from(key),
        value,
      ]);
    });
    response.end(Buffer.concat([head, ...records]));
  };

  const answerAppend = (topic, body, response) => {
    for (let at = 0; at + 4 < body.length;) {
      const length = body.readUInt32BE(at);
      const keyEnd = at + 5 + body[at + 4];
      const key = body.subarray(at + 5, keyEnd).toString();
      append(topic, { key, value: body.subarray(keyEnd, at + 4 + length) });
      at += 4 + length;
    }
    response.setHeader('Content-Type', 'application/json');
    response.end(JSON.stringify({ offset: logOf(topic).length - 1, end: logOf(topic).length }));
  };

  const server = createHttpServer(async (request, response) => {
    response.setHeader('Store-Era', '1');
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    if (url.pathname === '/-/log-newest') {
      answerNewest(logOf(topic), response);
    } else if (url.pathname === '/-/log-read') {
      await answerRead(logOf(topic), url.searchParams, response);
    } else if (url.pathname === '/-/log-append') {
      answerAppend(topic, Buffer.concat(chunks), response);
    } else {
      response.writeHead(404).end();
    }
  });
  const port = await listen(server, '127.0.0.1');
  return {
    address: `127.0.0.1:${port}`,
    /** Appends a record; without a value the key is removed. */
    write: (topic, key, value) => {
      append(topic, { key, value: Buffer.from(value === undefined ? '' : JSON.stringify(value)) });
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** A server of the plain service `app`: it reads a whole request, runs it and answers. */
async function startServer(store, { id, zone, onRun }) {
  const born = Date.now();
  let calls = 0;
  const server = createHttpServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const attempt = request.headers['x-attempt-id'];
    if (attempt !== undefined) {
      response.setHeader('X-Attempt-Id', attempt);
    }
    if (request.headers['x-expect-instance'] !== id) {
      response.writeHead(421).end();
      return;
    }
    const body = Buffer.concat(chunks).toString('latin1');
    const { headers, url: path } = request;
    onRun({ attempt, server: id, service: 'app', path, body, headers });
    await sleep(Number(/work-(\d+)/.exec(request.url)?.[1] ?? USUAL_WORK_MS));
    response.setHeader('X-Server-Stamp', `${id}.${attempt}`);
    response.end(`done ${attempt}`);
  });
  server.keepAliveTimeout = 10_000;
  const address = `127.0.0.1:${await listen(server, '127.0.0.1')}`;
  const register = () => {
    store.write('keyed.servers', id, {
      service: 'app',
      address,
      zone,
      version: 1,
      slots: 6,
      state: 'ready',
      cold_left_ms: 0,
      call_seq: calls++,
      born,
    });
  };
  register();
  const timer = setInterval(register, HEARTBEAT_MS);
  return {
    address,
    id,
    zone,
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * A model server of the service `model`, which answers with a stream of three events. `losesAnswer`
 * decides whether the answer is lost: the channel ends without it, after the request was run.
 */
async function startEngine(store, { id, zone, onRun, losesAnswer }) {
  const born = Date.now();
  let calls = 0;
  const server = createHttpServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const attempt = request.headers['x-attempt-id'];
    response.setHeader('X-Attempt-Id', attempt ?? '');
    if (request.headers['x-expect-instance'] !== id) {
      response.writeHead(421).end();
      return;
    }
    const body = Buffer.concat(chunks).toString('latin1');
    const { headers, url: path } = request;
    const run = { attempt, server: id, service: 'model', path, body, headers };
    onRun(run);
    await sleep(USUAL_WORK_MS);
    if (losesAnswer(run)) {
      request.socket.destroy();
      return;
    }
    response.setHeader('X-Server-Stamp', `${id}.${attempt}`);
    response.setHeader('Content-Type', 'text/event-stream');
    for (let event = 1 + Number(request.headers['last-event-id'] ?? 0); event <= 3; event++) {
      response.write(`id: ${event}\ndata: ${attempt} ${event}\n\n`);
      await sleep(USUAL_WORK_MS);
    }
    response.end();
  });
  server.keepAliveTimeout = 10_000;
  const address = `127.0.0.1:${await listen(server, '127.0.0.1')}`;
  const register = () => {
    store.write('keyed.servers', id, {
      service: 'model',
      address,
      zone,
      version: 1,
      slots: 11,
      state: 'ready',
      cold_left_ms: 0,
      call_seq: calls++,
      born,
      stage: 'colocated',
      models: [{ name: 'm', version: 1, adapters: [] }],
    });
  };
  register();
  const timer = setInterval(register, HEARTBEAT_MS);
  return {
    address,
    id,
    zone,
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** A node of the system: one process of the deploy file, with an address of its own. */
function createNode(world, { name, zone, ip }) {
  let child;
  const node = {
    name,
    zone,
    ip,
    exited: undefined,
    start: () => {
      const { directory, ports, seeds, store } = world;
      const settings = join(directory, `${name}.conf`);
      writeFileSync(settings, settingsOf({ ip, name, zone }, ports, store.address, seeds));
      const [program, ...words] = commandOfDeployFile();
      child = spawn(program, words, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, TANAGERDYKE_NODE_FILE: settings },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const keep = (chunk) => appendFileSync(join(directory, `${name}.log`), chunk);
      child.stdout.on('data', keep);
      child.stderr.on('data', keep);
      node.exited = new Promise((done) => {
        child.once('exit', (code, signal) => done({ code, signal }));
      });
      void node.exited.then(restart);
    },
    front: () => ({ host: ip, port: world.ports.front }),
    log: () => readFileSync(join(world.directory, `${name}.log`), 'utf8'),
    signal: (signal) => child.kill(signal),
    isReady: () =>
      new Promise((done) => {
        const question = { host: ip, port: world.ports.ready, path: '/-/ready', agent: false };
        const asked = get(question, (answer) => {
          answer.resume();
          done(answer.statusCode === 200);
        });
        asked.on('error', () => done(false));
      }),
    awaitReady: async () => {
      const until = performance.now() + READY_TIMEOUT_MS;
      while (!(await node.isReady())) {
        if (performance.now() > until) {
          throw new Error(`${name} was not ready in time`);
        }
        await sleep(50);
      }
    },
  };
  /** The platform starts a process again that has ended. */
  const restart = async ({ code, signal }) => {
    if (!world.isStopping) {
      world.record.write(`${name} ended (code ${code}, signal ${signal})`);
      world.ends.push({ name, code, signal });
      await sleep(RESTART_MS);
      if (!world.isStopping) {
        node.start();
      }
    }
  };
  return node;
}

function commandOfDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
}

/** Starts a small deployment with one node in each of the zones: the store, servers and nodes. */
async function startWorld(folder, { zones, configuration, servers = 3, engines = 0 }) {
  const store = await startStore();
  const world = {
    record: createRecord(folder),
    directory: mkdtempSync(join(tmpdir(), 'review-')),
    store,
    /** Requests that servers ran. */
    runs: [],
    /** Processes that ended before the stop of the deployment. */
    ends: [],
    isStopping: false,
  };
  const second = 16 + Math.floor(Math.random() * 200);
  const third = 1 + Math.floor(Math.random() * 250);
  world.nodes = zones.map((zone, at) =>
    createNode(world, { name: `edge-${at + 1}`, zone, ip: `127.${second}.${third}.${at + 1}` }),
  );
  const [{ ip }] = world.nodes;
  world.ports = {
    front: await freePort(ip),
    ready: await freePort(ip),
    control: await freePort(ip),
    directory: await freePort(ip),
    internal: 20_000 + Math.floor(Math.random() * 10_000),
  };
  world.seeds = world.nodes.slice(0, 3).map((node) => `${node.ip}:${world.ports.control}`);
  world.configure = (next) => {
    store.write('keyed.op', 'config', next);
    world.record.write(`version ${next.version} of the configuration acknowledged`);
  };
  world.configure(configuration);
  const onRun = (run) => {
    world.runs.push(run);
    const { attempt, body, headers, path, server } = run;
    const tenant = headers['x-tenant'] ?? '(none)';
    const what = `${path}, body of ${body.length} bytes, X-Tenant ${tenant}`;
    world.record.write(`run       ${attempt} at ${server}: ${what}`);
  };
  world.servers = [];
  for (let at = 0; at < servers; at++) {
    const zone = zones[at % zones.length];
    world.servers.push(await startServer(store, { id: `i-${at + 1}`, zone, onRun }));
  }
  /** Whether a model server loses the answer to a request that it ran. */
  world.losesAnswer = () => false;
  const losesAnswer = (run) => world.losesAnswer(run);
  for (let at = 0; at < engines; at++) {
    const zone = zones[at % zones.length];
    const id = `m-${at + 1}`;
    world.servers.push(await startEngine(store, { id, zone, onRun, losesAnswer }));
  }
  for (const node of world.nodes) {
    node.start();
  }
  return world;
}

async function stopWorld(world) {
  world.isStopping = true;
  for (const node of world.nodes) {
    node.signal('SIGKILL');
  }
  await Promise.all(world.nodes.map((node) => node.exited));
  for (const server of world.servers) {
    server.close();
  }
  world.store.close();
  if (process.env.KEEP_LOGS === undefined) {
    rmSync(world.directory, { recursive: true, force: true });
  }
}

/**
 * Plays a case in a deployment whose nodes are ready and in touch. The exit code is 1 if `play`
 * resolves with true, as the rule was broken, 0 if it held, and 2 if the case could not run.
 */
export async function run(caseUrl, options, play) {
  const world = await startWorld(dirname(fileURLToPath(caseUrl)), options);
  try {
    await Promise.all(world.nodes.map((node) => node.awaitReady()));
    world.record.write(`all ${world.nodes.length} nodes are ready`);
    await sleep(STABLE_WINDOW_MS + 1_000);
    process.exitCode = (await play(world)) ? 1 : 0;
  } catch (error) {
    world.record.write(`the case could not run: ${error.stack}`);
    process.exitCode = 2;
  } finally {
    await stopWorld(world);
  }
}

const ENGINE = {
  slots: 11,
  kv_capacity: 450_000,
  step_ms: 0.925,
  per_seq_ms: 0.01,
  context_per_k: 0.01,
  read_per_s: 256_000,
  pairs_per_m: 0.01,
  chunk: 2_000,
  stride: 10,
};

/** A configuration with one route of each kind. */
export function configurationOf(version, tenants) {
  const route = (name, kind, service = 'app') => ({
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: 6_000,
    latency_target_ms: 386,
    max_attempts: 2,
    priority: 2,
    no_auth: false,
  });
  return {
    version,
    routes: [
      route('confirm', 'non_idempotent'),
      route('check', 'idempotent'),
      {
        ...route('ask', 'streaming', 'model'),
        ...{ timeout_ms: 10_000, latency_target_ms: 300, gap_target_ms: 200 },
        ...{ resumable: true, sticky: true },
      },
    ],
    services: [
      { name: 'app', max_conns: 100 },
      { name: 'model', max_conns: 264, engine: ENGINE },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
    },
    tenants,
  };
}

function settingsOf({ ip, name, zone }, ports, storeAddress, seeds) {
  return `node_name=${name}
role=entry
machine_class=edge
serves=edge,directory,control
ip=${ip}
zone=${zone}
region=area
zones.zone-a=area
zones.zone-b=area
zones.zone-c=area
listen.front=${ip}:${ports.front}
listen.ready=${ip}:${ports.ready}
listen.control=${ip}:${ports.control}
listen.directory=${ip}:${ports.directory}
internal_ports=${ports.internal},${ports.internal + 15}
seeds=${seeds.join(',')}
bootstrap=true
counts_loss=false
limits.cpu_share=0.675
limits.cores=1
limits.memory_mb=350
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_ms=${HEARTBEAT_MS}
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=${GRACE_MS / 1_000}
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_ms=250
bounds.stretch_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=102
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=1500
bounds.hold_max_ms=20000
bounds.free_ms=4000
bounds.idle_max_ms=9000
bounds.ttl_max_s=5
platform.address=${storeAddress}
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=12
platform.append_ms=2.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
`;
}

/**
 * Opens a channel to a node. The function that it returns sends one requester attempt, with the body
 * in parts, each after its delay, and resolves with the status, or 0 if the channel ended without an
 * answer. A further attempt may be sent once the one before it is answered.
 */
export function openChannel(node, record) {
  const socket = connect(node.front());
  let received = '';
  let finish = () => undefined;
  socket.on('error', () => undefined);
  socket.on('close', () => finish(0));
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1');
    const status = statusOfWhole(received);
    if (status !== undefined) {
      received = '';
      finish(status);
    }
  });
  return (request) => {
    const { attempt, deadlineMs = 4_000 } = request;
    return new Promise((done) => {
      const timer = setTimeout(() => socket.destroy(), deadlineMs + 2_000);
      finish = (status) => {
        finish = () => undefined;
        clearTimeout(timer);
        const outcome = status === 0 ? 'channel ended without an answer' : `status ${status}`;
        record.write(`answered  ${attempt}: ${outcome}`);
        done({ attempt, status });
      };
      if (socket.destroyed) {
        finish(0);
        return;
      }
      void write(socket, node, { ...request, deadlineMs }, record);
    });
  };
}

/** One requester attempt on a channel of its own. */
export function send(node, request, record) {
  return openChannel(node, record)(request);
}

async function write(socket, node, request, record) {
  const { attempt, deadlineMs, headers = [], key, parts = [], path } = request;
  const length = parts.reduce((sum, { text }) => sum + text.length, 0);
  const lines = [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Attempt-Id: ${attempt}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
    ...headers,
    `Content-Length: ${length}`,
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  record.write(`sent      ${attempt} to ${node.name}: POST ${path}, body of ${length} bytes`);
  for (const { text, afterMs = 0 } of parts) {
    await sleep(afterMs);
    if (socket.destroyed) {
      return;
    }
    socket.write(text);
    if (parts.length > 1) {
      record.write(`sent      ${attempt}: ${text.length} bytes of the body`);
    }
  }
}

/** The status of an answer that is complete; undefined while it is not. */
function statusOfWhole(received) {
  const end = received.indexOf('\r\n\r\n');
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(received)?.[1]);
  const head = received.slice(0, end + 2);
  const isWhole = /^transfer-encoding: *chunked/im.test(head)
    ? received.endsWith('0\r\n\r\n')
    : received.length >= end + 4 + Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
  return end !== -1 && isWhole ? status : undefined;
}
