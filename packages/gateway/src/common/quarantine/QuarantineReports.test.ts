import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import {
  type BackgroundFailure,
  type Disposable,
  ManualClock,
  Metrics,
  onBackgroundFailure,
  SeededRandom,
} from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { QuarantineRegistry } from '../services/Services.js';
import { CrashQuarantine } from './CrashQuarantine.js';
import { QuarantineReports } from './QuarantineReports.js';

/** Guards against a node that ends, or goes silent, since the client of the store has a defect. */
describe('QuarantineReports', () => {
  const members = ['127.0.0.1:1', '127.0.0.1:2'].map((address, index) =>
    memberOf(`n${index}`, address),
  );
  let clock: ManualClock;
  let failures: BackgroundFailure[];
  let subscription: Disposable;
  let announced: string[];

  beforeEach(async () => {
    clock = new ManualClock();
    failures = [];
    subscription = onBackgroundFailure((failure) => {
      failures.push(failure);
    });
    const network = new MemoryNetwork(clock, new SeededRandom(1));
    const log = new DecisionLog(clock, 'n0', () => true);
    const [self] = members;
    const broadcasts = members.map(
      (member) =>
        new ZoneBroadcast({
          clock,
          transport: network.join(member.peerAddress),
          membership: new FixedMembership(member, members),
        }),
    );
    announced = [];
    broadcasts[1]?.onMessage((payload) => {
      announced.push(payload);
    });
    const defect = (): never => {
      throw new RangeError('out of range');
    };
    const registry: QuarantineRegistry = { store: defect, remove: defect, list: defect };
    const quarantine = new CrashQuarantine({ clock, log, metrics: new Metrics() });
    const [broadcast] = broadcasts;
    if (self === undefined || broadcast === undefined) {
      throw new Error('no member');
    }
    const membership = new FixedMembership(self, members);
    new QuarantineReports({ clock, log, broadcast, membership, quarantine, registry }).start();
    quarantine.applyBlocked({ cause: 'part', remainingMs: 60_000, targets: 12, trials: 0 });
    await clock.advance(10_000);
  });

  afterEach(() => {
    subscription.dispose();
  });

  it('goes on announcing a quarantine that it fails to store', () => {
    const blocked = announced.filter((payload) => payload.includes('part.blocked'));
    expect(blocked.length).toBeGreaterThanOrEqual(8);
  });

  it('reports the defect, and what was done', () => {
    expect(new Set(failures.map(({ work }) => work))).toEqual(
      new Set(['quarantine.store', 'platform.call']),
    );
  });
});
