/**
 * Tests of several nodes that follow one configuration stream over an in-memory log and network.
 */
import type { LogPage, PlatformLog } from '@tanagerdyke/contracts';
import { AppendFault, MemoryLog, MemoryNetwork, memberOf } from '@tanagerdyke/fakes';
import {
  ErrorKind,
  InvariantMonitor,
  type Logger,
  ManualClock,
  Metrics,
  SeededRandom,
  ServiceError,
  TimeLine,
} from '@tanagerdyke/kernel';
import { SwimMembership } from '@tanagerdyke/mesh';
import fc from 'fast-check';
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Checkpointer } from './Checkpointer.js';
import { encodeCheckpoint } from './Checkpoint.js';
import { ConfigurationFollower } from './ConfigurationFollower.js';
import { ConfigurationFreshness } from './ConfigurationFreshness.js';
import { ConfigurationPublisher } from './ConfigurationPublisher.js';
import { CONFIGURATION_STREAM, type ConfigurationInForce } from './ConfigurationRule.js';
import { type ConfigurationObject, objectSchema, ObjectKind } from './Objects.js';
import { ObjectSet } from './ObjectSet.js';
import { PeerCatchUp } from './PeerCatchUp.js';
import type { EffectiveChange } from './services/Services.js';

const SILENT_LOGGER: Logger = { log: () => undefined };
const NODE_COUNT = 4;
/** Bound on the time for a node to catch up with the others. */
const CATCH_UP_MS = 5_000;

/** Connection of one node to the log, which a test can cut. */
class LogLink implements PlatformLog {
  public isCut = false;
  public reads = 0;

  constructor(private readonly _log: MemoryLog) {}

  public append(stream: string, payload: string): Promise<Result<number, ServiceError>> {
    return this.isCut ? Promise.resolve(Result.err(cutError())) : this._log.append(stream, payload);
  }

  public read(
    stream: string,
    from: number,
    limit: number,
    waitMs: number,
  ): Promise<Result<LogPage, ServiceError>> {
    this.reads++;
    return this.isCut
      ? Promise.resolve(Result.err(cutError()))
      : this._log.read(stream, from, limit, waitMs);
  }
}

interface TestNode {
  readonly link: LogLink;
  readonly follower: ConfigurationFollower;
  readonly freshness: ConfigurationFreshness;
  readonly publisher: ConfigurationPublisher;
  readonly membership: SwimMembership;
  readonly stop: () => void;
}

