/** Tests that at most one node holds a lease during pauses, lost log responses and outages. */
import { AppendFault, MemoryLog } from '@tanagerdyke/fakes';
import { type Logger, ManualClock, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LEASE_TERM_MS, LeaseKeeper } from './LeaseKeeper.js';

const SILENT: Logger = { log: () => undefined };
const STREAM = 'leases/m/r';
const STEP_MS = 50;
const CANDIDATES = 2;

interface Candidate {
  /** Each candidate has its own clock, so that its process can pause alone. */
  readonly clock: ManualClock;
  readonly keeper: LeaseKeeper;
  isPaused: boolean;
}

describe('LeaseKeeper', () => {
  let clock: ManualClock;
  let log: MemoryLog;
  let candidates: Candidate[];
  let highestFencing: number;

  function start(index: number, startedAt: number): Candidate {
    const ownClock = new ManualClock();
    const node = `n${index}`;
    const keeper = new LeaseKeeper({
      clock: ownClock,
      random: new SeededRandom(index + startedAt * 10),
      log,
      logger: SILENT,
      timeLine: new TimeLine(ownClock, node),
      stream: STREAM,
      node,
      startedAt,
      extraWaitMs: () => index * 2_000,
    });
    keeper.start();
    return { clock: ownClock, keeper, isPaused: false };
  }

  /** Advances all clocks; asserts in each step at most one holder and no decrease of its number. */
  async function advance(ms: number): Promise<void> {
    for (let step = 0; step < ms / STEP_MS; step++) {
      await clock.advance(STEP_MS);
      for (const { clock: ownClock, isPaused } of candidates) {
        if (isPaused) {
          ownClock.freeze(STEP_MS);
        } else {
          await ownClock.advance(STEP_MS);
        }
      }
      const held = candidates.flatMap(({ keeper }) => keeper.fencingNumber ?? []);
      expect(held.length).toBeLessThanOrEqual(1);
      expect(held[0] ?? highestFencing).toBeGreaterThanOrEqual(highestFencing);
      highestFencing = held[0] ?? highestFencing;
    }
  }

  function candidate(index: number): Candidate {
    const found = candidates[index];
    if (found === undefined) {
      throw new Error(`no candidate ${index}`);
    }
    return found;
  }

  function restart(index: number, startedAt: number): void {
    candidate(index).keeper.dispose();
    candidates[index] = start(index, startedAt);
  }

  function setUp(): void {
    clock = new ManualClock();
    log = new MemoryLog(clock);
    highestFencing = -1;
    candidates = Array.from({ length: CANDIDATES }, (_, index) => start(index, 1));
  }

  function tearDown(): void {
    candidates.forEach(({ keeper }) => {
      keeper.dispose();
    });
  }

  beforeEach(setUp);
  afterEach(tearDown);

  describe('two candidates', () => {
    it('have one holder, which keeps the lease', async () => {
      await advance(60_000);
      expect(candidate(0).keeper.fencingNumber).toBe(0);
    });
  });

  describe('a pause of the holder past the term', () => {
    it('moves the lease to the other candidate, and the resumed holder stays without it', async () => {
      await advance(5_000);
      candidate(0).isPaused = true;
      await advance(3 * LEASE_TERM_MS);
      expect(candidate(0).keeper.fencingNumber).toBeUndefined();
      expect(candidate(1).keeper.fencingNumber).toBeGreaterThan(0);
      candidate(0).isPaused = false;
      await advance(10_000);
      expect(candidate(0).keeper.fencingNumber).toBeUndefined();
    });
  });

  describe('lost messages of the log', () => {
    it.each([AppendFault.LoseAnswer])(
      'of kind %s do not cost the holder its lease',
      async (fault) => {
        log.appendFault = fault;
        await advance(60_000);
        expect(candidate(0).keeper.fencingNumber).toBe(0);
      },
    );

    it('leave no holder when no renewal arrives', async () => {
      await advance(5_000);
      log.appendFault = AppendFault.LoseRequest;
      await advance(2 * LEASE_TERM_MS);
      expect(candidates.map(({ keeper }) => keeper.fencingNumber)).toEqual([undefined, undefined]);
    });
  });

  describe('an outage of the log', () => {
    it('ends the lease within its term, and a candidate acquires it again afterwards', async () => {
      await advance(5_000);
      log.isDown = true;
      await advance(LEASE_TERM_MS);
      expect(candidates.map(({ keeper }) => keeper.fencingNumber)).toEqual([undefined, undefined]);
      log.isDown = false;
      await advance(3 * LEASE_TERM_MS);
      expect(candidates.some(({ keeper }) => keeper.fencingNumber !== undefined)).toBe(true);
    });
  });

  describe('expired records', () => {
    it('do not let a restarted candidate acquire a lease that is held', async () => {
      await advance(30_000);
      log.truncate(STREAM, 3);
      restart(1, 2);
      await advance(60_000);
      expect(candidate(0).keeper.fencingNumber).toBe(0);
    });

    it('of a holder that is gone let a successor acquire the lease', async () => {
      await advance(5_000);
      candidate(0).keeper.dispose();
      log.truncate(STREAM, 1_000);
      restart(1, 2);
      await advance(4 * LEASE_TERM_MS);
      expect(candidate(1).keeper.fencingNumber).toBeGreaterThan(0);
    });
  });

  describe('any sequence of faults', () => {
    const step = fc.record({
      action: fc.constantFrom('pause', 'resume', 'restart', 'outage', 'lose', 'drop', 'heal'),
      index: fc.nat(CANDIDATES - 1),
      waitMs: fc.integer({ min: 0, max: 15_000 }),
    });

    it('never leads to two holders, and fencing numbers never decrease', async () => {
      await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 10 }), async (steps) => {
          tearDown();
          setUp();
          for (const [order, { action, index, waitMs }] of steps.entries()) {
            if (action === 'pause' || action === 'resume') {
              candidate(index).isPaused = action === 'pause';
            } else if (action === 'restart') {
              restart(index, order + 2);
            } else {
              log.isDown = action === 'outage';
              log.appendFault = FAULTS[action] ?? AppendFault.None;
            }
            await advance(waitMs);
          }
        }),
        { seed: 6, numRuns: 25 },
      );
    });
  });
});

const FAULTS: Readonly<Record<string, AppendFault>> = {
  lose: AppendFault.LoseAnswer,
  drop: AppendFault.LoseRequest,
};
