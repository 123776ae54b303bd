import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { type EngineWork, LoadBoard } from './LoadBoard.js';
import { LoadNews } from './LoadNews.js';

const work: EngineWork = {
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

describe('LoadNews', () => {
  const members = ['a', 'b'].map((name, index) => memberOf(name, `127.0.0.1:${index + 1}`));
  let clock: ManualClock;
  let network: MemoryNetwork;
  let boards: LoadBoard[];
  let news: LoadNews[];

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    boards = [];
    news = members.map((self) => {
      const transport = network.join(self.peerAddress);
      const membership = new FixedMembership(self, members);
      const board = new LoadBoard(clock, self.name);
      boards.push(board);
      const broadcast = new ZoneBroadcast({ clock, transport, membership });
      return new LoadNews({ clock, broadcast, node: self.name, board });
    });
    news[0]?.start();
  });

  it('tells others of work within a few ms', async () => {
    news[0]?.publish(work);
    await clock.advance(10);
    expect(boards[1]?.requests).toMatchObject([
      { id: '1', targets: ['e1', 'e2'], partPrefillMs: 100 },
    ]);
  });

  it('leaves only the first engine once the prompt is read', async () => {
    news[0]?.publish(work);
    await clock.advance(10);
    news[0]?.begin({ ...work, isGenerating: true, targets: ['e1'] });
    await clock.advance(10);
    expect(boards[1]?.requests).toMatchObject([{ isGenerating: true, targets: ['e1'] }]);
  });

  it('tells that work ended', async () => {
    news[0]?.publish(work);
    await clock.advance(10);
    news[0]?.withdraw('1');
    await clock.advance(10);
    expect(boards[1]?.requests).toEqual([]);
  });

  it('holds nothing of changes that were told', async () => {
    const held = (): number => (news[0] as unknown as { _held: Set<unknown> })._held.size;
    const before = held();
    for (let count = 0; count < 50; count++) {
      news[0]?.publish({ ...work, id: String(count) });
      news[0]?.withdraw(String(count));
      await clock.advance(10);
    }
    expect(held()).toBe(before);
  });

  describe('lost datagrams', () => {
    it('are made good within the next whole state', async () => {
      network.loss = 1;
      news[0]?.publish(work);
      await clock.advance(10);
      network.loss = 0;
      await clock.advance(1_010);
      expect(boards[1]?.requests).toHaveLength(1);
    });

    it('that told of an end are made good too', async () => {
      news[0]?.publish(work);
      await clock.advance(10);
      network.loss = 1;
      news[0]?.withdraw('1');
      await clock.advance(10);
      network.loss = 0;
      await clock.advance(1_010);
      expect(boards[1]?.requests).toEqual([]);
    });
  });

  describe('a node that falls silent', () => {
    it('takes its work with it', async () => {
      news[0]?.publish(work);
      await clock.advance(10);
      network.loss = 1;
      await clock.advance(3_000);
      expect(boards[1]?.requests).toEqual([]);
    });
  });

  describe('foreign datagrams', () => {
    it.each(['', '{', '{"method":"load"}', '{"method":"load","params":{"node":"a","works":[1]}}'])(
      'change nothing: %s',
      async (payload) => {
        network.find('127.0.0.1:1')?.sendDatagram('127.0.0.1:2', `F${payload}`);
        await clock.advance(10);
        expect(boards[1]?.requests).toEqual([]);
      },
    );
  });
});
