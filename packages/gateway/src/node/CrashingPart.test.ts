/**
 * Plays prompts with a part that crashes each engine which begins to write an answer to them. They
 * come at any node; sound prompts have their caller and their other parts. From three seconds after
 * the fifth crash on, at most three of them may reach an engine, and from six seconds on sound
 * prompts must begin at their first attempt again.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { QuarantineReports } from '../common/quarantine/QuarantineReports.js';
import type { QuarantineRegistry, StoredQuarantine } from '../common/services/Services.js';
import { CrashingEngines, partsOf } from './CrashingEngines.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { configuration, ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';

const NODES = 5;
const ENGINES = 12;
const CRASHING = 'crashing';
/** Longer than the key of a record may be. */
const LONG_ID = 'ab'.repeat(150);
const MAX_KEY_BYTES = 255;
/** Both kinds of prompts have it. */
const COMMON = 'common';
const DOCUMENTS = 3;
const PLAY_MS = 20_000;
const SOUND_INTERVAL_MS = 80;
const FIFTH = 4;
const SETTLE_MS = 3_000;
const ALLOWED_REQUESTS = 3;
const MIN_SOUND_SHARE = 0.5;

/** A sound prompt, with when it was sent. */
interface SoundPrompt {
  readonly at: number;
  readonly report: Promise<RequestReport>;
}

