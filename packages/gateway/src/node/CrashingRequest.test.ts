/**
 * Plays a request that crashes each target which begins to run it. It comes again and again at any
 * node, under other ids; sound requests share its path and workspace, and one of them comes often.
 * From three seconds after the third crash on, it may reach targets three times, and sound requests
 * must be served all the while.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { QuarantineReports } from '../common/quarantine/QuarantineReports.js';
import type { QuarantineRegistry, StoredQuarantine } from '../common/services/Services.js';
import { forwardCall } from './CallForwarder.js';
import { CrashingEngines } from './CrashingEngines.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { configuration, ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';

const NODES = 5;
const TARGETS = 4;
const CRASHING = 'crashing';
/** A sound body that comes often. */
const POPULAR = 'popular';
const POPULAR_SHARE = 0.3;
const PLAY_MS = 24_000;
const SOUND_INTERVAL_MS = 60;
const THIRD = 2;
const STABLE_MS = 3_000;
const ALLOWED_REQUESTS = 3;
const ENTRY_TIMEOUT_MS = 1_000;
const RESTART_MS = 2_000;
const MIN_SOUND_SHARE = 0.9;

/** A sound request, with when it was sent. */
interface SoundRequest {
  readonly at: number;
  readonly body: string;
  readonly report: Promise<RequestReport>;
}

