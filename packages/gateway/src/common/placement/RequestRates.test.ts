/**
 * Plays targets that limit the requests per second of all nodes together, before nodes whose callers
 * would send them more. The limit that applies to a target is half more than it stated, and five
 * requests, in any four seconds.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import type { Member } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { CellDirectory } from './CellDirectory.js';
import { RefusedPrompt } from './PlacementDecision.js';
import { engineEntry, shortPrompt, simpleProfile } from './PlacementFixtures.js';
import { PlacementNode } from './PlacementNode.js';

const NODES = 7;
const ENGINES = 4;
const CELL = { service: 'm', availabilityZone: undefined };
const LIMITED = 'e0';
const STATED_PER_SECOND = 1;
const WINDOW_MS = 4_000;
const ALLOWED_IN_WINDOW = (STATED_PER_SECOND * 1.5 * WINDOW_MS) / 1_000 + 5;
/** A target's answer, and so its statement, arrives after this time. */
const FIRST_EVENT_MS = 60;
const PROMPT_INTERVAL_MS = 50;
const PROMPT_DURATION_MS = 200;
const PLAY_MS = 16_000;
const RESTART_INTERVAL_MS = 1_500;

/** The most requests in any window. */
function busiestWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

describe('a target that limits its requests per second', () => {
  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );
  const engines = Array.from({ length: ENGINES }, (_each, index) => engineEntry(`e${index}`));
  let clock: ManualClock;
  let network: MemoryNetwork;
  let nodes: PlacementNode[];
  let sentAt: number[];
  let refused: RefusedPrompt[];

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    nodes = members.map((self) => new PlacementNode(self, members, network, engines));
    sentAt = [];
    refused = [];
  });

  function coordinators(): readonly Member[] {
    const [self] = members;
    return self === undefined
      ? []
      : new CellDirectory(new FixedMembership(self, members)).coordinatorsOf(CELL);
  }

  /** Serves one prompt at a node; the limited engines state their limit when they answer. */
  async function serve(node: PlacementNode, limited: ReadonlySet<string>): Promise<void> {
    const now = clock.now();
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
      now + 1_000,
      new AbortController().signal,
    );
    if (placed instanceof RefusedPrompt) {
      refused.push(placed);
      return;
    }
    const [{ id }] = placed.targets;
    if (id === LIMITED) {
      sentAt.push(clock.now());
    }
    clock.schedule(FIRST_EVENT_MS, () => {
      node.rateLimits.recordStatement({
        target: id,
        requestsPerSecond: limited.has(id) ? STATED_PER_SECOND : undefined,
      });
    });
    clock.schedule(PROMPT_DURATION_MS, () => {
      placed.end();
    });
  }

  /** Sends prompts to all nodes in turn, and returns those that the limited engine got. */
  async function play(
    limited: ReadonlySet<string> = new Set([LIMITED]),
    callers: readonly PlacementNode[] = nodes,
  ): Promise<readonly number[]> {
    const pending: Promise<void>[] = [];
    for (let count = 0; count < PLAY_MS / PROMPT_INTERVAL_MS; count++) {
      const node = callers[count % callers.length];
      if (node !== undefined) {
        pending.push(serve(node, limited));
      }
      await clock.advance(PROMPT_INTERVAL_MS);
    }
    await clock.advance(5_000);
    await Promise.all(pending);
    return sentAt;
  }

  describe('gets no more prompts than it stated', () => {
    it('from all nodes together', async () => {
      expect(busiestWindow(await play())).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
      expect(refused).toEqual([]);
    });

    it('when its coordinator is of a build that keeps no rates', async () => {
      const [coordinator] = coordinators();
      const callers = nodes.filter((_each, index) => members[index] !== coordinator);
      for (const node of nodes.filter((each) => !callers.includes(each))) {
        node.appliesRateReports = false;
      }
      expect(busiestWindow(await play(undefined, callers))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
    });

    it('when nodes restart one after the other', async () => {
      const callers = [...nodes];
      members.forEach((self, index) => {
        clock.schedule((index + 1) * RESTART_INTERVAL_MS, () => {
          callers[index] = new PlacementNode(self, members, network, engines);
        });
      });
      expect(busiestWindow(await play(undefined, callers))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
    });

    it('when its coordinator is dead', async () => {
      const [coordinator] = coordinators();
      network.leave(coordinator?.peerAddress ?? '');
      const callers = nodes.filter((_each, index) => members[index] !== coordinator);
      expect(busiestWindow(await play(undefined, callers))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
    });

    it('when all nodes decide alone', async () => {
      const [coordinator, standby] = coordinators();
      network.leave(coordinator?.peerAddress ?? '');
      network.leave(standby?.peerAddress ?? '');
      const callers = nodes.filter(
        (_each, index) => members[index] !== coordinator && members[index] !== standby,
      );
      expect(busiestWindow(await play(undefined, callers))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
    });

    it('when datagrams get lost', async () => {
      network.loss = 0.2;
      expect(busiestWindow(await play())).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
    });

    it('when all engines limit their requests, and the rest is refused at once', async () => {
      const startedAt = clock.now();
      const all = new Set(engines.map(({ id }) => id));
      expect(busiestWindow(await play(all))).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
      expect(refused.length).toBeGreaterThan(0);
      expect(Math.min(...refused.map(({ retryAfterMs }) => retryAfterMs))).toBeGreaterThan(0);
      expect(sentAt.length).toBeGreaterThan((clock.now() - startedAt) / 2_000);
    });
  });
});
