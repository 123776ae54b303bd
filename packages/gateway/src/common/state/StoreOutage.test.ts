/** A store that answers no calls for seconds and returns, while versions are written after it. */
import { ManualClock } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StoreFleet } from './StoreFleet.js';

const NODES = 7;
/** The nodes that poll, the first of each zone and one more. */
const POLLERS = [0, 1, 2, 3];
const OUTAGES_MS = [3_000, 5_100, 8_000, 10_000];
/** Parts of the interval between two polls at which an outage begins. */
const PHASES_MS = [0, 400, 800, 1_200];
/** Time from the return of the store to the newest version on all nodes. */
const APPLY_MS = 1_000;
/** The callers' bound for a version that is confirmed. */
const CALLERS_BOUND_MS = 2_000;
const VERSIONS = 4;
const VERSION_INTERVAL_MS = 330;
/** Of one node, for each topic. */
const MAX_CALLS_PER_SECOND = 2.5;

describe('after an outage of the store', () => {
  let clock: ManualClock;
  let fleet: StoreFleet;

  beforeEach(async () => {
    clock = new ManualClock();
    fleet = new StoreFleet(clock, NODES);
    fleet.startAll();
    await clock.advance(3_000);
  });

  afterEach(() => {
    fleet.dispose();
  });

  interface Silence {
    readonly losesOpenCalls?: boolean;
    readonly isOperatorOnly?: boolean;
    /** Called in the middle. */
    readonly meanwhile?: () => void;
  }

  async function passOutage(
    silentMs: number,
    { isOperatorOnly = false, losesOpenCalls = false, meanwhile }: Silence = {},
  ): Promise<void> {
    const stores = isOperatorOnly
      ? [fleet.operatorStore]
      : [fleet.operatorStore, fleet.targetStore];
    for (const store of stores) {
      store.silence(losesOpenCalls);
    }
    await clock.advance(silentMs / 2);
    meanwhile?.();
    await clock.advance(silentMs / 2);
    for (const store of stores) {
      store.resume();
    }
  }

  /** Writes versions; returns the longest time until one is in force on all nodes. */
  async function publish(): Promise<number> {
    const written: { readonly version: number; readonly at: number }[] = [];
    await clock.advance(50);
    while (written.length < VERSIONS) {
      written.push({ version: fleet.publish(), at: clock.now() });
      await clock.advance(VERSION_INTERVAL_MS);
    }
    await clock.advance(2 * APPLY_MS);
    return Math.max(...written.map(({ at, version }) => fleet.inForceAt(version) - at));
  }

  describe.each(OUTAGES_MS)('of %d ms', (silentMs) => {
    it.each(PHASES_MS)('versions are in force on all nodes within 1 s (%d)', async (phaseMs) => {
      await clock.advance(phaseMs);
      await passOutage(silentMs);
      expect(await publish()).toBeLessThan(APPLY_MS);
    });

    it.each(PHASES_MS)('the same if open calls are lost with it (%d)', async (phaseMs) => {
      await clock.advance(phaseMs);
      await passOutage(silentMs, { losesOpenCalls: true });
      expect(await publish()).toBeLessThan(APPLY_MS);
    });

    it('the same on nodes that started during it', async () => {
      const meanwhile = (): void => {
        for (const index of [0, 2, 5]) {
          fleet.start(index);
        }
      };
      await passOutage(silentMs, { meanwhile });
      expect(await publish()).toBeLessThan(APPLY_MS);
    });

    it('the same if all nodes started during it', async () => {
      const meanwhile = (): void => {
        fleet.startAll();
      };
      await passOutage(silentMs, { meanwhile });
      expect(await publish()).toBeLessThan(APPLY_MS);
    });

    it('the same if only one topic was silent', async () => {
      await passOutage(silentMs, { isOperatorOnly: true });
      expect(await publish()).toBeLessThan(APPLY_MS);
    });

    it('the same if it was the second one in a row', async () => {
      await passOutage(4_000);
      await clock.advance(500);
      await passOutage(silentMs, { losesOpenCalls: true });
      expect(await publish()).toBeLessThan(APPLY_MS);
    });

    it('the same if only the nodes that poll got no answers', async () => {
      for (const index of POLLERS) {
        fleet.ignored.add(index);
      }
      await clock.advance(silentMs);
      fleet.ignored.clear();
      expect(await publish()).toBeLessThan(APPLY_MS);
    });

    it.each(PHASES_MS)(
      'the same if other nodes poll in place of the first (%d)',
      async (phaseMs) => {
        for (const index of POLLERS) {
          fleet.ignored.add(index);
        }
        await clock.advance(10_000 + phaseMs);
        await passOutage(silentMs, { losesOpenCalls: true });
        expect(await publish()).toBeLessThan(APPLY_MS);
      },
    );

    it('each node makes a bounded number of calls during it', async () => {
      const before = fleet.calls;
      await passOutage(silentMs, { losesOpenCalls: true });
      const callsOfEach = (fleet.calls - before) / (2 * NODES);
      expect(callsOfEach).toBeLessThan((MAX_CALLS_PER_SECOND * silentMs) / 1_000);
    });
  });

  it('that only the nodes that poll see, versions go on being in force within 2 s', async () => {
    for (const index of POLLERS) {
      fleet.ignored.add(index);
    }
    await clock.advance(10_000);
    for (let round = 0; round < 10; round++) {
      expect(await publish()).toBeLessThan(CALLERS_BOUND_MS);
    }
  });

  it.each(OUTAGES_MS)('of %d ms, late answers before it delay no version', async (silentMs) => {
    fleet.operatorStore.callMs = 2_200;
    await clock.advance(15_000);
    fleet.operatorStore.callMs = 4;
    await passOutage(silentMs, { losesOpenCalls: true });
    expect(await publish()).toBeLessThan(CALLERS_BOUND_MS);
  });
});
