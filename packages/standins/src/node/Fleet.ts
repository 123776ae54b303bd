/**
 * A fleet of real processes on loopback: the stand-ins and the daemons of one run. It stops every
 * process that it started.
 */
import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { CallerClient, type DaemonStatus, OperatorClient } from '@tanagerdyke/ctl';
import { type ConfigurationObject, ObjectSet } from '@tanagerdyke/configuration';
import { SystemClock, SystemRandom } from '@tanagerdyke/kernel';
import { request } from 'undici';
import { stringify } from 'yaml';
import {
  type FleetPorts,
  type FleetSize,
  planObjects,
  tokenOf,
  VERSION,
  zoneOf,
} from '../common/FleetPlan.js';
import { findFreePorts } from './FreePorts.js';
import { ManagedProcess } from './ManagedProcess.js';
import { type StandInSpecification, StandInKind } from './StandInSpecification.js';

const OPERATOR_TOKEN = 'operator-token-for-runs-only';
const OPERATOR_TOKEN_VARIABLE = 'TANAGER_RUN_OPERATOR_TOKEN';
const READY_ATTEMPTS = 300;
const READY_PAUSE_MS = 50;
const HTTP_OK = 200;
const DAEMON_SCRIPT = fileURLToPath(new URL('../../../daemon/bin/tanagerd.js', import.meta.url));
const PROOF_DAEMON_SCRIPT = fileURLToPath(new URL('./proofDaemon.js', import.meta.url));
const STAND_IN_SCRIPT = fileURLToPath(new URL('./standInMain.js', import.meta.url));

/** Options of a fleet and its processes. */
export interface FleetOptions {
  readonly size: FleetSize;
  readonly seed: number;
  /** Limits of the platform log that differ from the defaults of the stand-in. */
  readonly log?: StandInSpecification['log'];
  /** Delay until a change shows in the host list, if not the default of the stand-in. */
  readonly hostListLagMs?: number;
  /** Further settings of the daemons, which override the planned ones. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Runs the daemons with links and a platform connection in which faults can be injected. */
  readonly hasFaultyLinks?: boolean;
  /** Script of the daemons, instead of the shipped one. */
  readonly daemonScript?: string;
  /** Further environment variables of the daemons. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Log namespaces of the daemons. */
  readonly namespaces?: string;
}

/** Starts, configures and stops the processes of one run. */
export class Fleet {
  public readonly clock = new SystemClock();
  private readonly _random = new SystemRandom();
  private readonly _standIns = new Map<string, ManagedProcess>();
  private readonly _daemons: ManagedProcess[] = [];

  private constructor(
    private readonly _options: FleetOptions,
    public readonly ports: FleetPorts,
    public readonly directory: string,
  ) {}

  /** Chooses ports and a temporary directory; starts no process. */
  public static async create(options: FleetOptions): Promise<Fleet> {
    const { daemons, engines, services } = options.size;
    const ports = [
      ...(await findFreePorts(PLATFORM_PORT_COUNT + engines + services + 2 * daemons)),
    ];
    const takePorts = (count: number): number[] => ports.splice(0, count);
    const [log = 0, hostList = 0, weightStore = 0] = takePorts(PLATFORM_PORT_COUNT);
    const directory = mkdtempSync(join(tmpdir(), 'tanagerdyke-'));
    mkdirSync(directory, { recursive: true });
    return new Fleet(
      options,
      {
        log,
        hostList,
        weightStore,
        engines: takePorts(engines),
        services: takePorts(services),
        callers: takePorts(daemons),
        peers: takePorts(daemons),
      },
      directory,
    );
  }

  public get size(): FleetSize {
    return this._options.size;
  }

  public get daemons(): readonly ManagedProcess[] {
    return this._daemons;
  }

  /** Stand-in processes by name: `platform`, `engine-N`, `service-N`. */
  public standIn(name: string): ManagedProcess | undefined {
    return this._standIns.get(name);
  }

  /** The names of all stand-in processes. */
  public get standInNames(): readonly string[] {
    return [...this._standIns.keys()];
  }

  /** Path of the records of a stand-in; the file exists once a record was written. */
  public recordFile(name: string): string {
    return join(this.directory, `${name}.records.jsonl`);
  }

  /** Path of the log of a process. */
  public logFile(name: string): string {
    return join(this.directory, `${name}.log`);
  }

  /** Starts the stand-ins, then the daemons, and waits until each daemon lists all as ready. */
  public async start(): Promise<void> {
    await this._startStandIns();
    for (let index = 0; index < this.size.daemons; index++) {
      this._daemons.push(this._createDaemon(index));
      this._daemons[index]?.start();
    }
    await Promise.all(this.ports.callers.map((port) => this.waitForReady(port)));
    await this._waitForStatus(
      ({ members }) => members.filter(({ state }) => state.isReady).length === this.size.daemons,
    );
  }

  /** Publishes the planned objects as `publish` does. */
  public async publishPlan(): Promise<number> {
    return this.publish(planObjects(this.size, this.ports));
  }

  /**
   * Publishes a complete set of objects through the first daemon, as the difference to the current
   * one, waits until it is in force on every daemon and returns its offset.
   */
  public async publish(objects: readonly ConfigurationObject[]): Promise<number> {
    const operator = this.operator(0);
    const current = await operator.configuration();
    if (current.isErr) {
      throw current.error;
    }
    const change = ObjectSet.of(current.value.objects).difference(ObjectSet.of(objects));
    const id = this._random.identifier();
    const accepted = await operator.publish(id, current.value.offset, change);
    if (accepted.isErr) {
      throw accepted.error;
    }
    const { offset } = accepted.value;
    await this._waitForStatus(({ configuration }) => configuration.offset >= offset);
    return accepted.value.offset;
  }