describe('a part of prompts that crashes engines', () => {
  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );
  const engineIds = Array.from({ length: ENGINES }, (_each, index) => `e${index}`);
  let clock: ManualClock;
  let random: SeededRandom;
  let network: MemoryNetwork;
  let engines: CrashingEngines;
  let nodes: ForwardingFixture[];
  let reports: QuarantineReports[];
  let sound: SoundPrompt[];
  let requestCount: number;
  let stored: Map<string, StoredQuarantine>;
  /** Id of the part that crashes engines. */
  let crashing: string;
  /** Further parts of the prompts that crash engines. */
  let otherParts: readonly string[];
  let registry: QuarantineRegistry;

  beforeEach(() => {
    clock = new ManualClock();
    random = new SeededRandom(1);
    network = new MemoryNetwork(clock, random);
    crashing = CRASHING;
    otherParts = [];
    engines = new CrashingEngines(clock, (request) => partsOf(request).includes(crashing));
    stored = new Map();
    registry = {
      store: (quarantine) => {
        expect(Buffer.byteLength(quarantine.cause)).toBeLessThanOrEqual(MAX_KEY_BYTES);
        stored.set(quarantine.cause, quarantine);
        return Promise.resolve(Result.ok(undefined));
      },
      remove: (cause) => {
        stored.delete(cause);
        return Promise.resolve(Result.ok(undefined));
      },
      list: () => Promise.resolve(Result.ok([...stored.values()])),
    };
    reports = [];
    nodes = members.map((_each, index) => createNode(index));
    sound = [];
    requestCount = 0;
  });

  function createNode(index: number): ForwardingFixture {
    const fixture = new ForwardingFixture({ clock, upstream: engines, budgetAllowance: 1_000 });
    for (const id of engineIds) {
      fixture.addTarget(targetEntry(id, 'engine', `${id}:80`));
    }
    const self = members[index];
    if (self !== undefined) {
      const transport = network.join(self.peerAddress);
      const membership = new FixedMembership(self, members);
      const { log, quarantine } = fixture.dependencies;
      const broadcast = new ZoneBroadcast({ clock, transport, membership });
      reports[index]?.dispose();
      reports[index] = new QuarantineReports({
        clock,
        log,
        broadcast,
        membership,
        quarantine,
        registry,
      });
      reports[index].start();
    }
    return fixture;
  }

  function send(parts: readonly string[], caller = new SimulatedCaller()): Promise<RequestReport> {
    const node = nodes[random.integer(nodes.length)];
    const engine = configuration.services.find(({ name }) => name === 'engine')?.engine;
    if (node === undefined || engine === undefined) {
      throw new Error('the test has no node or no engine');
    }
    const id = `r${++requestCount}`;
    const request = simulatedRequest(clock, CallKind.Stream, caller, {
      id,
      body: Buffer.from(id),
      maxAttempts: 2,
      sharedParts: parts,
      signal: new AbortController().signal,
    });
    return forwardStream(node.dependencies, request, engine);
  }

  /** Sends sound prompts all the time, and crashing ones at an interval. */
  async function play(crashingIntervalMs: number): Promise<void> {
    let crashingAt = clock.now() + 1_000;
    const endsAt = clock.now() + PLAY_MS;
    while (clock.now() < endsAt) {
      const parts = [COMMON, `document${random.integer(DOCUMENTS)}`];
      sound.push({ at: clock.now(), report: send(parts) });
      if (clock.now() >= crashingAt) {
        crashingAt += crashingIntervalMs;
        void send([COMMON, crashing, ...otherParts]);
      }
      await clock.advance(SOUND_INTERVAL_MS);
    }
    await clock.advance(SETTLE_MS);
  }

  /** Crashing requests that reached an engine after the nodes had time to recognize their part. */
  function lateCrashing(): number {
    const fifthCrashAt = engines.crashedAt[FIFTH];
    return fifthCrashAt === undefined
      ? 0
      : engines.arrivals.filter(({ at, isCrashing }) => isCrashing && at > fifthCrashAt + SETTLE_MS)
          .length;
  }

  function blockedParts(): Set<string> {
    const blocked = nodes.flatMap(({ dependencies }) => dependencies.quarantine.blocked);
    return new Set(blocked.map(({ cause }) => cause));
  }

  /** Share of the sound prompts from a time on that were answered by their first engine. */
  async function soundShare(from: number): Promise<number> {
    const late = sound.filter(({ at }) => at >= from);
    const reports = await Promise.all(late.map(({ report }) => report));
    const served = reports.filter(
      ({ attempts, ending }) => attempts === 1 && ending === RequestOutcome.Answered,
    );
    return served.length / Math.max(1, late.length);
  }

  describe('stops reaching engines', () => {
    it.each([
      ['often', 150],
      ['now and then', 600],
      ['rarely', 1_700],
    ])('when its prompts come %s, and sound prompts are served', async (_how, intervalMs) => {
      await play(intervalMs);
      expect(engines.crashedAt.length).toBeGreaterThan(FIFTH);
      expect(lateCrashing()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
      expect(blockedParts()).toEqual(new Set([CRASHING]));
      const settledAt = (engines.crashedAt[FIFTH] ?? 0) + 2 * SETTLE_MS;
      expect(await soundShare(settledAt)).toBeGreaterThan(MIN_SOUND_SHARE);
    });

    it('with an answer that says so, and that it did not run', async () => {
      await play(400);
      const caller = new SimulatedCaller();
      expect(await send([COMMON, CRASHING], caller)).toMatchObject({
        ending: RequestOutcome.Refused,
        attempts: 0,
      });
      expect(caller.status).toBe(503);
      expect(caller.body).toContain(CRASHING);
      expect(caller.headers).toContain('Retry-After');
    });

    it('when datagrams get lost', async () => {
      network.loss = 0.2;
      await play(400);
      expect(lateCrashing()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
    });

    // Guards against reports of crashes that no datagram has room for, and that get lost.
    it('when its prompts have hundreds of parts', async () => {
      otherParts = Array.from({ length: 300 }, (_each, index) => `${index}`.padStart(250, 'f'));
      await play(1_700);
      expect(engines.crashedAt.length).toBeGreaterThan(FIFTH);
      expect(lateCrashing()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
    });

    it('when nodes restart one after the other', async () => {
      members.forEach((_each, index) => {
        clock.schedule(5_000 + index * 2_000, () => {
          nodes[index] = createNode(index);
        });
      });
      await play(400);
      expect(lateCrashing()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
    });

    // Guards against a quarantine that can't be stored, as its key is longer than the store accepts.
    it.each([
      ['short', CRASHING],
      ['longer than the key of a record', LONG_ID],
    ])('when all nodes restart at the same moment and its id is %s', async (_how, id) => {
      crashing = id;
      clock.schedule(8_000, () => {
        nodes = members.map((_each, index) => createNode(index));
      });
      await play(400);
      expect(engines.crashedAt.length).toBeGreaterThan(FIFTH);
      expect(lateCrashing()).toBeLessThanOrEqual(ALLOWED_REQUESTS);
      expect(stored.size).toBe(1);
      expect([...blockedParts()]).toEqual([...stored.keys()]);
    });

    it('with an answer that shows the start of a long id', async () => {
      crashing = LONG_ID;
      await play(400);
      const caller = new SimulatedCaller();
      await send([COMMON, crashing], caller);
      expect(caller.body).toContain(`part ${LONG_ID.slice(0, 64)}… of the prompt`);
    });
  });

  it('leaves a sound part alone that is in crashes, too', async () => {
    for (let at = 2_000; at < PLAY_MS; at += 350) {
      clock.schedule(at, () => {
        engines.crash(engineIds[random.integer(ENGINES)] ?? '');
      });
    }
    await play(PLAY_MS);
    const reports = await Promise.all(sound.map(({ report }) => report));
    expect(reports.filter(({ ending }) => ending === RequestOutcome.Refused)).toEqual([]);
    expect(blockedParts()).toEqual(new Set());
  });
});