describe('a request that crashes targets', () => {
  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );
  let clock: ManualClock;
  let random: SeededRandom;
  let network: MemoryNetwork;
  let targets: CrashingEngines;
  let targetIds: Set<string>;
  let nodes: ForwardingFixture[];
  let reports: QuarantineReports[];
  let sound: SoundRequest[];
  let sent: number;
  let stored: Map<string, StoredQuarantine>;
  let kind: CallKind;

  const registry: QuarantineRegistry = {
    store: (quarantine) => {
      stored.set(quarantine.cause, quarantine);
      return Promise.resolve(Result.ok(undefined));
    },
    remove: (cause) => {
      stored.delete(cause);
      return Promise.resolve(Result.ok(undefined));
    },
    list: () => Promise.resolve(Result.ok([...stored.values()])),
  };

  beforeEach(() => {
    clock = new ManualClock();
    random = new SeededRandom(1);
    network = new MemoryNetwork(clock, random);
    targets = new CrashingEngines(clock, ({ body }) => body.toString() === CRASHING);
    targets.onCrash = replaceTarget;
    targetIds = new Set(Array.from({ length: TARGETS }, (_each, index) => `t${index}`));
    stored = new Map();
    reports = [];
    nodes = members.map((_each, index) => createNode(index));
    sound = [];
    sent = 0;
    kind = CallKind.Idempotent;
  });

  function createNode(index: number): ForwardingFixture {
    const fixture = new ForwardingFixture({ clock, upstream: targets, budgetAllowance: 1_000 });
    for (const id of targetIds) {
      addTarget(fixture, id);
    }
    const [self] = members.slice(index);
    if (self === undefined) {
      throw new Error(`no member ${index}`);
    }
    const transport = network.join(self.peerAddress);
    const membership = new FixedMembership(self, members);
    const { log, quarantine } = fixture.dependencies;
    const broadcast = new ZoneBroadcast({ clock, transport, membership });
    reports[index]?.dispose();
    const options = { clock, log, broadcast, membership, quarantine, registry };
    reports[index] = new QuarantineReports(options);
    reports[index].start();
    return fixture;
  }

  function addTarget(fixture: ForwardingFixture, id: string): void {
    fixture.addTarget(targetEntry(id, 'app', `${id}:80`));
    fixture.addTarget(targetEntry(`${id}-engine`, 'engine', `${id}:81`));
  }

  /** The entry of a crashed target expires, and another instance of it starts. */
  function replaceTarget(id: string): void {
    const [base = ''] = id.split('-');
    if (!targetIds.delete(base)) {
      return;
    }
    clock.schedule(ENTRY_TIMEOUT_MS, () => {
      for (const node of nodes) {
        node.removeTarget(base);
        node.removeTarget(`${base}-engine`);
      }
    });
    const next = `${base}'`;
    clock.schedule(RESTART_MS, () => {
      targetIds.add(next);
      for (const node of nodes) {
        addTarget(node, next);
      }
    });
  }

  function send(body: string, caller = new SimulatedCaller()): Promise<RequestReport> {
    const node = nodes[random.integer(nodes.length)];
    const engine = configuration.services.find(({ name }) => name === 'engine')?.engine;
    if (node === undefined || engine === undefined) {
      throw new Error('the test has no node or no engine');
    }
    const request = simulatedRequest(clock, kind, caller, {
      id: `r${++sent}`,
      body: Buffer.from(body),
      maxAttempts: 2,
      signal: new AbortController().signal,
    });
    return kind === CallKind.Stream
      ? forwardStream(node.dependencies, request, engine)
      : forwardCall(node.dependencies, request);
  }

  /** Sends sound requests all the time, and the crashing one at an interval, if finite. */
  async function play(crashingIntervalMs: number): Promise<void> {
    let crashingAt = Number.isFinite(crashingIntervalMs) ? clock.now() + 1_000 : Infinity;
    const endsAt = clock.now() + PLAY_MS;
    while (clock.now() < endsAt) {
      const body = random.next() < POPULAR_SHARE ? POPULAR : `sound ${sent}`;
      sound.push({ at: clock.now(), body, report: send(body) });
      if (clock.now() >= crashingAt) {
        crashingAt += crashingIntervalMs;
        void send(CRASHING);
      }
      await clock.advance(SOUND_INTERVAL_MS);
    }
    await clock.advance(STABLE_MS);
  }

  function lateArrivals(): number {
    const thirdCrashAt = targets.crashedAt[THIRD];
    return thirdCrashAt === undefined
      ? 0
      : targets.arrivals.filter(({ at, isCrashing }) => isCrashing && at > thirdCrashAt + STABLE_MS)
          .length;
  }

  /** Share of the sound requests from a time on that were answered. */
  async function servedShare(from: number): Promise<number> {
    const late = sound.filter(({ at }) => at >= from);
    const endings = await Promise.all(late.map(({ report }) => report));
    const served = endings.filter(({ ending }) => ending === RequestOutcome.Answered);
    return served.length / Math.max(1, late.length);
  }

  function countBlocked(): number {
    const blocked = nodes.flatMap(({ dependencies }) => dependencies.quarantine.blocked);
    return new Set(blocked.map(({ cause }) => cause)).size;
  }

  describe('stops reaching targets', () => {
    it.each([
      ['an idempotent call', CallKind.Idempotent, 300],
      ['an idempotent call that comes rarely', CallKind.Idempotent, 1_600],
      ['a call that may run once', CallKind.NonIdempotent, 500],
      ['a stream without parts', CallKind.Stream, 400],
    ])('as %s, and sound requests are served', async (_name, kindOfCall, intervalMs) => {
      kind = kindOfCall;
      await play(intervalMs);
      expect(targets.crashedAt.length).toBeGreaterThan(THIRD);
      expect(lateArrivals()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
      expect(countBlocked()).toBe(1);
      const settledAt = (targets.crashedAt[THIRD] ?? 0) + 2 * STABLE_MS;
      expect(await servedShare(settledAt)).toBeGreaterThan(MIN_SOUND_SHARE);
    });

    it('with an immediate answer that says so, and that it did not run', async () => {
      await play(400);
      const caller = new SimulatedCaller();
      let report: RequestReport | undefined;
      void send(CRASHING, caller).then((received) => {
        report = received;
      });
      await clock.advance(1);
      expect(report).toMatchObject({ ending: RequestOutcome.Refused, attempts: 0 });
      expect(caller.status).toBe(503);
      expect(caller.body).toContain('crash');
      expect(caller.headers).toContain('Retry-After');
    });

    it('when datagrams get lost', async () => {
      network.loss = 0.2;
      await play(400);
      expect(lateArrivals()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
    });

    it('when nodes restart one after the other', async () => {
      members.forEach((_each, index) => {
        clock.schedule(5_000 + index * 2_000, () => {
          nodes[index] = createNode(index);
        });
      });
      await play(400);
      expect(lateArrivals()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
    });

    it('when all nodes restart at the same moment', async () => {
      clock.schedule(8_000, () => {
        nodes = members.map((_each, index) => createNode(index));
      });
      await play(400);
      expect(lateArrivals()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
    });
  });

  describe('is not suspected in a sound one', () => {
    /** Breaks answers from time to time while only sound requests come. */
    async function playBreaks(intervalMs: number, breakAnswers: () => void): Promise<void> {
      for (let at = 2_000; at < PLAY_MS; at += intervalMs) {
        clock.schedule(at, breakAnswers);
      }
      await play(Number.POSITIVE_INFINITY);
    }

    function randomTarget(): string {
      return [...targetIds][random.integer(targetIds.size)] ?? '';
    }

    it.each([
      [
        'targets crash one after the other',
        900,
        (): void => {
          targets.crash(randomTarget());
        },
      ],
      [
        'all targets lose power at once, again and again',
        4_000,
        (): void => {
          [...targetIds].forEach((id) => {
            targets.crash(id);
          });
        },
      ],
      [
        'one target flaps',
        2_600,
        (): void => {
          targets.crash([...targetIds].at(-1) ?? '');
        },
      ],
      [
        'targets are stopped in turn',
        1_200,
        (): void => {
          targets.crash([...targetIds][0] ?? '');
        },
      ],
      [
        'targets reset connections, but go on',
        150,
        (): void => {
          targets.reset(randomTarget());
        },
      ],
    ])('when %s', async (_name, intervalMs, breakAnswers) => {
      kind = CallKind.NonIdempotent;
      await playBreaks(intervalMs, breakAnswers);
      expect(countBlocked()).toBe(0);
    });
  });
});
