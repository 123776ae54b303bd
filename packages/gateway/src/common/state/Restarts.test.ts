/**
 * A target that had left, or a key that had been withdrawn, was in use again after a restart of nodes:
 * of one, of a third, of all, while the store answers, is down, slow, compacted or restored from an
 * older copy. A version stands for its keys; a node serves from the moment at which it is ready.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import type { Member } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { RecordDecoder } from '../services/Services.js';
import { PlatformView } from './PlatformView.js';
import { Access, RestoredLog } from './RestoredLog.js';

const NODES = 6;
const NEWEST = 5;
const SAMPLE_MS = 10;
/** Longer than a starting node waits for its peers and for a slow store. */
const OBSERVED_MS = 12_000;
const unreadable = new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' });

/** A configuration is the text of its version; an entry is its start time and state. */
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
  target: (id, value) => {
    const [startedAt, state] = value.toString().split(' ');
    return state === undefined
      ? Result.err(unreadable)
      : Result.ok({
          ...{ id, service: 'app', address: '10.0.0.1:80', availabilityZone: 'a' },
          ...{ slots: 1, coldMs: 0, isDraining: state === 'draining' },
          startedAt: Number(startedAt),
        });
  },
};

/** What happens to the store while nodes restart. */
enum Store {
  Answers = 'answers',
  Refuses = 'is down',
  Slow = 'is slow',
  Compacted = 'is compacted',
  Restored = 'was restored from an older copy',
}

/** Nodes that are ready are those whose view is. */
class ReadyMembership extends FixedMembership {
  public isReady: (name: string) => boolean = () => false;

  public override get serving(): readonly Member[] {
    return this.live.filter(({ name }) => this.isReady(name));
  }
}

describe('a restart of nodes', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let operatorLog: RestoredLog;
  let targetLog: RestoredLog;
  let access: Access;
  let views: PlatformView[];

  beforeEach(async () => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    operatorLog = new RestoredLog(clock, 'operator');
    targetLog = new RestoredLog(clock, 'targets');
    access = Access.Answers;
    for (const version of [1, 2, 3]) {
      operatorLog.write('config', String(version));
    }
    for (const id of ['kept', 'left', 'drained']) {
      targetLog.write(id, '1 ready');
    }
    views = [];
    views = Array.from({ length: NODES }, (_each, index) => create(index));
    for (const view of views) {
      view.start();
    }
    await clock.advance(2_000);
    for (const version of [4, NEWEST]) {
      operatorLog.write('config', String(version));
    }
    targetLog.write('left', undefined);
    targetLog.write('drained', '1 draining');
    await clock.advance(2_000);
  });

  function create(index: number): PlatformView {
    const members = Array.from({ length: NODES }, (_each, at) =>
      memberOf(`n${at}`, `127.0.0.1:${at + 1}`),
    );
    const self = members[index] ?? memberOf('n', '127.0.0.1:1');
    const membership = new ReadyMembership(self, members);
    membership.isReady = (name) => views[Number(name.slice(1))]?.isReady === true;
    return new PlatformView({
      clock,
      random: new SeededRandom(index),
      log: new DecisionLog(clock, self.name, () => true),
      metrics: new Metrics(),
      transport: network.join(self.peerAddress),
      membership,
      decoder,
      configurationTopic: operatorLog.topicFor(() => access),
      targetTopic: targetLog.topicFor(() => access),
    });
  }

  /** Ends nodes and starts them again without the state that they had. */
  function restart(indexes: readonly number[]): void {
    for (const index of indexes) {
      views[index]?.dispose();
      network.leave(`127.0.0.1:${index + 1}`);
    }
    for (const index of indexes) {
      views[index] = create(index);
    }
    for (const index of indexes) {
      views[index]?.start();
    }
  }

  async function disturb(store: Store): Promise<void> {
    if (store === Store.Refuses) {
      access = Access.Refuses;
    } else if (store === Store.Slow) {
      access = Access.Delayed;
    } else if (store === Store.Compacted) {
      operatorLog.compact();
      targetLog.compact();
    } else if (store === Store.Restored) {
      operatorLog.restoreWithout(2);
      targetLog.restoreWithout(2);
      await clock.advance(300);
    }
  }

  /** Watches all nodes, and returns what ready ones had in use that they must not. */
  async function watch(limitMs = OBSERVED_MS): Promise<string[]> {
    const found = new Set<string>();
    for (let waited = 0; waited < limitMs; waited += SAMPLE_MS) {
      await clock.advance(SAMPLE_MS);
      if (access === Access.Delayed && waited % 1_500 === 0) {
        operatorLog.release();
        targetLog.release();
      }
      views.forEach((view, index) => {
        if (view.isReady && view.version < NEWEST) {
          found.add(`n${index} has version ${view.version}`);
        }
        for (const id of ['left', 'drained']) {
          if (view.isReady && view.targets.acceptsRequests(id)) {
            found.add(`n${index} uses ${id}`);
          }
        }
      });
    }
    return [...found];
  }

  const sets: readonly (readonly [string, readonly number[]])[] = [
    ['the first poller', [0]],
    ['a node that does not poll', [NODES - 1]],
    ['a third', [0, 3]],
    ['all but one', [0, 1, 2, 3, 4]],
  ];

  describe.each(sets)('of %s', (_which, indexes) => {
    it.each([Store.Answers, Store.Refuses, Store.Slow, Store.Compacted])(
      'brings nothing back while the store %s',
      async (store) => {
        await disturb(store);
        restart(indexes);
        expect(await watch()).toEqual([]);
        expect(views.map(({ isReady }) => isReady)).toEqual(views.map(() => true));
        expect(views.map(({ targets }) => targets.acceptsRequests('kept'))).toEqual(
          views.map(() => true),
        );
      },
    );

    it('brings nothing back when the store was restored from an older copy', async () => {
      await disturb(Store.Restored);
      restart(indexes);
      // The removal is held for five seconds only, in which it is written again.
      expect(await watch(1_500)).toEqual([]);
      targetLog.write('left', undefined);
      expect(await watch()).toEqual([]);
      expect(views.map(({ isReady }) => isReady)).toEqual(views.map(() => true));
    });
  });

  describe('of all', () => {
    const all = Array.from({ length: NODES }, (_each, index) => index);

    it.each([Store.Answers, Store.Slow, Store.Compacted])(
      'brings nothing back while the store %s',
      async (store) => {
        await disturb(store);
        restart(all);
        expect(await watch()).toEqual([]);
        expect(views.some(({ isReady }) => isReady)).toBe(true);
      },
    );

    it('makes no node ready while the store is down, and brings nothing back afterwards', async () => {
      await disturb(Store.Refuses);
      restart(all);
      await clock.advance(5_000);
      expect(views.some(({ isReady }) => isReady)).toBe(false);
      access = Access.Answers;
      expect(await watch()).toEqual([]);
      expect(views.every(({ isReady }) => isReady)).toBe(true);
    });

    it('in turn brings nothing back when the store was restored from an older copy', async () => {
      await disturb(Store.Restored);
      for (const index of all) {
        restart([index]);
        expect(await watch(500)).toEqual([]);
      }
    });
  });
});
