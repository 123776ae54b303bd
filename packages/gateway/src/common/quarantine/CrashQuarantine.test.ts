/** Quarantines of two nodes that report to each other, and of one that restarts. */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { MemberStatus, ZoneBroadcast } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { QuarantineRegistry, StoredQuarantine } from '../services/Services.js';
import { CrashQuarantine } from './CrashQuarantine.js';
import { QuarantineReports } from './QuarantineReports.js';

const PART = 'p';
const STORED_MS = 12_000;
const QUARANTINE_MS = 600_000;
/** Two intervals, as the first node in rank may be the one that has no record. */
const ANNOUNCED_MS = 2_100;

describe('CrashQuarantine', () => {
  const members = [memberOf('n0', '127.0.0.1:1'), memberOf('n1', '127.0.0.1:2')];
  let clock: ManualClock;
  let network: MemoryNetwork;
  let stored: Map<string, StoredQuarantine>;
  let isStoreDown: boolean;
  let reports: QuarantineReports[];
  let memberships: FixedMembership[];
  let first: CrashQuarantine;
  let second: CrashQuarantine;

  const registry: QuarantineRegistry = {
    store: (quarantine) => call(() => stored.set(quarantine.cause, quarantine)),
    remove: (cause) => call(() => stored.delete(cause)),
    list: async () => (await call(() => undefined)).map(() => [...stored.values()]),
  };

  function call(action: () => unknown): Promise<Result<void, ServiceError>> {
    if (isStoreDown) {
      const error = new ServiceError(ErrorKind.PlatformUnavailable, 'down', { remedy: 'none' });
      return Promise.resolve(Result.err(error));
    }
    action();
    return Promise.resolve(Result.ok(undefined));
  }

  function start(index: number): CrashQuarantine {
    const [self] = members.slice(index);
    if (self === undefined) {
      throw new Error(`no member ${index}`);
    }
    const log = new DecisionLog(clock, self.name, () => true);
    const quarantine = new CrashQuarantine({ clock, log, metrics: new Metrics() });
    const transport = network.join(self.peerAddress);
    const membership = new FixedMembership(self, members);
    memberships[index] = membership;
    const broadcast = new ZoneBroadcast({ clock, transport, membership });
    reports[index]?.dispose();
    const started = new QuarantineReports({
      clock,
      log,
      broadcast,
      membership,
      quarantine,
      registry,
    });
    started.start();
    reports[index] = started;
    return quarantine;
  }

  beforeEach(async () => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    stored = new Map();
    isStoreDown = false;
    reports = [];
    memberships = [];
    first = start(0);
    second = start(1);
    await clock.advance(10);
  });

  /** Crashes of different engines, which the nodes see in turn. */
  async function crash(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      const node = index % 2 === 0 ? first : second;
      node.recordCrash({ target: `e${index}`, request: `r${index}`, causes: ['common', PART] });
      await clock.advance(200);
    }
  }

  function isBlocked(node: CrashQuarantine, part = PART): boolean {
    return node.findBlocked(['other', part]) !== undefined;
  }

  it('blocks a part at all nodes by the crashes that they see together, for its time', async () => {
    await crash(4);
    expect([first, second].map((node) => isBlocked(node))).toEqual([true, true]);
    await clock.advance(QUARANTINE_MS + 1_000);
    expect([first, second].map((node) => isBlocked(node))).toEqual([false, false]);
  });

  it('blocks only the later one of two parts that are in the same crashes', async () => {
    await crash(8);
    expect(isBlocked(first)).toBe(true);
    expect(isBlocked(first, 'common')).toBe(false);
  });

  it('does not block a part that one of the nodes has answered prompts with', async () => {
    for (let round = 0; round < 4; round++) {
      second.recordAnswer(['common']);
      await crash(4);
    }
    expect(isBlocked(first, 'common')).toBe(false);
    expect(isBlocked(first)).toBe(true);
  });

  it('blocks a part under which prompts were answered before, after more crashes', async () => {
    first.recordAnswer(['common', PART]);
    await clock.advance(5_000);
    await crash(8);
    expect([first, second].map((node) => isBlocked(node))).toEqual([false, false]);
    await crash(12);
    await clock.advance(ANNOUNCED_MS);
    expect([first, second].map((node) => isBlocked(node))).toEqual([true, true]);
  });

  it('ends everywhere when a prompt that was running is answered', async () => {
    await crash(4);
    second.recordAnswer([PART]);
    await clock.advance(10);
    expect([first, second].map((node) => isBlocked(node))).toEqual([false, false]);
    expect(stored.has(PART)).toBe(false);
  });

  it('ends at a node, too, that missed the answer of the other', async () => {
    await crash(4);
    network.loss = 1;
    second.recordAnswer([PART]);
    await clock.advance(10);
    network.loss = 0;
    await clock.advance(2 * ANNOUNCED_MS);
    expect([first, second].map((node) => isBlocked(node))).toEqual([false, false]);
  });

  describe('of a node that restarted', () => {
    it('is read from the store', async () => {
      await crash(4);
      network.loss = 1;
      second = start(1);
      await clock.advance(10);
      expect(isBlocked(second)).toBe(true);
    });

    it('is reported by the others while the store is down', async () => {
      isStoreDown = true;
      await crash(4);
      second = start(1);
      await clock.advance(ANNOUNCED_MS);
      expect([first, second].map((node) => isBlocked(node))).toEqual([true, true]);
    });
  });

  it('is stored again when the store goes back to an older copy', async () => {
    await crash(4);
    stored.clear();
    await clock.advance(STORED_MS);
    expect(stored.has(PART)).toBe(true);
  });

  it('reaches a node that the others cannot reach through the store', async () => {
    network.cut('127.0.0.1:1', '127.0.0.1:2');
    const [lost] = members;
    if (lost !== undefined) {
      memberships[1]?.applyUpdate({ ...lost, status: MemberStatus.Dead });
    }
    for (let index = 0; index < 4; index++) {
      first.recordCrash({ target: `e${index}`, request: `r${index}`, causes: [PART] });
      await clock.advance(200);
    }
    await clock.advance(ANNOUNCED_MS);
    expect([first, second].map((node) => isBlocked(node))).toEqual([true, true]);
  });

  it('is stored as soon as the store answers', async () => {
    isStoreDown = true;
    await crash(4);
    expect(stored.size).toBe(0);
    isStoreDown = false;
    await clock.advance(ANNOUNCED_MS);
    expect(stored.get(PART)?.expiresAt).toBeGreaterThan(clock.wallTime());
  });

  describe('of a request', () => {
    const REQUEST = 'request:r';
    const nodes = (): readonly CrashQuarantine[] => [first, second];
    const areBlocked = (): readonly boolean[] => nodes().map((node) => isBlocked(node, REQUEST));

    beforeEach(async () => {
      for (let index = 0; index < 3; index++) {
        const crash = { target: `e${index}`, request: `r${index}`, causes: [REQUEST] };
        (index % 2 === 0 ? first : second).recordCrash(crash);
        await clock.advance(200);
      }
      await clock.advance(200);
    });

    it('is blocked at all nodes by three targets', () => {
      expect(areBlocked()).toEqual([true, true]);
    });

    it('ends everywhere when the one that is let through is answered', async () => {
      await clock.advance(ANNOUNCED_MS);
      const open = nodes().filter((node) => !isBlocked(node, REQUEST));
      expect(open).toHaveLength(1);
      open[0]?.takeTrials([REQUEST]);
      expect(areBlocked()).toEqual([true, true]);
      open[0]?.recordAnswer([REQUEST]);
      await clock.advance(10);
      expect(areBlocked()).toEqual([false, false]);
    });

    it('lets three through at most, all nodes together', async () => {
      let trials = 0;
      for (const node of nodes()) {
        node.onTrial(() => trials++);
      }
      for (let second = 0; second < 120; second++) {
        await clock.advance(1_000);
        for (const node of nodes()) {
          node.takeTrials([REQUEST]);
        }
      }
      expect(trials).toBe(3);
      expect(areBlocked()).toEqual([true, true]);
    });
  });

  it.each([
    'F{"method":"part.crash","params":{"engine":"e","request":"r"}}',
    'F{"method":"part.crash","params":{"engine":"e","request":"r","parts":[1]}}',
    'F{"method":"part.blocked","params":{"part":"p","remainingMs":-1,"engines":4}}',
    'F{"method":"part.blocked","params":{"part":"p","remainingMs":9}}',
    'F{"method":"part.answered","params":{"part":"p"}}',
  ])('ignores a malformed report: %s', async (payload) => {
    network.find('127.0.0.1:1')?.sendDatagram('127.0.0.1:2', payload);
    await clock.advance(10);
    expect(second.blocked).toEqual([]);
  });
});
