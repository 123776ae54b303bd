/**
 * Replays the evacuation of a zone while all nodes place prompts: nothing may be placed in the zone,
 * its share must spread over the other engines, and what waits must be decided anew at once.
 */
import { memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import type { TargetEntry } from '../Messages.js';
import { PlacementRefusal, RefusedPrompt } from './PlacementDecision.js';
import { engineEntry, shortPrompt, simpleProfile } from './PlacementFixtures.js';
import { PlacementNode } from './PlacementNode.js';
import type { PlacedPrompt } from './PromptScheduler.js';

const ZONES = ['a', 'b', 'c'];
const NODES_PER_ZONE = 3;
const SLOTS = 2;
/** Longer than the way of any message. */
const SETTLE_MS = 30;
/** Less than the time until waiting prompts are looked at anyway. */
const BEFORE_RECHECK_MS = 6;
const LONG_WAIT_MS = 5_000;

type Result = PlacedPrompt | RefusedPrompt;

describe('the evacuation of a zone', () => {
  const members = ZONES.flatMap((availabilityZone) =>
    Array.from({ length: NODES_PER_ZONE }, (_each, index) => ({
      ...memberOf(
        `${availabilityZone}${index}`,
        `127.0.0.1:${ZONES.indexOf(availabilityZone) * NODES_PER_ZONE + index + 1}`,
      ),
      availabilityZone,
    })),
  );
  let clock: ManualClock;
  let network: MemoryNetwork;
  let nodes: PlacementNode[];
  let workspaces: number;

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    workspaces = 0;
  });

  function createNodes(enginesPerZone: number): void {
    const engines = ZONES.flatMap((availabilityZone) =>
      Array.from({ length: enginesPerZone }, (_each, index): TargetEntry => ({
        ...engineEntry(`${availabilityZone}-${index}`, SLOTS),
        availabilityZone,
      })),
    );
    nodes = members.map((self) => new PlacementNode(self, members, network, engines));
  }

  function evacuate(zones: readonly string[], isEvacuated = true): void {
    for (const node of nodes) {
      for (const zone of zones) {
        node.evacuate(zone, isEvacuated);
      }
    }
  }

  /** Places prompts at the next nodes in turn, at the same moment. */
  function place(count: number, waitMs = 0, promptTokens = shortPrompt.promptTokens) {
    const now = clock.now();
    return Array.from({ length: count }, (_each, index) => {
      const prompt = {
        ...{ ...shortPrompt, promptTokens, service: 'm', profile: simpleProfile },
        ...{ dueAt: now + shortPrompt.dueInMs, deadlineAt: now + shortPrompt.deadlineInMs },
        ...{ workspace: `w${workspaces++}`, isReturning: false, excluded: new Set<string>() },
      };
      const { signal } = new AbortController();
      return nodes[index % nodes.length]?.prompts.place(prompt, now + waitMs, signal);
    }) as Promise<Result>[];
  }

  async function settle(
    pending: readonly Promise<Result>[],
    settleMs = SETTLE_MS,
  ): Promise<(Result | undefined)[]> {
    await clock.advance(settleMs);
    return Promise.all(pending.map((each) => Promise.race([each, Promise.resolve(undefined)])));
  }

  function placedOf(results: readonly (Result | undefined)[]): PlacedPrompt[] {
    return results.filter(
      (each): each is PlacedPrompt => each !== undefined && !(each instanceof RefusedPrompt),
    );
  }

  function refusedOf(results: readonly (Result | undefined)[]): RefusedPrompt[] {
    return results.filter((each) => each instanceof RefusedPrompt);
  }

  function countByEngine(placed: readonly PlacedPrompt[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { targets } of placed) {
      counts.set(targets[0].id, (counts.get(targets[0].id) ?? 0) + 1);
    }
    return counts;
  }

  describe.each([
    ['with one cell', 8],
    ['with a cell for each zone', 23],
  ])('%s', (_name, enginesPerZone) => {
    beforeEach(() => {
      createNodes(enginesPerZone);
    });

    it('sends its share to other engines, evenly', async () => {
      evacuate(['a']);
      const placed = placedOf(await settle(place(2 * enginesPerZone)));
      expect(placed).toHaveLength(2 * enginesPerZone);
      const counts = countByEngine(placed);
      expect([...counts.keys()].filter((id) => id.startsWith('a'))).toEqual([]);
      expect(Math.max(...counts.values())).toBeLessThanOrEqual(SLOTS);
    });

    it('leaves the decisions to the same coordinators, which have the account', async () => {
      const before = placedOf(await settle(place(4 * members.length)));
      evacuate(['a']);
      const after = placedOf(await settle(place(2 * members.length)));
      const deciders = new Set(before.map(({ decidedBy }) => decidedBy));
      expect(after.map(({ decidedBy }) => deciders.has(decidedBy))).not.toContain(false);
    });

    it('is obeyed where only the entry node knows it', async () => {
      for (const node of nodes.slice(0, NODES_PER_ZONE)) {
        node.evacuate('a');
      }
      const placed = placedOf(await settle(place(NODES_PER_ZONE)));
      expect(placed.flatMap(({ targets }) => targets.map(({ id }) => id[0]))).not.toContain('a');
    });

    it('spreads the decisions of nodes without a coordinator', async () => {
      evacuate(['a']);
      network.loss = 1;
      const pending = place(members.length);
      await clock.advance(500);
      const counts = countByEngine(placedOf(await settle(pending)));
      expect(counts.size).toBeGreaterThan(members.length / 2);
      expect([...counts.keys()].filter((id) => id.startsWith('a'))).toEqual([]);
    });
  });

  describe('of all zones', () => {
    beforeEach(() => {
      createNodes(2);
    });

    it('refuses prompts at once, with times to retry that differ by seconds', async () => {
      evacuate(ZONES);
      const refused = refusedOf(await settle(place(20, LONG_WAIT_MS)));
      const times = refused.map(({ retryAfterMs }) => retryAfterMs);
      expect(refused.map(({ refusal }) => refusal)).toEqual(
        Array.from({ length: 20 }, () => PlacementRefusal.Evacuated),
      );
      expect(Math.min(...times)).toBeGreaterThanOrEqual(2_000);
      expect(Math.max(...times)).toBeLessThanOrEqual(5_000);
      expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(1_000);
    });

    it('refuses the prompts that wait at once', async () => {
      await settle(place(ZONES.length * 2 * SLOTS));
      const waiting = place(3, LONG_WAIT_MS);
      await settle(waiting);
      evacuate(ZONES);
      expect(refusedOf(await settle(waiting))).toHaveLength(3);
    });
  });

  describe('while prompts wait', () => {
    const WAITING = 24;
    let running: PlacedPrompt[];

    beforeEach(async () => {
      createNodes(2);
      running = placedOf(await settle(place(ZONES.length * 2 * SLOTS)));
      await clock.advance(1_000);
    });

    it('refuses at once those that no longer fit, the least value first', async () => {
      const few = place(1, LONG_WAIT_MS, 1_000);
      const many = place(WAITING, LONG_WAIT_MS, 100_000);
      const before = await settle([...few, ...many]);
      evacuate(['a', 'b']);
      const [first, ...others] = await settle([...few, ...many]);
      expect(refusedOf(others).length).toBeGreaterThan(refusedOf(before).length);
      expect(first).toBeUndefined();
    });

    it('places none in the zone when a slot there becomes free', async () => {
      const waiting = place(1, LONG_WAIT_MS);
      await settle(waiting);
      evacuate(['a']);
      running.find(({ targets }) => targets[0].id.startsWith('a'))?.end();
      expect(placedOf(await settle(waiting))).toEqual([]);
    });

    it('places them at once when it ends and slots of the zone are free', async () => {
      evacuate(['a']);
      for (const prompt of running.filter(({ targets }) => targets[0].id.startsWith('a'))) {
        prompt.end();
      }
      const waiting = place(1, LONG_WAIT_MS);
      expect(await settle(waiting)).toEqual([undefined]);
      evacuate(['a'], false);
      expect(placedOf(await settle(waiting, BEFORE_RECHECK_MS))).toHaveLength(1);
    });
  });
});
