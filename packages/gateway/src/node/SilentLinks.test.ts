/** Nodes whose connections to each other go silent for good, between real sockets. */
import { createSocket } from 'node:dgram';
import { FaultProxy, FixedMembership, memberOf, SlowClock } from '@tanagerdyke/fakes';
import { type Disposable, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import {
  type DatagramHandler,
  type LinkTraffic,
  type Member,
  type RequestHandler,
  SocketTransport,
  type Transport,
} from '@tanagerdyke/mesh';
import { afterEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../common/DecisionLog.js';
import { KeyedTable } from '../common/state/KeyedTable.js';
import { PeerRelay } from '../common/state/PeerRelay.js';

/** Time passes this much more slowly, so that no time limit depends on the machine's speed. */
const SLOWDOWN = 4;
/** Time within which a change must be in force on all nodes, in the slowed time. */
const MAX_DELAY_MS = 2_000;
const START_TIMEOUT_MS = 5_000;
const POLL_MS = 20;
const HOST = '127.0.0.1';

/** A transport that peers reach through a proxy, with datagrams that may be lost. */
class ProxiedTransport implements Transport {
  constructor(
    private readonly _inner: SocketTransport,
    public readonly address: string,
    private readonly _isLost: () => boolean,
  ) {}

  public get traffic(): LinkTraffic {
    return this._inner.traffic;
  }

  public readonly request: Transport['request'] = (...parameters) =>
    this._inner.request(...parameters);

  public handle(method: string, handler: RequestHandler): Disposable {
    return this._inner.handle(method, handler);
  }

  public sendDatagram(address: string, payload: string): void {
    if (!this._isLost()) {
      this._inner.sendDatagram(address, payload);
    }
  }

  public onDatagram(handler: DatagramHandler): Disposable {
    return this._inner.onDatagram(handler);
  }

  public dispose(): void {
    this._inner.dispose();
  }
}

interface Node {
  readonly transport: SocketTransport;
  readonly proxy: FaultProxy;
  readonly proxyPort: number;
  readonly datagrams: Disposable;
}

describe('nodes whose connections to each other went silent', () => {
  const clock = new SlowClock(SLOWDOWN);
  const owned: Disposable[] = [];
  let proxies: FaultProxy[] = [];
  let tables: KeyedTable[] = [];

  afterEach(() => {
    for (const each of owned.splice(0)) {
      each.dispose();
    }
    for (const proxy of proxies) {
      proxy.close();
    }
  });

  /** Creates nodes of which only the first reaches the platform. */
  async function create(zones: readonly string[], loss: number): Promise<void> {
    const random = new SeededRandom(1);
    const nodes = await Promise.all(zones.map(() => createNode()));
    const members: Member[] = nodes.map(({ proxyPort }, index) => ({
      ...memberOf(`n${index}`, `${HOST}:${proxyPort}`),
      availabilityZone: zones[index] ?? '',
    }));
    proxies = nodes.map(({ proxy }) => proxy);
    tables = nodes.map(({ datagrams, transport }, index) => {
      const self = members[index] ?? memberOf('', '');
      const table = new KeyedTable('topic');
      table.applySnapshot({ epoch: undefined, records: [], end: 0 });
      const relay = new PeerRelay({
        clock,
        random: new SeededRandom(index),
        transport: new ProxiedTransport(transport, self.peerAddress, () => random.next() < loss),
        membership: new FixedMembership(self, members),
        tables: [table],
        isConnected: () => index === 0,
        confirmedAt: () => Number.NEGATIVE_INFINITY,
        hadRecentOutage: () => false,
        catchUp: () => Promise.resolve(false),
        timerDelayMs: () => 0,
        log: new DecisionLog(clock, self.name, () => true),
        metrics: new Metrics(),
      });
      owned.push(relay, transport, datagrams);
      relay.start();
      return table;
    });
  }

  async function createNode(): Promise<Node> {
    const transport = await SocketTransport.listen(clock, HOST, 0, { count: () => undefined });
    const port = Number(transport.address.split(':')[1]);
    const proxy = new FaultProxy(port);
    const proxyPort = await proxy.listen();
    const socket = createSocket('udp4');
    await new Promise<void>((resolve) => {
      socket.bind(proxyPort, HOST, resolve);
    });
    socket.on('message', (payload) => {
      socket.send(payload, port, HOST);
    });
    return { transport, proxy, proxyPort, datagrams: { dispose: () => socket.close() } };
  }

  /** Applies a record at the first node, and returns how long the last node takes to have it. */
  async function measureDelay(key: string, timeoutMs: number): Promise<number> {
    const offset = tables[0]?.end ?? 0;
    const startedAt = clock.now();
    tables[0]?.apply([{ key, offset, value: Buffer.from('1') }], offset + 1);
    while (clock.now() - startedAt < timeoutMs) {
      if (tables.every((table) => table.find(key) !== undefined)) {
        break;
      }
      await clock.sleep(POLL_MS);
    }
    return clock.now() - startedAt;
  }

  it.each([
    ['one zone', ['a', 'a', 'a', 'a'], 0],
    ['three zones', ['a', 'b', 'c', 'a', 'b', 'c', 'a'], 0],
    ['three zones while datagrams are lost', ['a', 'b', 'c', 'a', 'b', 'c', 'a'], 0.2],
  ])('receive a change within 2 s in %s', async (_name, zones, loss) => {
    await create(zones, loss);
    expect(await measureDelay('first', START_TIMEOUT_MS)).toBeLessThan(START_TIMEOUT_MS);
    for (const key of ['second', 'third']) {
      for (const proxy of proxies) {
        proxy.silenceOpenConnections();
      }
      expect(await measureDelay(key, MAX_DELAY_MS)).toBeLessThan(MAX_DELAY_MS);
    }
  });
});
