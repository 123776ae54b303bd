import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { type ActiveRequest, ActiveRequestTable } from './ActiveRequestTable.js';
import { CellDirectory } from './CellDirectory.js';
import { CoordinatorChannel } from './CoordinatorChannel.js';
import { LoadReporter } from './LoadReporter.js';

const request: ActiveRequest = {
  id: '1',
  targets: ['e1', 'e2'],
  isMemoryShared: false,
  partPrefillMs: 100,
  startedAt: 0,
  dueAt: 300,
  isGenerating: false,
  pauseTargetMs: 200,
  value: 2,
  memoryTokens: 6_000,
  contextTokens: 5_000,
};

describe('load updates between two nodes', () => {
  const members = ['a', 'b'].map((name, index) => memberOf(name, `127.0.0.1:${index + 1}`));
  let clock: ManualClock;
  let network: MemoryNetwork;
  let tables: ActiveRequestTable[];
  let nodes: LoadReporter[];

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    tables = [];
    nodes = members.map((self) => {
      const transport = network.join(self.peerAddress);
      const membership = new FixedMembership(self, members);
      const table = new ActiveRequestTable(clock, self.name);
      tables.push(table);
      const cells = new CellDirectory(membership);
      const channel = new CoordinatorChannel({ clock, transport, membership, cells });
      channel.recordUse({ service: 'm', availabilityZone: undefined });
      return new LoadReporter({ clock, channel, node: self.name, activeRequests: table });
    });
    nodes[0]?.start();
  });

  it('sends a request that started to the other nodes within 10 ms', async () => {
    nodes[0]?.publish(request);
    await clock.advance(10);
    expect(tables[1]?.requests).toMatchObject([
      { id: '1', targets: ['e1', 'e2'], partPrefillMs: 100 },
    ]);
  });

  it('leaves only the primary once the prompt is prefilled', async () => {
    nodes[0]?.publish(request);
    await clock.advance(10);
    nodes[0]?.markGenerating({ ...request, isGenerating: true, targets: ['e1'] });
    await clock.advance(10);
    expect(tables[1]?.requests).toMatchObject([{ isGenerating: true, targets: ['e1'] }]);
  });

  it('removes a request that ended on the other nodes', async () => {
    nodes[0]?.publish(request);
    await clock.advance(10);
    nodes[0]?.remove('1');
    await clock.advance(10);
    expect(tables[1]?.requests).toEqual([]);
  });

  it('keeps no disposable registered once the changes are sent', async () => {
    const disposableCount = (): number =>
      (nodes[0] as unknown as { _disposables: Set<unknown> })._disposables.size;
    const before = disposableCount();
    for (let count = 0; count < 50; count++) {
      nodes[0]?.publish({ ...request, id: String(count) });
      nodes[0]?.remove(String(count));
      await clock.advance(10);
    }
    expect(disposableCount()).toBe(before);
  });

  describe('lost datagrams', () => {
    it('of a request that started are repaired by the next full state', async () => {
      network.loss = 1;
      nodes[0]?.publish(request);
      await clock.advance(10);
      network.loss = 0;
      await clock.advance(1_010);
      expect(tables[1]?.requests).toHaveLength(1);
    });

    it('of a request that ended are repaired by the next full state', async () => {
      nodes[0]?.publish(request);
      await clock.advance(10);
      network.loss = 1;
      nodes[0]?.remove('1');
      await clock.advance(10);
      network.loss = 0;
      await clock.advance(1_010);
      expect(tables[1]?.requests).toEqual([]);
    });
  });

  describe('the requests of a node that stops sending updates', () => {
    it('no longer count after 3 s', async () => {
      nodes[0]?.publish(request);
      await clock.advance(10);
      network.loss = 1;
      await clock.advance(3_000);
      expect(tables[1]?.requests).toEqual([]);
    });
  });

  describe('malformed datagrams', () => {
    it.each(['', '{', '{"method":"load"}', '{"method":"load","params":{"node":"a","works":[1]}}'])(
      'change nothing on the receiver: %s',
      async (payload) => {
        network.find('127.0.0.1:1')?.sendDatagram('127.0.0.1:2', payload);
        await clock.advance(10);
        expect(tables[1]?.requests).toEqual([]);
      },
    );
  });
});
