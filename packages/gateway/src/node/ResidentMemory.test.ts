import { ManualClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { ResidentMemory } from './ResidentMemory.js';

const HOUR_MS = 3_600_000;

/** Number of collections in an hour, with a check each minute. */
async function collectionsIn(limitBytes: number): Promise<number> {
  const clock = new ManualClock();
  let collections = 0;
  const memory = new ResidentMemory({
    clock,
    limitBytes,
    onRead: () => undefined,
    onCollected: () => {
      collections++;
    },
  });
  for (let at = 0; at < HOUR_MS; at += HOUR_MS / 60) {
    memory.check();
    await clock.advance(HOUR_MS / 60);
  }
  return collections;
}

describe('ResidentMemory', () => {
  it('collects no garbage while the process is far from its limit', async () => {
    expect(await collectionsIn(1e12)).toBe(0);
  });

  it('does not collect again and again what is in use beyond the limit', async () => {
    const collections = await collectionsIn(1e6);
    expect(collections).toBeGreaterThan(0);
    expect(collections).toBeLessThan(10);
  });
});
