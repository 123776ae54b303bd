/**
 * Plays the placement of prompts by a coordinator on a simulated network, with each fault that it
 * can have: it is dead, frozen, cut off one way, loses datagrams, or does not know the service.
 * A prompt must get its placement from the next node soon, and nothing may stay on the account.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import type { Member } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { CellDirectory } from './CellDirectory.js';
import { PlacementRefusal, RefusedPrompt } from './PlacementDecision.js';
import { engineEntry, shortPrompt, simpleProfile } from './PlacementFixtures.js';
import { PlacementNode } from './PlacementNode.js';
import type { PlacedPrompt, PromptToPlace } from './PromptScheduler.js';

const NODES = 6;
const ENGINES = 4;
const SLOTS = 3;
/** Half of the 11,264 bytes per second that control traffic of a node may use. */
const BYTES_PER_WAITING_SECOND = 5_632;
const CELL = { service: 'm', availabilityZone: undefined };

function defined<T>(value: T | undefined): T {
  if (value === undefined) {
    throw new Error('the value is missing');
  }
  return value;
}

describe('placement by a coordinator', () => {
  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );
  const engines = Array.from({ length: ENGINES }, (_each, index) =>
    engineEntry(`e${index}`, SLOTS),
  );
  let clock: ManualClock;
  let network: MemoryNetwork;
  let nodes: Map<string, PlacementNode>;
  let coordinator: Member;
  let standby: Member;
  let entries: readonly Member[];

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    nodes = new Map(
      members.map((self) => [self.name, new PlacementNode(self, members, network, engines)]),
    );
    const [self] = members;
    const directory = new CellDirectory(new FixedMembership(defined(self), members));
    [coordinator, standby] = directory.coordinatorsOf(CELL) as [Member, Member];
    entries = members.filter(({ name }) => name !== coordinator.name && name !== standby.name);
  });

  function nodeOf({ name }: Member): PlacementNode {
    return defined(nodes.get(name));
  }

  function promptAt(
    entry: Member,
    waitMs = 0,
    signal = new AbortController().signal,
    excluded: ReadonlySet<string> = new Set(),
  ) {
    const now = clock.now();
    const prompt: PromptToPlace = {
      ...shortPrompt,
      service: 'm',
      profile: simpleProfile,
      dueAt: now + shortPrompt.dueInMs,
      deadlineAt: now + shortPrompt.deadlineInMs,
      workspace: 'w',
      isReturning: false,
      excluded,
    };
    return nodeOf(entry).prompts.place(prompt, now + waitMs, signal);
  }

  /** Places prompts at the same moment, each at the next entry node. */
  async function placeTogether(count: number, waitMs = 0) {
    const pending = Array.from({ length: count }, (_each, index) =>
      promptAt(defined(entries[index % entries.length]), waitMs),
    );
    await clock.advance(20);
    return Promise.all(pending);
  }

  function placedOf(results: readonly (PlacedPrompt | RefusedPrompt)[]): PlacedPrompt[] {
    return results.filter((each): each is PlacedPrompt => !(each instanceof RefusedPrompt));
  }

  it('never exceeds the slots of an engine when all nodes place at the same moment', async () => {
    const placed = placedOf(await placeTogether(ENGINES * SLOTS));
    const perEngine = engines.map(
      ({ id }) => placed.filter(({ targets: [primary] }) => primary.id === id).length,
    );
    expect(perEngine).toEqual(engines.map(() => SLOTS));
    expect(new Set(placed.map(({ decidedBy }) => decidedBy))).toEqual(new Set([coordinator.name]));
  });

  it('is needed for that: nodes that decide alone exceed the slots', async () => {
    network.loss = 1;
    const pending = Array.from({ length: ENGINES * SLOTS }, (_each, index) =>
      promptAt(defined(entries[index % entries.length])),
    );
    await clock.advance(250);
    const placed = placedOf(await Promise.all(pending));
    const perEngine = engines.map(
      ({ id }) => placed.filter(({ targets: [primary] }) => primary.id === id).length,
    );
    expect(Math.max(...perEngine)).toBeGreaterThan(SLOTS);
  });

  it('records placed prompts on the standby as well', async () => {
    await placeTogether(5);
    await clock.advance(10);
    expect(nodeOf(standby).table.requests).toHaveLength(5);
  });

  it('removes prompts that ended from both accounts', async () => {
    for (const placed of placedOf(await placeTogether(5))) {
      placed.end();
    }
    await clock.advance(20);
    expect(nodeOf(coordinator).table.requests).toEqual([]);
    expect(nodeOf(standby).table.requests).toEqual([]);
  });

  describe('without a free slot', () => {
    it('places a waiting prompt as soon as one ends', async () => {
      const [first] = placedOf(await placeTogether(ENGINES * SLOTS));
      await clock.advance(500);
      const waiting = promptAt(defined(entries[0]), 2_000);
      await clock.advance(200);
      first?.end();
      await clock.advance(40);
      expect(await waiting).toMatchObject({ targets: [{ id: first?.targets[0].id }] });
    });

    it('refuses a prompt whose turn is not expected in time, without waiting', async () => {
      await placeTogether(ENGINES * SLOTS);
      await clock.advance(1_000);
      const queued = Array.from({ length: 30 }, () => promptAt(defined(entries[0]), 2_000));
      await clock.advance(20);
      const outcomes = await Promise.all(
        queued.map((each) => Promise.race([each, Promise.resolve('waiting')])),
      );
      const refused = outcomes.filter((each) => each instanceof RefusedPrompt);
      expect(refused.length).toBeGreaterThan(10);
      expect(new Set(refused.map(({ retryAfterMs }) => retryAfterMs)).size).toBe(refused.length);
    });

    it('sends few copies of the request of a waiting prompt', async () => {
      await placeTogether(ENGINES * SLOTS);
      const [entry] = entries;
      await clock.advance(500);
      const before = network.find(defined(entry).peerAddress)?.bytesSent ?? 0;
      void promptAt(defined(entry), 2_000);
      await clock.advance(1_500);
      const sent = (network.find(defined(entry).peerAddress)?.bytesSent ?? 0) - before;
      expect(sent).toBeLessThan(BYTES_PER_WAITING_SECOND * 1.5);
    });

    it('drops the prompt of a caller that disconnects', async () => {
      const [first] = placedOf(await placeTogether(ENGINES * SLOTS));
      const caller = new AbortController();
      const waiting = promptAt(defined(entries[0]), 2_000, caller.signal);
      await clock.advance(100);
      caller.abort();
      await clock.advance(50);
      expect(await waiting).toMatchObject({ refusal: PlacementRefusal.CallerDisconnected });
      first?.end();
      await clock.advance(100);
      expect(nodeOf(coordinator).table.requests).toHaveLength(ENGINES * SLOTS - 1);
    });

    it('places a prompt that waited at a coordinator that ended', async () => {
      // Guards against prompts that are lost with the queue of a node that is stopped as planned.
      const [first] = placedOf(await placeTogether(ENGINES * SLOTS));
      await clock.advance(500);
      const waiting = promptAt(defined(entries[0]), 2_000);
      await clock.advance(200);
      network.leave(coordinator.peerAddress);
      await clock.advance(500);
      first?.end();
      await clock.advance(100);
      expect(await waiting).toMatchObject({
        targets: [{ id: first?.targets[0].id }],
        decidedBy: standby.name,
      });
    });

    it('drops the prompts of an entry node that died', async () => {
      const [, ofOtherEntry] = placedOf(await placeTogether(ENGINES * SLOTS));
      const [dying] = entries;
      void promptAt(defined(dying), 2_000);
      await clock.advance(100);
      for (const { peerAddress } of members) {
        network.cut(dying?.peerAddress ?? '', peerAddress);
      }
      await clock.advance(400);
      ofOtherEntry?.end();
      await clock.advance(100);
      expect(nodeOf(coordinator).table.requests).toHaveLength(ENGINES * SLOTS - 1);
    });
  });

  describe.each([
    [
      'is dead',
      () => {
        network.leave(coordinator.peerAddress);
      },
    ],
    [
      'does not know the service',
      () => {
        nodeOf(coordinator).profile = undefined;
      },
    ],
    [
      'receives requests but its answers are lost',
      () => {
        for (const { peerAddress } of entries) {
          network.cut(coordinator.peerAddress, peerAddress);
        }
      },
    ],
  ])('by a coordinator that %s', (_condition, harm) => {
    it('comes from the standby within 100 ms, and then without delay', async () => {
      harm();
      const [entry] = entries;
      const first = promptAt(defined(entry));
      await clock.advance(110);
      expect(await first).toMatchObject({ decidedBy: standby.name });
      const second = promptAt(defined(entry));
      await clock.advance(5);
      expect(await second).toMatchObject({ decidedBy: standby.name });
    });

    it('leaves one record of each prompt on both accounts', async () => {
      harm();
      const [entry] = entries;
      const first = promptAt(defined(entry));
      await clock.advance(110);
      await first;
      await clock.advance(2_000);
      expect(nodeOf(standby).table.requests).toHaveLength(1);
      expect(nodeOf(coordinator).table.requests.length).toBeLessThanOrEqual(1);
    });
  });

  it('is decided by the entry node when neither coordinator responds', async () => {
    network.leave(coordinator.peerAddress);
    network.leave(standby.peerAddress);
    const [entry] = entries;
    const pending = promptAt(defined(entry));
    await clock.advance(220);
    expect(await pending).toMatchObject({ decidedBy: entry?.name });
  });

  it('survives lost datagrams without a second record of a prompt', async () => {
    network.loss = 0.3;
    const pending = Array.from({ length: 8 }, (_each, index) =>
      promptAt(defined(entries[index % entries.length])),
    );
    await clock.advance(400);
    const placed = placedOf(await Promise.all(pending));
    expect(placed).toHaveLength(8);
    network.loss = 0;
    await clock.advance(2_500);
    expect(nodeOf(coordinator).table.requests).toHaveLength(8);
  });

  it('gives an entry node that restarted a decision of its own', async () => {
    const entry = defined(entries[0]);
    const first = promptAt(entry);
    await clock.advance(10);
    const chosen = ((await first) as PlacedPrompt).targets[0].id;
    nodes.set(entry.name, new PlacementNode(entry, members, network, engines));
    const second = promptAt(entry, 0, undefined, new Set([chosen]));
    await clock.advance(10);
    expect(((await second) as PlacedPrompt).targets[0].id).not.toBe(chosen);
  });

  it('avoids an engine that only the entry node knows to be draining', async () => {
    const [entry] = entries;
    const { engines: all } = nodeOf(defined(entry));
    const first = promptAt(defined(entry));
    await clock.advance(10);
    const chosen = ((await first) as PlacedPrompt).targets[0].id;
    nodeOf(defined(entry)).engines = all.filter(({ id }) => id !== chosen);
    const second = promptAt(defined(entry));
    await clock.advance(20);
    expect(((await second) as PlacedPrompt).targets[0].id).not.toBe(chosen);
    await clock.advance(2_000);
    expect(nodeOf(coordinator).table.requests).toHaveLength(2);
  });
});
