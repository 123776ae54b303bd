/**
 * Replays a target that resets every request while its entry says that it accepts them, before a
 * fleet in which each node sends it few requests.
 */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { ZoneBroadcast } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { FailureReports } from './FailureReports.js';
import { engineEntry } from './PlacementFixtures.js';
import { placeCall } from './ServicePlacer.js';
import { TargetHealth } from './TargetHealth.js';

const NODES = 30;
const CALLS = 120;
const CALL_INTERVAL_MS = 50;
const FAULTY = 't0';

describe('failures of a target', () => {
  const members = Array.from({ length: NODES }, (_each, index) =>
    memberOf(`n${index}`, `127.0.0.1:${index + 1}`),
  );
  const targets = [FAULTY, 't1', 't2'].map((id) => engineEntry(id));
  let clock: ManualClock;
  let network: MemoryNetwork;
  let nodes: TargetHealth[];

  function createNodes(areReportsShared: boolean): void {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    nodes = members.map((self) => {
      const health = new TargetHealth(clock);
      const membership = new FixedMembership(self, members);
      const transport = network.join(self.peerAddress);
      const broadcast = new ZoneBroadcast({ clock, transport, membership });
      if (areReportsShared) {
        new FailureReports({ broadcast, health, node: self.name });
      }
      return health;
    });
  }

  /** Sends calls from all nodes in turn, and returns how many the faulty target got. */
  async function countLostCalls(): Promise<number> {
    let lost = 0;
    for (let call = 0; call < CALLS; call++) {
      const health = nodes[call % NODES];
      const candidates = targets.map((entry) => ({
        entry,
        inFlight: 0,
        wait: 0,
        failureRate: health?.failureRate(entry.id) ?? 0,
        isSuspect:
          health?.isSuspect(entry.id) === true || (health?.countReporters(entry.id) ?? 0) > 0,
      }));
      if (placeCall(candidates, 'a')?.id === FAULTY) {
        lost++;
        health?.recordConnectionFailure(FAULTY);
      }
      await clock.advance(CALL_INTERVAL_MS);
    }
    return lost;
  }

  beforeEach(() => {
    createNodes(true);
  });

  it('cost less than a quarter of the calls that they cost without reports', async () => {
    const shared = await countLostCalls();
    createNodes(false);
    const alone = await countLostCalls();
    expect(shared).toBeLessThan(alone / 4);
  });

  it('are known to all nodes soon, and no longer after a second', async () => {
    nodes[0]?.recordConnectionFailure(FAULTY);
    await clock.advance(60);
    const reporters = (): number[] => nodes.slice(1).map((each) => each.countReporters(FAULTY));
    expect(new Set(reporters())).toEqual(new Set([1]));
    await clock.advance(1_000);
    expect(new Set(reporters())).toEqual(new Set([0]));
  });

  it('are disregarded by a node that gets an answer of the target', async () => {
    nodes[0]?.recordConnectionFailure(FAULTY);
    await clock.advance(60);
    nodes[1]?.recordAnswer(FAULTY, false);
    expect(nodes[1]?.countReporters(FAULTY)).toBe(0);
  });

  it('are not reported by a node that reaches hardly any target', async () => {
    for (const id of ['t3', 't4', 't5', FAULTY]) {
      nodes[0]?.recordConnectionFailure(id);
    }
    await clock.advance(60);
    expect(nodes[1]?.countReporters(FAULTY)).toBe(0);
  });

  it.each(['F{', 'F{"method":"target.failed"}', 'F{"method":"target.failed","params":{"node":1}}'])(
    'in a malformed report change nothing: %s',
    async (payload) => {
      network.find('127.0.0.1:1')?.sendDatagram('127.0.0.1:2', payload);
      await clock.advance(10);
      expect(nodes[1]?.countReporters(FAULTY)).toBe(0);
    },
  );
});
