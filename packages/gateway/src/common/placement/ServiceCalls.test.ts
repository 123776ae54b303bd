/**
 * Replays calls of a plain service with few targets at many nodes, without a network, and compares the
 * choice by each node's own calls in flight with that by the load which answers show. Guards against
 * calls that are sent to the queue of one target while another is idle, and against a workspace that
 * repeats calls at once and takes the room of all others.
 */
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import { RetrySchedule } from './RetrySchedule.js';
import { ServiceLoad } from './ServiceLoad.js';
import { placeCall } from './ServicePlacer.js';
import { type CallDecision, CallTurn, ServiceQueue } from './ServiceQueue.js';
import { engineEntry } from './PlacementFixtures.js';

const NODES = 76;
const ZONES = ['a', 'b', 'c'];
const SLOTS = 6;
const TARGET_QUEUE = 24;
const MEAN_WORK_MS = 20;
const SLOW_SHARE = 0.01;
const SLOW_FACTOR = 5;
const DUE_MS = 180;
const DEADLINE_MS = 1_000;
const LATE_VALUE = 0.25;
const NO_TARGET_RETRY_MS = 300;
const OWN_ZONE_MS = 1;
const OTHER_ZONE_MS = 4;
const REPORT_DELAY_MS = 30;
const PLAY_MS = 4_000;
const OTHER_WORKSPACES = 23;

enum Choice {
  /** By the calls of the node itself. */
  Own = 'own',
  /** By the waits that answers show, with a queue. */
  Learned = 'learned',
}

interface Pattern {
  /** Calls a second of all workspaces but the one that repeats. */
  readonly callsPerSecond: number;
  /** Callers of one workspace that each send the next call as soon as one is answered or refused. */
  readonly repeating: number;
  /** Factor on the work of one target. */
  readonly slowness: number;
}

interface Outcome {
  offered: number;
  value: number;
  late: number;
  refused: number;
  /** Refusals by full targets. */
  full: number;
  reports: number;
  /** Calls that waited at a node. */
  waited: number;
  /** Refusals by a node while half of the slots were free and nothing waited there. */
  falselyRefused: number;
}

/** A target with slots and a queue. */
class PlayedTarget {
  private _busy = 0;
  private readonly _queue: (() => void)[] = [];

  constructor(
    private readonly _clock: ManualClock,
    private readonly _random: SeededRandom,
    private readonly _slowness: number,
  ) {}

  /** Number of free slots, less the calls that wait. */
  public get free(): number {
    return SLOTS - this._busy - this._queue.length;
  }

  /** Returns whether the call was accepted. */
  public accept(onEnd: () => void): boolean {
    const run = (): void => {
      this._busy++;
      this._clock.schedule(this._workMs(), () => {
        this._busy--;
        this._queue.shift()?.();
        onEnd();
      });
    };
    if (this._busy < SLOTS) {
      run();
      return true;
    }
    this._queue.push(run);
    if (this._queue.length > TARGET_QUEUE) {
      this._queue.pop();
      return false;
    }
    return true;
  }

  /** Log-normal with a spread of half of the mean; one in a hundred takes five times as long. */
  private _workMs(): number {
    const normal =
      Array.from({ length: 12 }, () => this._random.next()).reduce((a, b) => a + b) - 6;
    const work = MEAN_WORK_MS * Math.exp(0.47 * normal - 0.11) * this._slowness;
    return this._random.next() < SLOW_SHARE ? work * SLOW_FACTOR : work;
  }
}

interface PlayedNode {
  readonly zone: string;
  readonly load: ServiceLoad;
  readonly queue: ServiceQueue;
  readonly retries: RetrySchedule;
  readonly inFlight: Map<string, number>;
}