  public operator(index: number): OperatorClient {
    return new OperatorClient(this.callerAddress(index), OPERATOR_TOKEN);
  }

  /** Creates a client of a workspace that prefers daemons in the given availability zone. */
  public caller(workspace: string, availabilityZone: string): CallerClient {
    return new CallerClient({
      clock: this.clock,
      seeds: this.ports.callers.map((_, index) => this.callerAddress(index)),
      token: tokenOf(workspace),
      availabilityZone,
      random: () => this._random.next(),
    });
  }

  public callerAddress(index: number): string {
    return `http://127.0.0.1:${this.ports.callers[index] ?? 0}`;
  }

  /** Waits until the daemon with this caller port reports that it is ready. */
  public async waitForReady(port: number): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
      if ((await fetchStatusCode(`http://127.0.0.1:${port}/readyz`)) === HTTP_OK) {
        return;
      }
      await this.clock.sleep(READY_PAUSE_MS);
    }
    throw new Error(`the daemon at port ${port} is not ready; its log is in ${this.directory}`);
  }

  /** Stops all daemons by SIGTERM, then kills the stand-ins. */
  public async stop(): Promise<void> {
    await Promise.all(this._daemons.map((daemon) => daemon.end('SIGTERM')));
    await this.kill();
  }

  /** Kills all processes that still run, without a clean shutdown. */
  public async kill(): Promise<void> {
    const all = [...this._daemons, ...this._standIns.values()];
    await Promise.all(all.map((child) => child.end('SIGKILL')));
  }

  private async _startStandIns(): Promise<void> {
    const { seed, size, log, hostListLagMs } = this._options;
    const { ports } = this;
    const weightStore = `http://127.0.0.1:${ports.weightStore}`;
    const profile = { ...size.profile, versions: [VERSION] };
    this._addStandIn('platform', [
      {
        kind: StandInKind.Log,
        port: ports.log,
        seed,
        log,
        recordFile: this.recordFile('platform'),
      },
      { kind: StandInKind.HostList, port: ports.hostList, seed, lagMs: hostListLagMs },
      { kind: StandInKind.WeightStore, port: ports.weightStore, seed },
    ]);
    for (const [index, port] of ports.engines.entries()) {
      const target = `engine-${index}`;
      const specification = {
        target,
        recordFile: this.recordFile(target),
        kind: StandInKind.Engine,
        port,
        seed: seed + index,
        profile,
        weightStore,
      };
      this._addStandIn(target, [specification]);
    }
    for (const [index, port] of ports.services.entries()) {
      const target = `service-${index}`;
      const recordFile = this.recordFile(target);
      this._addStandIn(target, [
        { kind: StandInKind.Service, port, seed: seed + index, target, recordFile },
      ]);
    }
    const all = [...this._standIns.values()];
    await Promise.all(
      all.map((standIn) => {
        standIn.start();
        return standIn.waitForOutput('ready');
      }),
    );
  }

  private _addStandIn(name: string, specifications: readonly StandInSpecification[]): void {
    this._standIns.set(
      name,
      new ManagedProcess(
        name,
        STAND_IN_SCRIPT,
        [JSON.stringify(specifications)],
        {},
        join(this.directory, `${name}.log`),
      ),
    );
  }

  private _createDaemon(index: number): ManagedProcess {
    const { region } = this.size;
    const name = `node-${index}`;
    const url = (port: number): string => `http://127.0.0.1:${port}`;
    const settings = {
      node: { name, region, availabilityZone: zoneOf(this.size, index) },
      listen: {
        caller: `127.0.0.1:${this.ports.callers[index] ?? 0}`,
        peer: `127.0.0.1:${this.ports.peers[index] ?? 0}`,
      },
      seeds: this.ports.peers.map((port) => `127.0.0.1:${port}`),
      platform: {
        adapter: 'http',
        log: url(this.ports.log),
        hostList: url(this.ports.hostList),
        weightStore: url(this.ports.weightStore),
      },
      operatorToken: { environment: OPERATOR_TOKEN_VARIABLE },
      logs: { namespaces: this._options.namespaces ?? 'tanager:*' },
      ...this._options.settings,
    };
    const file = join(this.directory, `${name}.yaml`);
    writeFileSync(file, stringify(settings));
    return new ManagedProcess(
      name,
      this._options.daemonScript ??
        (this._options.hasFaultyLinks === true ? PROOF_DAEMON_SCRIPT : DAEMON_SCRIPT),
      ['--settings', file],
      { [OPERATOR_TOKEN_VARIABLE]: OPERATOR_TOKEN, ...this._options.environment },
      join(this.directory, `${name}.log`),
    );
  }

  /** Waits until the statuses of all daemons satisfy the predicate. */
  private async _waitForStatus(isExpected: (status: DaemonStatus) => boolean): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
      const all = await Promise.all(this._daemons.map((_, index) => this.operator(index).status()));
      if (all.every((status) => status.isOk && isExpected(status.value))) {
        return;
      }
      await this.clock.sleep(READY_PAUSE_MS);
    }
    throw new Error(`not all daemons reach the expected status; logs are in ${this.directory}`);
  }
}

/** Ports of the platform: log, host list and weight store. */
const PLATFORM_PORT_COUNT = 3;

/** The status code of a GET request, or 0 when the connection fails. */
async function fetchStatusCode(url: string): Promise<number> {
  try {
    const { statusCode, body } = await request(url);
    await body.dump();
    return statusCode;
  } catch {
    return 0;
  }
}
