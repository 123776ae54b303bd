/** Limits that targets state on their request rates, as one node keeps them and reports them. */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import { RateLimitReports } from './RateLimitReports.js';
import { RateLimits } from './RateLimits.js';

const TARGET = 't';

describe('RateLimits', () => {
  let clock: ManualClock;
  let live: number;
  let limits: RateLimits;

  beforeEach(() => {
    clock = new ManualClock();
    live = 4;
    limits = createLimits('n0');
  });

  function createLimits(node: string): RateLimits {
    return new RateLimits({
      clock,
      log: new DecisionLog(clock, node, () => true),
      metrics: new Metrics(),
      random: new SeededRandom(1),
      coldTargets: { find: () => undefined, hasCold: false },
      countNodes: () => ({ live, max: 4 }),
    });
  }

  function state(requestsPerSecond: number | undefined): void {
    limits.recordStatement({ target: TARGET, requestsPerSecond });
  }

  /** Offers a request every 10 ms, and returns how many are admitted. */
  async function countAdmitted(durationMs: number): Promise<number> {
    let admitted = 0;
    for (let at = 0; at < durationMs; at += 10) {
      admitted += limits.admit([TARGET], `r${clock.now()}`) ? 1 : 0;
      await clock.advance(10);
    }
    return admitted;
  }

  describe('of a target that states', () => {
    it.each([
      ['nothing', undefined, 1_000],
      ['20 a second', 20, 200],
      ['1.5 a second', 1.5, 15],
      ['one in two seconds', 0.5, 5],
      ['none at all, which gets one in ten seconds to state otherwise', 0, 1],
    ])('%s: admits that many in ten seconds', async (_name, requestsPerSecond, expected) => {
      state(requestsPerSecond);
      const admitted = await countAdmitted(10_000);
      expect(admitted).toBeGreaterThanOrEqual(expected);
      expect(admitted).toBeLessThanOrEqual(expected + 1);
    });

    it('a limit after a pause: admits what one second allows at once, and no more', async () => {
      state(5);
      await clock.advance(20_000);
      const ids = Array.from({ length: 20 }, (_each, index) => `r${index}`);
      expect(ids.filter((id) => limits.admit([TARGET], id))).toHaveLength(6);
    });

    it('no limit any more: admits everything', async () => {
      state(1);
      state(undefined);
      expect(await countAdmitted(1_000)).toBe(100);
    });

    it('a limit: leaves the part of nodes that are not reachable to them', async () => {
      live = 1;
      state(4);
      expect(await countAdmitted(10_000)).toBeLessThanOrEqual(11);
    });
  });

  it('count a request once, and admit it if it was counted when it was placed', () => {
    state(0.5);
    limits.reserve([TARGET], 'placed');
    expect(limits.admit([TARGET], 'other')).toBe(false);
    expect(limits.admit([TARGET], 'placed')).toBe(true);
    expect(limits.waitMs([TARGET])).toBe(2_000);
  });

  it('have no waiting time while one of the targets has no limit', () => {
    state(0.5);
    limits.reserve([TARGET], 'r');
    expect(limits.waitMs([TARGET, 'u'])).toBe(0);
    expect(limits.intervalMs([TARGET, 'u'])).toBe(0);
  });

  describe('on another node', () => {
    let others: RateLimits;
    let network: MemoryNetwork;

    beforeEach(() => {
      network = new MemoryNetwork(clock, new SeededRandom(1));
      const members = [memberOf('n0', '127.0.0.1:1'), memberOf('n1', '127.0.0.1:2')];
      others = createLimits('n1');
      members.forEach((self, index) => {
        const transport = network.join(self.peerAddress);
        const membership = new FixedMembership(self, members);
        const broadcast = new ZoneBroadcast({ clock, transport, membership });
        const rateLimits = index === 0 ? limits : others;
        const isKnown = (id: string): boolean => id === TARGET;
        new RateLimitReports({ broadcast, rateLimits, isKnown });
      });
    });

    it('hold from a report on, and include the requests of this one', async () => {
      state(1);
      limits.admit([TARGET], 'r');
      await clock.advance(10);
      expect(others.permits(TARGET)).toBe(false);
    });

    it('end with a report', async () => {
      state(0.5);
      limits.admit([TARGET], 'r');
      state(undefined);
      await clock.advance(10);
      expect(others.permits(TARGET)).toBe(true);
    });

    it('are known although a report got lost, as answers repeat the statement', async () => {
      network.loss = 1;
      state(1);
      await clock.advance(1_500);
      network.loss = 0;
      state(1);
      await clock.advance(10);
      others.reserve([TARGET], 'r');
      expect(others.permits(TARGET)).toBe(false);
    });

    it('of a target without a record there are not kept', async () => {
      limits.recordStatement({ target: 'gone', requestsPerSecond: 1 });
      await clock.advance(10);
      others.reserve(['gone'], 'r');
      expect(others.permits('gone')).toBe(true);
    });

    it.each([
      'F{"method":"target.rate"}',
      'F{"method":"target.rate","params":{"target":"t","rate":-1}}',
      'F{"method":"target.rate","params":{"target":"t","rate":"1"}}',
      'F{"method":"target.sent","params":{"target":1}}',
    ])('ignore a malformed report: %s', async (payload) => {
      state(1);
      await clock.advance(10);
      network.find('127.0.0.1:1')?.sendDatagram('127.0.0.1:2', payload);
      await clock.advance(10);
      expect(others.permits(TARGET)).toBe(true);
      others.reserve([TARGET], 'r');
      expect(others.permits(TARGET)).toBe(false);
    });
  });
});