async function play(choice: Choice, pattern: Pattern, seed = 1): Promise<Outcome> {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const entries: readonly TargetEntry[] = ZONES.map((availabilityZone) => ({
    ...engineEntry(`t${availabilityZone}`, SLOTS),
    service: 'app',
    availabilityZone,
  }));
  const targets = new Map(
    entries.map(({ id }, index) => [
      id,
      new PlayedTarget(clock, random, index === 0 ? pattern.slowness : 1),
    ]),
  );
  const outcome: Outcome = {
    offered: 0,
    value: 0,
    late: 0,
    refused: 0,
    full: 0,
    reports: 0,
    waited: 0,
    falselyRefused: 0,
  };
  const nodes: readonly PlayedNode[] = Array.from({ length: NODES }, (_each, index) => {
    const load = new ServiceLoad({
      clock,
      log: new DecisionLog(clock, `n${index}`, () => true),
      liveNodes: () => NODES,
    });
    const queue = new ServiceQueue({
      serviceLoad: load,
      acceptingTargets: () => entries,
      liveNodes: () => NODES,
    });
    const zone = ZONES[index % ZONES.length] ?? '';
    return { zone, load, queue, retries: new RetrySchedule(), inFlight: new Map() };
  });
  for (const node of nodes) {
    node.load.onReport((report) => {
      outcome.reports++;
      clock.schedule(REPORT_DELAY_MS, () => {
        for (const other of nodes.filter((each) => each !== node)) {
          other.load.applyReport(report);
        }
      });
    });
  }

  const choose = (node: PlayedNode, tried: readonly string[]): TargetEntry | undefined =>
    placeCall(
      entries
        .filter(({ id }) => !tried.includes(id))
        .map((entry) => ({
          entry,
          inFlight: node.inFlight.get(entry.id) ?? 0,
          wait:
            choice === Choice.Own
              ? 0
              : node.load.waitMs(entry.id) / Math.max(1, node.load.usualMs('app')),
          failureRate: 0,
          isSuspect: false,
        })),
      node.zone,
    );

  /** Sends a call; resolves with the time to retry if it is refused. */
  const send = (node: PlayedNode, tried: readonly string[] = []): Promise<number | undefined> =>
    new Promise((resolve) => {
      const entry = choose(node, tried);
      const target = targets.get(entry?.id ?? '');
      if (entry === undefined || target === undefined || tried.length === 2) {
        resolve(NO_TARGET_RETRY_MS);
        return;
      }
      const sentAt = clock.now();
      const delayMs = entry.availabilityZone === node.zone ? OWN_ZONE_MS : OTHER_ZONE_MS;
      const count = (change: number): void => {
        node.inFlight.set(entry.id, (node.inFlight.get(entry.id) ?? 0) + change);
      };
      const back = (then: () => void): void => {
        clock.schedule(delayMs, () => {
          count(-1);
          then();
        });
      };
      count(1);
      clock.schedule(delayMs, () => {
        const isAccepted = target.accept(() => {
          back(() => {
            node.load.recordAnswer(entry, sentAt);
            resolve(undefined);
          });
        });
        if (!isAccepted) {
          back(() => {
            outcome.full++;
            node.load.recordFull(entry);
            void send(node, [...tried, entry.id]).then(resolve);
          });
        }
      });
    });

  /** Serves a call at a random node; resolves with the time to retry if it is refused. */
  const serve = async (workspace: string, isReturning: boolean): Promise<number | undefined> => {
    const node = nodes[random.integer(NODES)];
    if (node === undefined) {
      return undefined;
    }
    if (choice === Choice.Own) {
      return send(node);
    }
    const arrivedAt = clock.now();
    const call = {
      service: 'app',
      workspace,
      isReturning,
      arrivedAt,
      dueAt: arrivedAt + DUE_MS,
    };
    const decision = await new Promise<CallDecision>((resolve) => {
      node.queue.add(call, arrivedAt, resolve);
    });
    outcome.waited += clock.now() > arrivedAt ? 1 : 0;
    if (decision !== CallTurn.Sent) {
      const free = [...targets.values()].reduce((sum, target) => sum + target.free, 0);
      outcome.falselyRefused += free > (SLOTS * targets.size) / 2 ? 1 : 0;
      return decision.retryAfterMs;
    }
    const retryAfterMs = await send(node);
    node.queue.recordEnd(call, clock.now());
    return retryAfterMs;
  };

  /** An ordinary caller, which makes one retry. */
  const callOnce = async (workspace: string): Promise<void> => {
    outcome.offered++;
    for (const isReturning of [false, true]) {
      const startedAt = clock.now();
      const retryAfterMs = await serve(workspace, isReturning);
      if (retryAfterMs === undefined) {
        const isLate = clock.now() - startedAt > DUE_MS;
        const isUseless = clock.now() - startedAt > DEADLINE_MS;
        outcome.late += isLate ? 1 : 0;
        outcome.value += isUseless ? 0 : isLate ? LATE_VALUE : 1;
        return;
      }
      await clock.sleep(retryAfterMs);
    }
    outcome.refused++;
  };

  const repeat = async (): Promise<void> => {
    while (clock.now() < PLAY_MS) {
      await serve('repeating', false);
      await clock.sleep(OWN_ZONE_MS);
    }
  };

  const pending = Array.from({ length: pattern.repeating }, () => repeat());
  const intervalMs = 1_000 / pattern.callsPerSecond;
  let nextAt = 0;
  while (clock.now() < PLAY_MS) {
    if (clock.now() >= nextAt) {
      nextAt += intervalMs;
      pending.push(callOnce(`w${random.integer(OTHER_WORKSPACES)}`));
    }
    for (const { queue } of nodes) {
      queue.evaluate(clock.now());
    }
    await clock.advance(Math.min(25, Math.max(0.1, nextAt - clock.now())));
  }
  while (nodes.some(({ queue }) => queue.size > 0)) {
    for (const { queue } of nodes) {
      queue.evaluate(clock.now());
    }
    await clock.advance(25);
  }
  await clock.advance(8_000);
  await Promise.all(pending);
  return outcome;
}

describe('calls of a plain service with three targets, from 76 nodes', () => {
  describe('in calm', () => {
    const calm = { callsPerSecond: 13, repeating: 0, slowness: 1 };

    it('are sent at once to the nearest target, with a report at most', async () => {
      const learned = await play(Choice.Learned, calm);
      expect(learned.value).toBe(learned.offered);
      expect(learned.waited).toBe(0);
      expect(learned.reports).toBeLessThanOrEqual(1);
    });
  });

  describe.each<[string, Pattern, number]>([
    ['with one slow target', { callsPerSecond: 200, repeating: 0, slowness: 6 }, 0.1],
    ['with a workspace that repeats', { callsPerSecond: 100, repeating: 150, slowness: 1 }, 0.4],
    ['beyond the capacity', { callsPerSecond: 1_300, repeating: 0, slowness: 1 }, 0.02],
  ])('%s', (_name, pattern, gain) => {
    it('earn more value than by the calls of each node itself', async () => {
      const own = await play(Choice.Own, pattern);
      const learned = await play(Choice.Learned, pattern);
      expect(learned.value).toBeGreaterThan(own.value + gain * own.offered);
      expect(learned.full).toBeLessThanOrEqual(own.full / 2);
      expect(learned.falselyRefused).toBe(0);
      // A report of each node at the begin, and 40 a second of all nodes.
      expect(learned.reports).toBeLessThanOrEqual(NODES + (40 * PLAY_MS) / 1_000);
    });
  });
});
