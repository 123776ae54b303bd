/**
 * Replays the return of a zone of 23 cold engines while the other engines are busy, at 24 nodes. A cold
 * engine crashes when it gets more than half more than its rate, and five requests, in any second. To
 * every node the zone looks empty at the same moment, and nodes may be without a coordinator or
 * without messages of each other.
 */
import { memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { type Member, MemberStatus } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import type { TargetEntry } from '../Messages.js';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { CellDirectory } from './CellDirectory.js';
import { RefusedPrompt } from './PlacementDecision.js';
import { engineEntry, promptRequest, shortPrompt, simpleProfile } from './PlacementFixtures.js';
import { PlacementNode } from './PlacementNode.js';

const NODES_PER_ZONE = 8;
const ZONES = ['a', 'b', 'c'];
const COLD_ENGINES = 23;
const BUSY_ENGINES = 10;
const COLD_MS = 2_200;
const COLD_PER_SECOND = 14;
const ALLOWED_IN_SECOND = COLD_PER_SECOND * 1.5 + 5;
const RETURN_MS = 500;
const PROMPT_INTERVAL_MS = 3;
const MIN_DURATION_MS = 150;
const MAX_DURATION_MS = 350;
const MAX_WAIT_MS = 300;
const MAX_ARRIVAL_DELAY_MS = 8;
const RECORD_INTERVAL_MS = 1_200;
const BUSY_REPEAT_MS = 1_000;
/** Name under which every node has the requests that keep the other engines busy. */
const BUSY_NODE = 'busy';

describe('a zone that returns with cold engines', () => {
  const members = ZONES.flatMap((availabilityZone, zone) =>
    Array.from({ length: NODES_PER_ZONE }, (_each, index) => ({
      ...memberOf(`n${availabilityZone}${index}`, `127.0.${zone}.${index + 1}:1`),
      availabilityZone,
    })),
  );
  const cold = Array.from({ length: COLD_ENGINES }, (_each, index) => engineEntry(`cold${index}`));
  const busy = Array.from({ length: BUSY_ENGINES }, (_each, index) => engineEntry(`b${index}`, 1));
  const busyRequests: readonly ActiveRequest[] = busy.map(({ id }) => ({
    id,
    targets: [id],
    isMemoryShared: false,
    partPrefillMs: 20,
    startedAt: 0,
    dueAt: shortPrompt.dueInMs,
    isGenerating: true,
    pauseTargetMs: shortPrompt.pauseTargetMs,
    value: 1,
    memoryTokens: 6_600,
    contextTokens: 5_000,
  }));
  let clock: ManualClock;
  let network: MemoryNetwork;
  let random: SeededRandom;
  let nodes: PlacementNode[];
  let arrivals: { readonly engine: string; readonly at: number }[];
  let offered: number;

  beforeEach(() => {
    clock = new ManualClock();
    random = new SeededRandom(1);
    network = new MemoryNetwork(clock, random);
    nodes = members.map((self) => new PlacementNode(self, members, network, busy));
    for (const node of nodes) {
      node.warmUp = { durationMs: COLD_MS, requestsPerSecond: COLD_PER_SECOND };
    }
    arrivals = [];
    offered = 0;
  });

  function coordinators(): readonly Member[] {
    const [node] = nodes;
    return node === undefined
      ? []
      : new CellDirectory(node.membership).coordinatorsOf(promptRequest().cell);
  }

  function cutZones(): void {
    for (const from of members) {
      for (const to of members) {
        if (from.availabilityZone !== to.availabilityZone) {
          network.cut(from.peerAddress, to.peerAddress);
        }
      }
    }
  }

  /** Lets nodes count only those members as live that they can reach. */
  function detectUnreachable(zones: readonly string[] = ZONES): void {
    for (const { membership } of nodes) {
      const { availabilityZone, peerAddress } = membership.self;
      const unreachable = members.filter(
        (each) =>
          each.peerAddress !== peerAddress &&
          (network.loss === 1 || network.isCut(peerAddress, each.peerAddress)),
      );
      for (const member of zones.includes(availabilityZone) ? unreachable : []) {
        membership.applyUpdate({ ...member, status: MemberStatus.Dead });
      }
    }
  }

  async function serve(node: PlacementNode): Promise<void> {
    const now = clock.now();
    const durationMs = MIN_DURATION_MS + random.integer(MAX_DURATION_MS - MIN_DURATION_MS);
    const delayMs = random.integer(MAX_ARRIVAL_DELAY_MS);
    const placed = await node.prompts.place(
      {
        ...shortPrompt,
        service: 'm',
        profile: simpleProfile,
        dueAt: now + shortPrompt.dueInMs,
        deadlineAt: now + shortPrompt.deadlineInMs,
        workspace: 'w',
        isReturning: false,
        excluded: new Set(),
      },
      now + MAX_WAIT_MS,
      new AbortController().signal,
    );
    if (!(placed instanceof RefusedPrompt)) {
      arrivals.push({ engine: placed.targets[0].id, at: clock.now() + delayMs });
      clock.schedule(durationMs, () => {
        placed.end();
      });
    }
  }

  function readCold(entries: readonly TargetEntry[]): void {
    const coldMs = Math.max(0, RETURN_MS + COLD_MS - clock.now());
    for (const node of nodes) {
      node.engines = [...busy, ...entries];
      for (const entry of entries) {
        node.coldTargets.applyEntry({ entry: { ...entry, coldMs }, isInitial: false });
      }
    }
  }

  function repeatBusy(): void {
    for (const node of nodes) {
      for (const request of busyRequests) {
        node.table.set(BUSY_NODE, request);
      }
    }
  }

  /** Plays until the engines are warm; returns the most that one of them got in a second. */
  async function play(): Promise<number> {
    const pending: Promise<void>[] = [];
    const isDue = (intervalMs: number, from: number): boolean =>
      clock.now() >= from && (clock.now() - from) % intervalMs < PROMPT_INTERVAL_MS;
    while (clock.now() < RETURN_MS + COLD_MS) {
      if (isDue(BUSY_REPEAT_MS, 0)) {
        repeatBusy();
      }
      if (isDue(RECORD_INTERVAL_MS, RETURN_MS)) {
        readCold(cold);
      }
      const node = nodes[random.integer(nodes.length)];
      if (node !== undefined && network.find(node.membership.self.peerAddress) !== undefined) {
        offered++;
        pending.push(serve(node));
      }
      await clock.advance(PROMPT_INTERVAL_MS);
    }
    await clock.advance(1_000);
    await Promise.all(pending);
    const isCold = ({ at, engine }: { at: number; engine: string }): boolean =>
      engine.startsWith('cold') && at < RETURN_MS + COLD_MS;
    const counted = arrivals.filter(isCold);
    return Math.max(
      0,
      ...counted.map(
        ({ at, engine }) =>
          counted.filter((each) => each.engine === engine && each.at >= at && each.at < at + 1_000)
            .length,
      ),
    );
  }

  function killCoordinators(count: number): void {
    for (const { peerAddress } of coordinators().slice(0, count)) {
      network.leave(peerAddress);
    }
  }

  it('exceeds what its engines tolerate if nothing limits their rate', async () => {
    for (const node of nodes) {
      node.warmUp = undefined;
    }
    network.loss = 1;
    expect(await play()).toBeGreaterThan(ALLOWED_IN_SECOND);
  });

  it('gets as much as its engines tolerate from a coordinator, and serves most prompts', async () => {
    expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    expect(arrivals.length).toBeGreaterThan(offered * 0.6);
  });

  describe('gets no more than its engines tolerate', () => {
    it.each([
      ['when a coordinator takes over', 1],
      ['when no coordinator answers', 2],
    ])('%s', async (_name, count) => {
      killCoordinators(count);
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });

    it('when the coordinator dies after the return', async () => {
      clock.schedule(RETURN_MS + 700, () => {
        killCoordinators(1);
      });
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });

    it.each([0.2, 1])('when %d of the datagrams are lost', async (loss) => {
      network.loss = loss;
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });

    it('when zones can not reach each other', async () => {
      cutZones();
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });

    it('when zones can not reach each other, and know it', async () => {
      cutZones();
      detectUnreachable();
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });

    it('when zones notice at different moments that they can not reach each other', async () => {
      cutZones();
      for (const [index, zone] of ZONES.entries()) {
        clock.schedule(RETURN_MS + 500 * (index + 1), () => {
          detectUnreachable([zone]);
        });
      }
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });

    it('when no node can reach any other, and knows it', async () => {
      network.loss = 1;
      detectUnreachable();
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });

    it('when all nodes have just started and know no others', async () => {
      network.loss = 1;
      detectUnreachable();
      for (const node of nodes) {
        node.maxNodes = 1;
        node.hasJoined = false;
      }
      expect(await play()).toBeLessThanOrEqual(ALLOWED_IN_SECOND);
    });
  });
});
