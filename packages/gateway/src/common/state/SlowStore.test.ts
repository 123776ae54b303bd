/** A store that answers each call, but begins each answer late, while versions keep being written. */
import { FixedMembership, memberOf, MemoryLink, MemoryNetwork } from '@tanagerdyke/fakes';
import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { RecordDecoder } from '../services/Services.js';
import { LinkedStore } from './LinkedStore.js';
import { PlatformView } from './PlatformView.js';

const ZONES = ['a', 'b', 'c'];
const NODES = 7;
const CALL_MS = 4;
const STORM_MS = 20_000;
/** The users' bound for a version, beyond the time in which the store answers. */
const APPLY_MS = 3_000;

const decoder: RecordDecoder = {
  isConfiguration: (key) => key === 'config',
  evacuatedZone: () => undefined,
  configuration: (value) =>
    Result.ok({
      version: Number(value.toString()),
      routes: [],
      services: [],
      requiresKeys: false,
      workspaces: [],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    }),
  target: () =>
    Result.err(new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' })),
};

describe('a store that begins its answers late', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let operatorStore: LinkedStore;
  let targetStore: LinkedStore;
  let views: PlatformView[];
  /** The newest version of the configuration. */
  let version: number;
  /** By node: times at which a newer version was in force. */
  let changedAt: number[][];

  const members = Array.from({ length: NODES }, (_each, index) => ({
    ...memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
    availabilityZone: ZONES[index % ZONES.length] ?? '',
  }));

  beforeEach(async () => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    const storeLink = new MemoryLink(clock);
    operatorStore = new LinkedStore(clock, 'operator', storeLink);
    targetStore = new LinkedStore(clock, 'targets', storeLink);
    version = 1;
    operatorStore.write('config', Buffer.from(String(version)));
    views = [];
    changedAt = members.map(() => []);
    for (const index of members.keys()) {
      startNode(index);
    }
    await clock.advance(3_000);
  });

  afterEach(() => {
    for (const view of views) {
      view.dispose();
    }
  });

  function startNode(index: number): void {
    const self = members[index] ?? memberOf('n', '127.0.0.1:1');
    const link = new MemoryLink(clock);
    const view = new PlatformView({
      clock,
      random: new SeededRandom(index),
      log: new DecisionLog(clock, self.name, () => true),
      metrics: new Metrics(),
      transport: network.join(self.peerAddress, link),
      membership: new FixedMembership(self, members),
      decoder,
      configurationTopic: operatorStore.topicFor(link, () => false),
      targetTopic: targetStore.topicFor(link, () => false),
    });
    view.configuration.onChange(() => changedAt[index]?.push(clock.now()));
    views[index] = view;
    view.start();
  }

  function slowDown(callMs: number): void {
    operatorStore.callMs = callMs;
    targetStore.callMs = callMs;
  }

  /** Writes a version each interval; returns the longest time of any node without a newer one. */
  async function publish(intervalMs: number): Promise<number> {
    const startedAt = clock.now();
    while (clock.now() < startedAt + STORM_MS) {
      version++;
      operatorStore.write('config', Buffer.from(String(version)));
      await clock.advance(intervalMs);
    }
    const gaps = changedAt.map((times) => {
      const edges = [startedAt, ...times.filter((at) => at >= startedAt), clock.now()];
      return Math.max(...edges.slice(1).map((at, index) => at - (edges[index] ?? at)));
    });
    return Math.max(...gaps);
  }

  describe.each([900, 1_050, 1_400, 2_200, 4_000])('by %d ms', (callMs) => {
    it.each([330, 1_450])(
      'leaves no node without newer versions, one each %d ms',
      async (gapMs) => {
        slowDown(callMs);
        expect(await publish(gapMs)).toBeLessThan(callMs + gapMs + APPLY_MS);
      },
    );

    it('delays no start of a node by more than its answers', async () => {
      slowDown(callMs);
      for (const view of views) {
        view.dispose();
      }
      await clock.advance(100);
      for (const index of members.keys()) {
        startNode(index);
      }
      // The records of the two topics are asked for side by side.
      await clock.advance(callMs + 500);
      expect(views.map((view) => view.isReady)).toEqual(members.map(() => true));
    });
  });

  it('gets at most twice as many calls as one that answers at once', async () => {
    const before = operatorStore.calls;
    await publish(1_450);
    const usual = operatorStore.calls - before;
    slowDown(2_200);
    await publish(1_450);
    expect(operatorStore.calls - before - usual).toBeLessThan(2 * usual);
  });

  it('counts no node as current by answers that are seconds old', async () => {
    slowDown(5_000);
    await clock.advance(6_000);
    for (let sample = 0; sample < 100; sample++) {
      expect(views.map(({ mayBeOutdated }) => mayBeOutdated)).toEqual(members.map(() => true));
      await clock.advance(100);
    }
  });

  it('counts all nodes as current while it answers at once', async () => {
    for (let sample = 0; sample < 100; sample++) {
      expect(views.map(({ mayBeOutdated }) => mayBeOutdated)).toEqual(members.map(() => false));
      await clock.advance(100);
    }
  });

  it('does not delay a version by itself when the answers are on time again', async () => {
    slowDown(2_200);
    await publish(1_450);
    slowDown(CALL_MS);
    await clock.advance(5_000);
    expect(await publish(1_450)).toBeLessThan(1_450 + 500);
  });
});
