/** Replays open connections that hang, beside targets that are sound and silent. */
import { ManualClock, Metrics } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../../common/DecisionLog.js';
import { TargetPaths } from '../../common/paths/TargetPaths.js';
import { SilenceMonitor } from './SilenceMonitor.js';

describe('SilenceMonitor', () => {
  let clock: ManualClock;
  let paths: TargetPaths;
  let monitor: SilenceMonitor;
  let unreachable: Set<string>;
  let probes: string[];

  beforeEach(() => {
    clock = new ManualClock();
    unreachable = new Set();
    probes = [];
    const log = new DecisionLog(clock, 'n', () => true);
    paths = new TargetPaths({ clock, log, metrics: new Metrics() });
    monitor = new SilenceMonitor({
      clock,
      paths,
      probe: {
        probe: async (address, timeoutMs) => {
          probes.push(address);
          await clock.sleep(unreachable.has(address) ? timeoutMs : 2);
          return !unreachable.has(address);
        },
      },
      connectedAddresses: () => ['a', 'b', 'c', 'd'],
    });
  });

  it('finds within 500 ms that the node is cut off, with one request in flight', async () => {
    unreachable = new Set(['a', 'b', 'c', 'd']);
    monitor.watch('a');
    await clock.advance(500);
    expect(paths.isCutOff).toBe(true);
  });

  it('does not lose a sound target that is silent for a second', async () => {
    const exchange = monitor.watch('a');
    await clock.advance(1_200);
    exchange.recordBytes();
    await clock.advance(100);
    exchange.dispose();
    expect(paths.lostAddresses).toEqual([]);
    expect(paths.isCutOff).toBe(false);
  });

  it('finds one target whose connections hang while another one answers', async () => {
    unreachable.add('a');
    monitor.watch('a');
    const other = monitor.watch('b');
    for (let passedMs = 0; passedMs < 1_000; passedMs += 50) {
      await clock.advance(50);
      other.recordBytes();
    }
    expect(paths.lostAddresses).toEqual(['a']);
    expect(paths.isCutOff).toBe(false);
  });

  it('probes nothing while answers arrive', async () => {
    const exchange = monitor.watch('a');
    for (let passedMs = 0; passedMs < 3_000; passedMs += 100) {
      await clock.advance(100);
      exchange.recordBytes();
    }
    expect(probes).toEqual([]);
  });

  it('limits the probes of many silent targets', async () => {
    const addresses = Array.from({ length: 100 }, (_each, index) => `t${index}`);
    addresses.forEach((address) => monitor.watch(address));
    const answering = monitor.watch('b');
    for (let passedMs = 0; passedMs < 5_000; passedMs += 50) {
      await clock.advance(50);
      answering.recordBytes();
    }
    expect(probes.length).toBeLessThanOrEqual(10);
  });

  it('finds within a second that the targets are reached again', async () => {
    unreachable = new Set(['a', 'b', 'c']);
    monitor.watch('a');
    await clock.advance(1_000);
    expect(paths.isCutOff).toBe(true);
    unreachable.clear();
    await clock.advance(1_000);
    expect(paths.isCutOff).toBe(false);
    await clock.advance(2_000);
    expect(paths.lostAddresses).toEqual([]);
  });
});
