import { ManualClock, Metrics } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import { TargetPaths } from './TargetPaths.js';

describe('TargetPaths', () => {
  let clock: ManualClock;
  let paths: TargetPaths;
  let cutOffs: number;

  beforeEach(() => {
    clock = new ManualClock();
    cutOffs = 0;
    const log = new DecisionLog(clock, 'n', () => true);
    paths = new TargetPaths({ clock, log, metrics: new Metrics() });
    paths.onCutOff(() => cutOffs++);
  });

  async function fail(...addresses: string[]): Promise<void> {
    for (const address of addresses) {
      await clock.advance(10);
      paths.recordFailure(address);
    }
  }

  it('loses a target that fails, and no other one', async () => {
    await fail('a', 'a', 'a', 'a');
    expect(paths.isLost('a')).toBe(true);
    expect(paths.isLost('b')).toBe(false);
    expect(paths.isCutOff).toBe(false);
  });

  it('counts as cut off after three targets failed in a row, and says so once', async () => {
    await fail('a', 'b', 'c', 'd');
    expect(paths.isCutOff).toBe(true);
    expect(paths.isLost('not tried')).toBe(true);
    expect(cutOffs).toBe(1);
  });

  it('is not cut off when a target is reached in between', async () => {
    await fail('a', 'b');
    paths.recordReached('c');
    await fail('d', 'e');
    expect(paths.isCutOff).toBe(false);
    expect(paths.isLost('a')).toBe(true);
  });

  it('is no longer cut off when a target is reached; those not reached stay lost', async () => {
    await fail('a', 'b', 'c');
    await clock.advance(10);
    paths.recordReached('b');
    expect(paths.isCutOff).toBe(false);
    expect(paths.lostAddresses).toEqual(['a', 'c']);
  });

  it('discards a lost target to which no connection was needed for ten seconds', async () => {
    await fail('a', 'b', 'c');
    await clock.advance(10_000);
    paths.expire();
    expect(paths.lostAddresses).toEqual([]);
    expect(paths.isCutOff).toBe(false);
  });
});