describe('ConfigurationNodes', () => {
  let clock: ManualClock;
  let log: MemoryLog;
  let network: MemoryNetwork;
  let invariants: InvariantMonitor;
  let nodes: TestNode[];
  let starts: number;

  function start(index: number): TestNode {
    const address = `127.0.0.1:${index + 1}`;
    const transport = network.join(address);
    const random = new SeededRandom(++starts);
    const timeLine = new TimeLine(clock, `n${index}`);
    const link = new LogLink(log);
    const member = memberOf(`n${index}`, address);
    const self = {
      ...member,
      incarnation: starts * 1_000,
      startedAt: starts * 1_000,
      state: { ...member.state, configurationOffset: -1, isReady: false },
    };
    const seeds = Array.from({ length: NODE_COUNT }, (_, each) => `127.0.0.1:${each + 1}`);
    const membership = new SwimMembership({ clock, random, transport, timeLine, self, seeds });
    const shared = { clock, log: link, membership, timeLine };
    const follower = new ConfigurationFollower({ ...shared, logger: SILENT_LOGGER, invariants });
    const catchUp = new PeerCatchUp({ clock, transport, membership, follower });
    const checkpointer = new Checkpointer({ ...shared, random, follower });
    const freshness = new ConfigurationFreshness({ ...shared, follower, catchUp });
    const publisher = new ConfigurationPublisher({ ...shared, configuration: follower });
    const disposables = [membership, follower, catchUp, checkpointer, freshness, publisher];
    [membership, follower, catchUp, checkpointer].forEach((service) => {
      service.start();
    });
    const readiness = clock.schedule(0, function poll() {
      membership.publish({ isReady: freshness.isFresh });
      disposables.push(clock.schedule(100, poll) as never);
    });
    const stop = (): void => {
      readiness.dispose();
      [...disposables].reverse().forEach((disposable) => {
        disposable.dispose();
      });
      transport.dispose();
    };
    return { link, follower, freshness, publisher, membership, stop };
  }

  function node(index: number): TestNode {
    return nodes[index] ?? fail('no such node');
  }

  function restart(index: number): TestNode {
    node(index).stop();
    nodes[index] = start(index);
    return node(index);
  }

  async function publish(
    index: number,
    id: string,
    limit = 1_000,
  ): Promise<Result<EffectiveChange, ServiceError>> {
    const { follower, publisher } = node(index);
    let result: Result<EffectiveChange, ServiceError> | undefined;
    const change = { upserts: [model('m', limit)], removals: [] };
    void publisher.publish(id, change, follower.inForce.offset).then((each) => {
      result = each;
    });
    for (let step = 0; step < 60 && result === undefined; step++) {
      await clock.advance(100);
    }
    return result ?? fail('the publish did not complete');
  }

  function offsets(): readonly number[] {
    return nodes.map(({ follower }) => follower.inForce.offset);
  }

  beforeEach(async () => {
    starts = 0;
    clock = new ManualClock();
    log = new MemoryLog(clock);
    network = new MemoryNetwork(clock, new SeededRandom(1));
    invariants = new InvariantMonitor(new TimeLine(clock, 'test'), new Metrics(), SILENT_LOGGER);
    nodes = Array.from({ length: NODE_COUNT }, (_, index) => start(index));
    await clock.advance(2_000);
  });

  afterEach(() => {
    nodes.forEach(({ stop }) => {
      stop();
    });
    expect(invariants.violations).toBe(0);
  });

  describe('publish', () => {
    it('accepts exactly one of two concurrent publishes through different nodes', async () => {
      const [first, second] = await Promise.all([publish(0, 'a', 10), publish(1, 'b', 20)]);
      expect([first.isOk, second.isOk].filter(Boolean)).toHaveLength(1);
      const rejected = first.isErr ? first : second;
      expect(rejected.isErr && rejected.error.kind).toBe(ErrorKind.Conflict);
      await clock.advance(CATCH_UP_MS);
      expect(new Set(nodes.map(({ follower }) => follower.set.digest)).size).toBe(1);
    });

    it('reads the outcome back when the response of the log is lost', async () => {
      log.appendFault = AppendFault.LoseAnswer;
      expect((await publish(0, 'a')).isOk).toBe(true);
    });

    it('accepts an id that already took effect without appending a second record', async () => {
      await publish(0, 'a');
      const appends = log.appends;
      const { follower, publisher } = node(1);
      await clock.advance(CATCH_UP_MS);
      const change = { upserts: [model('m')], removals: [] };
      const again = await publisher.publish('a', change, -1);
      expect(again.unwrapOr(undefined)).toMatchObject({ id: 'a', offset: follower.inForce.offset });
      expect(log.appends).toBe(appends);
    });
  });

  describe('an unreadable record', () => {
    it.each([
      ['not JSON', '{'],
      ['of a newer schema', JSON.stringify({ record: 'change', schema: 2, id: 'x' })],
      ['very large', JSON.stringify({ record: 'change', filler: 'x'.repeat(2_000_000) })],
    ])('is skipped when it is %s', async (_, payload) => {
      log.appendDirectly(CONFIGURATION_STREAM, payload);
      expect((await publish(0, 'a')).isOk).toBe(true);
      await clock.advance(CATCH_UP_MS);
      expect(new Set(offsets())).toEqual(new Set([1]));
    });
  });

  describe('loss of the connection to the log', () => {
    it('lets a node catch up from its peers within 5 s and stay fresh', async () => {
      node(3).link.isCut = true;
      await publish(0, 'a');
      await clock.advance(CATCH_UP_MS);
      expect(offsets()).toEqual([0, 0, 0, 0]);
      expect(node(3).freshness.isFresh).toBe(true);
    });

    it('makes a node that also loses its peers not fresh until it is reconnected', async () => {
      isolate(3);
      await clock.advance(10_000);
      expect(node(3).freshness.isFresh).toBe(false);
      await publish(0, 'a');
      network.heal();
      node(3).link.isCut = false;
      await clock.advance(CATCH_UP_MS);
      expect(offsets()).toEqual([0, 0, 0, 0]);
      expect(node(3).freshness.isFresh).toBe(true);
    });
  });

  describe('a restart', () => {
    it('of all nodes in turn while the log is down keeps the configuration in force', async () => {
      await publish(0, 'a');
      await clock.advance(CATCH_UP_MS);
      log.isDown = true;
      for (let index = 0; index < NODE_COUNT; index++) {
        restart(index);
        await clock.advance(10_000);
        expect(node(index).freshness.isFresh).toBe(true);
      }
      expect(offsets()).toEqual([0, 0, 0, 0]);
    });

    it('after all records expired gets the set from peers, without a busy read loop', async () => {
      await publish(0, 'a');
      await clock.advance(CATCH_UP_MS);
      log.truncate(CONFIGURATION_STREAM, 1);
      const { link, follower } = restart(2);
      await clock.advance(10_000);
      expect(follower.isReady).toBe(true);
      expect(follower.inForce.offset).toBe(0);
      expect(link.reads).toBeLessThan(100);
    });

    it('of a single node after all records expired makes it wait for a checkpoint', async () => {
      await publish(0, 'a');
      const { inForce } = node(0).follower;
      nodes.splice(1).forEach(({ stop }) => {
        stop();
      });
      log.truncate(CONFIGURATION_STREAM, 1);
      const { link, follower } = restart(0);
      await clock.advance(10_000);
      expect(follower.isReady).toBe(false);
      expect(link.reads).toBeLessThan(100);
      encodeCheckpoint('c', inForce).forEach((part) =>
        log.appendDirectly(CONFIGURATION_STREAM, part),
      );
      await clock.advance(CATCH_UP_MS);
      expect(follower.isReady).toBe(true);
    });
  });

  /** Cuts a node from the log and, in both directions, from its peers. */
  function isolate(index: number): void {
    node(index).link.isCut = true;
    for (let peer = 0; peer < NODE_COUNT; peer++) {
      network.cut(`127.0.0.1:${index + 1}`, `127.0.0.1:${peer + 1}`);
      network.cut(`127.0.0.1:${peer + 1}`, `127.0.0.1:${index + 1}`);
    }
  }

  describe('any sequence of publishes, restarts and log failures', () => {
    const step = fc.record({
      action: fc.constantFrom('publish', 'restart', 'lose', 'outage', 'checkpoint'),
      index: fc.nat(NODE_COUNT - 1),
      waitMs: fc.integer({ min: 0, max: 3_000 }),
    });

    it('never decreases the greatest offset, and leads all nodes to the same set', async () => {
      await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
          let greatest = Math.max(...offsets());
          for (const [order, { action, index, waitMs }] of steps.entries()) {
            log.appendFault = action === 'lose' ? AppendFault.LoseAnswer : AppendFault.None;
            log.isDown = action === 'outage';
            if (action === 'publish' || action === 'lose') {
              await publish(index, `id-${starts}-${order}`, order + 1);
            } else if (action === 'restart') {
              restart(index);
            } else if (action === 'checkpoint') {
              putCheckpoint(node(index).follower.inForce);
            }
            await clock.advance(waitMs);
            expect(Math.max(...offsets())).toBeGreaterThanOrEqual(greatest);
            greatest = Math.max(...offsets());
          }
          log.isDown = false;
          await clock.advance(10_000);
          expect(new Set(offsets())).toEqual(new Set([greatest]));
          expect(new Set(nodes.map(({ follower }) => follower.set.digest)).size).toBe(1);
        }),
        { seed: 5, numRuns: 15 },
      );
    });

    function putCheckpoint(inForce: ConfigurationInForce): void {
      if (inForce.offset >= 0) {
        const id = `c-${log.appends}`;
        encodeCheckpoint(id, inForce).forEach((part) =>
          log.appendDirectly(CONFIGURATION_STREAM, part),
        );
      }
    }
  });

  describe('a checkpoint', () => {
    it('carries all recent ids, so that its readers recognise the same repeated records', () => {
      const ids = Array.from({ length: 1_000 }, (_, index) => `id-${index}`);
      const set = ObjectSet.empty.with([model('m')], []);
      const { follower } = node(0);
      encodeCheckpoint('c', { offset: 7, set, ids }).forEach((part) =>
        log.appendDirectly(CONFIGURATION_STREAM, part),
      );
      return clock.advance(2_000).then(() => {
        expect(follower.inForce.ids).toEqual(ids);
      });
    });
  });
});

function model(name: string, maxPromptTokens = 1_000): ConfigurationObject {
  return objectSchema.parse({ kind: ObjectKind.Model, name, maxPromptTokens });
}

function cutError(): ServiceError {
  return new ServiceError(ErrorKind.PlatformUnavailable, 'cut', { remedy: 'heal the cut' });
}

function fail(message: string): never {
  throw new Error(message);
}
