/**
 * How long targets count as cold: by their records, their answers, reports of other nodes and the
 * time since their start, any of which may be late, wrong or missing.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry, WarmUp } from '../Messages.js';
import { ColdReports } from './ColdReports.js';
import { ColdTargets } from './ColdTargets.js';
import { engineEntry, simpleProfile } from './PlacementFixtures.js';

const COLD_MS = 3_000;
const HOUR_MS = 3_600_000;
const ID = 'e1';

describe('ColdTargets', () => {
  let clock: ManualClock;
  let entries: Map<string, TargetEntry>;
  let warmUp: WarmUp | undefined;
  let lines: string[];
  let targets: ColdTargets;

  beforeEach(() => {
    clock = new ManualClock();
    entries = new Map();
    warmUp = { durationMs: COLD_MS, requestsPerSecond: 14 };
    lines = [];
    targets = create('n0');
  });

  function create(node: string): ColdTargets {
    const log = new DecisionLog(clock, node, (line) => lines.push(line) > 0);
    return new ColdTargets({
      clock,
      log,
      metrics: new Metrics(),
      findTarget: (id) => entries.get(id),
      findService: (name) => ({ name, maxConnections: 1, warmUp, engine: simpleProfile }),
    });
  }

  function read(changes: Partial<TargetEntry> = {}, isInitial = false): TargetEntry {
    const entry = { ...engineEntry(ID), startedAt: 1, ...changes };
    entries.set(entry.id, entry);
    targets.applyEntry({ entry, isInitial });
    return entry;
  }

  const isCold = (): boolean => targets.find(ID) !== undefined;

  function countLogged(event: string): number {
    return lines.filter((line) => line.includes(`"${event}"`)).length;
  }

  describe('of an instance', () => {
    it('that is new: count it as cold from its first record, although that says it is warm', async () => {
      read();
      await clock.advance(COLD_MS - 1);
      expect(isCold()).toBe(true);
      await clock.advance(1);
      expect(isCold()).toBe(false);
      expect([countLogged('target.cold'), countLogged('target.warm')]).toEqual([1, 1]);
    });

    it('that a starting node finds warm: count it as warm', () => {
      read({}, true);
      expect(isCold()).toBe(false);
    });

    it('that a starting node finds cold: count it as cold for the stated time', async () => {
      read({ coldMs: 500 }, true);
      await clock.advance(499);
      expect(isCold()).toBe(true);
      await clock.advance(1);
      expect(isCold()).toBe(false);
    });

    it('that started again under its id: count it as cold', () => {
      read({}, true);
      read({ startedAt: 2 });
      expect(isCold()).toBe(true);
    });

    it('that is gone for a while and comes back: keep its age', async () => {
      const entry = read();
      await clock.advance(COLD_MS);
      entries.delete(ID);
      targets.remove(entry);
      read();
      expect(isCold()).toBe(false);
    });

    it('of a service whose targets are never cold: count it as warm', () => {
      warmUp = undefined;
      read({ coldMs: 500 });
      expect(isCold()).toBe(false);
    });
  });

  describe('end the cold time', () => {
    it('by the count of the last record, when no further one comes', async () => {
      read({}, true);
      read({ coldMs: 5_000 });
      await clock.advance(4_999);
      expect(isCold()).toBe(true);
      await clock.advance(1);
      expect(isCold()).toBe(false);
    });

    it('by the latest of record and answer', async () => {
      const entry = read({}, true);
      targets.recordAnswer(entry, 1_000);
      read({ coldMs: 200 });
      await clock.advance(999);
      expect(isCold()).toBe(true);
      await clock.advance(1);
      expect(isCold()).toBe(false);
    });

    it('whatever happens to the wall clock', async () => {
      read();
      clock.stepWallClock(HOUR_MS);
      expect(isCold()).toBe(true);
      clock.stepWallClock(-2 * HOUR_MS);
      await clock.advance(COLD_MS);
      expect(isCold()).toBe(false);
    });
  });

  it('ignore times above an hour, and log that once for a target', () => {
    const entry = read({}, true);
    read({ coldMs: HOUR_MS + 1 });
    targets.recordAnswer(entry, HOUR_MS + 1);
    expect(isCold()).toBe(false);
    expect(countLogged('target.cold-ignored')).toBe(1);
  });

  describe('of targets that get requests again', () => {
    beforeEach(() => {
      read({}, true);
      targets.recordReturn([ID]);
    });

    it('count them as cold until a record says otherwise that was written since', () => {
      read();
      expect(isCold()).toBe(true);
      read();
      expect(isCold()).toBe(false);
    });

    it('count them as cold for the time after a start at most', async () => {
      await clock.advance(COLD_MS);
      expect(isCold()).toBe(false);
    });
  });

  describe('on another node', () => {
    let others: ColdTargets;
    let network: MemoryNetwork;
    let entry: TargetEntry;

    beforeEach(() => {
      network = new MemoryNetwork(clock, new SeededRandom(1));
      const members = [memberOf('n0', '127.0.0.1:1'), memberOf('n1', '127.0.0.1:2')];
      others = create('n1');
      members.forEach((self, index) => {
        const transport = network.join(self.peerAddress);
        const membership = new FixedMembership(self, members);
        const broadcast = new ZoneBroadcast({ clock, transport, membership });
        new ColdReports({ broadcast, coldTargets: index === 0 ? targets : others });
      });
      entry = read({}, true);
      others.applyEntry({ entry, isInitial: true });
    });

    it('count it as cold by a report, for the time that is left', async () => {
      targets.recordAnswer(entry, 400);
      await clock.advance(10);
      expect(others.find(ID)).toBeDefined();
      await clock.advance(400);
      expect(others.find(ID)).toBeUndefined();
    });

    it('count it as cold although a report got lost, as answers repeat it', async () => {
      network.loss = 1;
      targets.recordAnswer(entry, 5_000);
      await clock.advance(1_000);
      network.loss = 0;
      targets.recordAnswer(entry, 4_000);
      await clock.advance(10);
      expect(others.find(ID)).toBeDefined();
    });

    it('get one report, not one for each answer', async () => {
      const before = network.find('127.0.0.1:1')?.bytesSent ?? 0;
      targets.recordAnswer(entry, 900);
      const once = (network.find('127.0.0.1:1')?.bytesSent ?? 0) - before;
      for (let leftMs = 880; leftMs > 0; leftMs -= 20) {
        await clock.advance(20);
        targets.recordAnswer(entry, leftMs);
      }
      expect(network.find('127.0.0.1:1')?.bytesSent).toBe(before + once);
    });

    it('ignore a report of an instance that has started again since', async () => {
      targets.recordAnswer(entry, 5_000);
      others.applyEntry({ entry: { ...entry, startedAt: 2 }, isInitial: true });
      await clock.advance(COLD_MS + 10);
      expect(others.find(ID)).toBeUndefined();
    });

    it.each([
      'F{"method":"target.cold"}',
      'F{"method":"target.cold","params":{"id":"e1","startedAt":1,"leftMs":-1}}',
      'F{"method":"target.cold","params":{"id":"e1","startedAt":1,"leftMs":"100"}}',
      'F{"method":"target.cold","params":{"id":"e1","startedAt":1,"leftMs":1e12}}',
      'F{"method":"target.cold","params":{"id":"unknown","startedAt":1,"leftMs":100}}',
    ])('ignore a malformed report: %s', async (payload) => {
      network.find('127.0.0.1:1')?.sendDatagram('127.0.0.1:2', payload);
      await clock.advance(10);
      expect(others.hasCold).toBe(false);
    });
  });
});
