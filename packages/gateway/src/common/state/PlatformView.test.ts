import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { ForwardingConfiguration, TargetEntry } from '../Messages.js';
import type { RecordDecoder } from '../services/Services.js';
import { PlatformView } from './PlatformView.js';
import { Access, RestoredLog } from './RestoredLog.js';

const unreadable = new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' });

/** A configuration is the text of its version; an entry is its start time and state. */
const decoder: RecordDecoder = {
  isConfiguration: (key) => key === 'config',
  evacuatedZone: (key) => (key.startsWith('evacuate/') ? key.slice(9) || undefined : undefined),
  configuration: (value) => {
    const version = Number(value.toString());
    return Number.isInteger(version) ? Result.ok(configurationOf(version)) : Result.err(unreadable);
  },
  target: (id, value) => {
    const [startedAt, state] = value.toString().split(' ');
    return state === undefined
      ? Result.err(unreadable)
      : Result.ok<TargetEntry, ServiceError>({
          id,
          service: 'app',
          address: '10.0.0.1:80',
          availabilityZone: 'a',
          slots: 1,
          coldMs: 0,
          isDraining: state === 'draining',
          startedAt: Number(startedAt),
        });
  },
};

function configurationOf(version: number): ForwardingConfiguration {
  return {
    version,
    routes: [],
    services: [],
    requiresKeys: false,
    workspaces: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

/** The shortest time within which users expect a change to be in force. */
const APPLY_MS = 2_000;

describe('PlatformView', () => {
  let clock: ManualClock;
  let network: MemoryNetwork;
  let operatorLog: RestoredLog;
  let targetLog: RestoredLog;
  let access: Access[];
  let views: PlatformView[];

  beforeEach(() => {
    clock = new ManualClock();
    network = new MemoryNetwork(clock, new SeededRandom(1));
    operatorLog = new RestoredLog(clock, 'operator');
    targetLog = new RestoredLog(clock, 'targets');
    access = [];
    views = [];
  });

  function create(index: number, count: number): PlatformView {
    const members = Array.from({ length: count }, (_each, at) =>
      memberOf(`n${at}`, `127.0.0.1:${at + 1}`),
    );
    const self = members[index] ?? memberOf('n', '127.0.0.1:1');
    access[index] ??= Access.Answers;
    const accessOf = (): Access => access[index] ?? Access.Answers;
    return new PlatformView({
      clock,
      random: new SeededRandom(index),
      log: new DecisionLog(clock, self.name, () => true),
      metrics: new Metrics(),
      transport: network.join(self.peerAddress),
      membership: new FixedMembership(self, members),
      decoder,
      configurationTopic: operatorLog.topicFor(accessOf),
      targetTopic: targetLog.topicFor(accessOf),
    });
  }

  async function start(count: number): Promise<void> {
    views = Array.from({ length: count }, (_each, index) => create(index, count));
    for (const view of views) {
      view.start();
    }
    await clock.advance(1_000);
  }

  /** Ends a node and starts it again without the state that it had. */
  function restart(index: number): PlatformView {
    views[index]?.dispose();
    network.leave(`127.0.0.1:${index + 1}`);
    const view = create(index, views.length);
    views[index] = view;
    view.start();
    return view;
  }

  function versions(): number[] {
    return views.map(({ version }) => version);
  }

  function accepting(id: string): boolean[] {
    return views.map(({ targets }) => targets.acceptsRequests(id));
  }

  function evacuated(): boolean[] {
    return views.map(({ evacuations }) => evacuations.isEvacuated('a'));
  }

  const ALL = [true, true, true];
  const NONE = [false, false, false];

  describe('the configuration of a node', () => {
    beforeEach(async () => {
      operatorLog.write('config', '1');
      await start(3);
    });

    it('announces that requests can be routed, although no record arrives afterwards', async () => {
      const view = create(1, 2);
      const ready: boolean[] = [];
      view.onUpdate(() => ready.push(view.isReady));
      view.start();
      await clock.advance(5_000);
      expect(view.isReady).toBe(true);
      expect(ready).toContain(true);
    });

    it('counts as current while the platform or a connected poller responds', async () => {
      await clock.advance(10_000);
      expect(views.map(({ mayBeOutdated }) => mayBeOutdated)).toEqual([false, false, false]);
    });

    it('may be outdated soon after the node lost the platform and its peers', async () => {
      const lost = '127.0.0.1:3';
      access[2] = Access.Refuses;
      for (const peer of ['127.0.0.1:1', '127.0.0.1:2']) {
        network.cut(peer, lost);
        network.cut(lost, peer);
      }
      await clock.advance(APPLY_MS + 1_000);
      expect(views.map(({ mayBeOutdated }) => mayBeOutdated)).toEqual([false, false, true]);
    });

    it('may be outdated once a peer reports a newer one, until that is in force', async () => {
      access[2] = Access.Refuses;
      network.cut('127.0.0.1:3', '127.0.0.1:1');
      network.cut('127.0.0.1:3', '127.0.0.1:2');
      operatorLog.write('config', '2');
      await clock.advance(500);
      expect(views[2]?.mayBeOutdated).toBe(true);
      network.heal();
      await clock.advance(APPLY_MS);
      expect(versions()).toEqual([2, 2, 2]);
      expect(views[2]?.mayBeOutdated).toBe(false);
    });
  });

  describe('the evacuation of a zone', () => {
    beforeEach(async () => {
      operatorLog.write('config', '1');
      targetLog.write('t0', '1 ready');
      await start(3);
    });

    it('excludes its targets on all nodes within a second, and its end includes them', async () => {
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(1_000);
      expect([evacuated(), accepting('t0')]).toEqual([ALL, NONE]);
      operatorLog.write('evacuate/a', undefined);
      await clock.advance(1_000);
      expect([evacuated(), accepting('t0')]).toEqual([NONE, ALL]);
    });

    it('reaches a node that the platform refuses, and one that starts meanwhile', async () => {
      access[2] = Access.Refuses;
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(1_000);
      expect(evacuated()).toEqual(ALL);
      access[1] = Access.Refuses;
      const restarted = restart(1);
      await clock.advance(1_000);
      expect([restarted.isReady, ...evacuated()]).toEqual([true, ...ALL]);
    });

    it('is what the last record says when it ends and begins again at once', async () => {
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(1_000);
      operatorLog.write('evacuate/a', undefined);
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(1_000);
      expect(evacuated()).toEqual(ALL);
    });

    it('stays when the log lost it, until its removal is written', async () => {
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(500);
      operatorLog.restoreWithout(1);
      await clock.advance(10_000);
      expect(evacuated()).toEqual(ALL);
      operatorLog.write('evacuate/a', undefined);
      await clock.advance(APPLY_MS);
      expect(evacuated()).toEqual(NONE);
    });

    it('stays when the log lost it, on a node that starts after the restore', async () => {
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(500);
      operatorLog.restoreWithout(1);
      await clock.advance(300);
      restart(0);
      await clock.advance(APPLY_MS);
      expect(evacuated()).toEqual(ALL);
    });

    it('ends with its removal when it was written again after the log lost it', async () => {
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(500);
      operatorLog.restoreWithout(1);
      await clock.advance(300);
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(500);
      operatorLog.write('evacuate/a', undefined);
      await clock.advance(APPLY_MS);
      expect(evacuated()).toEqual(NONE);
    });

    it('ends with a removal that no node had read when the log was restored', async () => {
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(1_000);
      access.fill(Access.Refuses);
      await clock.advance(3_000);
      operatorLog.write('evacuate/a', undefined);
      operatorLog.write('config', '2');
      operatorLog.restoreWithout(1);
      operatorLog.write('config', '3');
      access.fill(Access.Answers);
      await clock.advance(3_000);
      expect(evacuated()).toEqual(NONE);
    });

    it('does not return with a copy that lacks its end, which is written again', async () => {
      operatorLog.write('evacuate/a', '{}');
      operatorLog.write('evacuate/a', undefined);
      await clock.advance(500);
      operatorLog.restoreWithout(1);
      await clock.advance(2_000);
      expect(evacuated()).toEqual(NONE);
      operatorLog.write('evacuate/a', undefined);
      await clock.advance(8_000);
      expect(evacuated()).toEqual(NONE);
    });

    it.each([
      ['peers', Access.Refuses],
      ['the log', Access.Answers],
    ])('ends on a node that gets the log of after the removal from %s', async (_from, later) => {
      operatorLog.write('evacuate/a', '{}');
      await clock.advance(500);
      for (const peer of ['127.0.0.1:1', '127.0.0.1:2']) {
        network.cut(peer, '127.0.0.1:3');
        network.cut('127.0.0.1:3', peer);
      }
      access[2] = Access.Refuses;
      operatorLog.restoreWithout(1);
      await clock.advance(1_500);
      operatorLog.write('evacuate/a', undefined);
      await clock.advance(1_000);
      expect(evacuated()).toEqual([false, false, true]);
      access[2] = later;
      await clock.advance(later === Access.Answers ? 4_000 : 0);
      network.heal();
      await clock.advance(APPLY_MS);
      expect(evacuated()).toEqual(NONE);
    });
  });

  describe('after the log returned from an older copy', () => {
    describe('the configuration', () => {
      beforeEach(() => {
        for (const version of [1, 2, 3, 4, 5]) {
          operatorLog.write('config', String(version));
        }
      });

      it.each([1, 3])('takes a version that is written again on %d nodes', async (count) => {
        await start(count);
        operatorLog.restoreWithout(3);
        await clock.advance(100);
        operatorLog.write('config', '6');
        await clock.advance(APPLY_MS);
        expect(versions()).toEqual(Array.from({ length: count }, () => 6));
      });

      it('stays the newest one that was confirmed until it is written again', async () => {
        await start(3);
        operatorLog.restoreWithout(2);
        await clock.advance(10_000);
        expect(versions()).toEqual([5, 5, 5]);
      });

      it('is read with few calls while the new log is shorter', async () => {
        await start(1);
        const before = operatorLog.calls;
        operatorLog.restoreWithout(3);
        await clock.advance(5_000);
        expect(operatorLog.calls - before).toBeLessThan(20);
      });

      it('reaches a node that the platform refuses throughout', async () => {
        await start(3);
        access[2] = Access.Refuses;
        await clock.advance(500);
        operatorLog.restoreWithout(4);
        await clock.advance(200);
        operatorLog.write('config', '7');
        await clock.advance(APPLY_MS);
        expect(versions()).toEqual([7, 7, 7]);
      });

      it('reaches a node that starts while only its peers hold the newest version', async () => {
        await start(4);
        operatorLog.restoreWithout(2);
        await clock.advance(300);
        const restarted = restart(3);
        await clock.advance(APPLY_MS);
        expect(restarted.version).toBe(5);
      });

      it('reaches a node of the first rank that starts while only its peers hold it', async () => {
        await start(4);
        operatorLog.restoreWithout(2);
        await clock.advance(300);
        const restarted = restart(0);
        await clock.advance(APPLY_MS);
        expect(restarted.version).toBe(5);
      });

      it('reaches all nodes when the poller changes in the middle', async () => {
        await start(4);
        access[0] = Access.Refuses;
        access[1] = Access.Refuses;
        operatorLog.restoreWithout(3);
        await clock.advance(6_000);
        operatorLog.write('config', '8');
        await clock.advance(APPLY_MS);
        expect(versions()).toEqual([8, 8, 8, 8]);
      });

      it('takes versions after two restores within a second', async () => {
        await start(3);
        operatorLog.restoreWithout(2);
        await clock.advance(400);
        operatorLog.write('config', '6');
        await clock.advance(400);
        operatorLog.restoreWithout(2);
        await clock.advance(400);
        operatorLog.write('config', '9');
        await clock.advance(APPLY_MS);
        expect(versions()).toEqual([9, 9, 9]);
      });

      it('takes the next version when an answer of before the restore arrives late', async () => {
        await start(1);
        access[0] = Access.Delayed;
        operatorLog.write('config', '6');
        await clock.advance(100);
        operatorLog.restoreWithout(4);
        access[0] = Access.Answers;
        operatorLog.release();
        await clock.advance(200);
        operatorLog.write('config', '7');
        await clock.advance(APPLY_MS);
        expect(versions()).toEqual([7]);
      });

      it('is in force where the new log has grown past the old end between two polls', async () => {
        await start(1);
        access[0] = Access.Refuses;
        await clock.advance(5_000);
        operatorLog.restoreWithout(3);
        operatorLog.write('config', '6');
        for (const key of ['a', 'b', 'c', 'd']) {
          operatorLog.write(key, 'another record');
        }
        access[0] = Access.Answers;
        await clock.advance(APPLY_MS);
        expect(versions()).toEqual([6]);
      });

      it('is read with few calls when the platform does not state the epoch', async () => {
        operatorLog.isEpochStated = false;
        await start(1);
        const before = operatorLog.calls;
        operatorLog.restoreWithout(3);
        await clock.advance(5_000);
        expect(operatorLog.calls - before).toBeLessThan(40);
      });
    });

    describe('a target', () => {
      beforeEach(async () => {
        operatorLog.write('config', '1');
        targetLog.write('t0', '1 ready');
        targetLog.write('t1', '1 ready');
        await start(3);
      });

      it('that was draining gets nothing, though the copy says that it is ready', async () => {
        targetLog.write('t1', '1 draining');
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(8_000);
        expect(accepting('t1')).toEqual([false, false, false]);
      });

      it('that says again that it is draining gets nothing', async () => {
        for (const id of ['t2', 't3', 't4', 't5']) {
          targetLog.write(id, '1 ready');
        }
        await clock.advance(500);
        targetLog.restoreWithout(4);
        await clock.advance(100);
        targetLog.write('t1', '1 draining');
        await clock.advance(1_000);
        expect(accepting('t1')).toEqual([false, false, false]);
      });

      it('that was removed gets nothing until its removal is written again', async () => {
        targetLog.write('t1', undefined);
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(2_500);
        expect(accepting('t1')).toEqual([false, false, false]);
        targetLog.write('t1', undefined);
        await clock.advance(8_000);
        expect(accepting('t1')).toEqual([false, false, false]);
      });

      it('that was removed and registers again is used', async () => {
        targetLog.write('t1', undefined);
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(500);
        targetLog.write('t1', '2 ready');
        await clock.advance(1_000);
        expect(accepting('t1')).toEqual([true, true, true]);
      });

      it('that was removed and stays in the log is used again', async () => {
        targetLog.write('t1', undefined);
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(10_000);
        expect(accepting('t1')).toEqual([true, true, true]);
      });

      it('whose entry was lost stays in use until it is written again', async () => {
        targetLog.write('t2', '1 ready');
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(1_000);
        expect(accepting('t2')).toEqual([true, true, true]);
        targetLog.write('t2', '1 ready');
        await clock.advance(3_000);
        expect(accepting('t2')).toEqual([true, true, true]);
      });

      it('whose entry was lost and does not return gets nothing', async () => {
        targetLog.write('t2', '1 ready');
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(6_000);
        expect(accepting('t2')).toEqual([false, false, false]);
      });

      it('that was draining gets nothing from a node that starts after the restore', async () => {
        targetLog.write('t1', '1 draining');
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(300);
        const restarted = restart(2);
        await clock.advance(1_500);
        expect(restarted.targets.acceptsRequests('t1')).toBe(false);
        expect(restarted.targets.acceptsRequests('t0')).toBe(true);
      });

      it('that was removed gets nothing from a node that starts after the restore', async () => {
        targetLog.write('t1', undefined);
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(300);
        const restarted = restart(2);
        await clock.advance(1_500);
        expect(restarted.targets.acceptsRequests('t1')).toBe(false);
      });

      it('that started again under its id is used, though the copy has its old entry', async () => {
        targetLog.write('t1', '1 draining');
        targetLog.write('t1', '2 ready');
        await clock.advance(500);
        targetLog.restoreWithout(1);
        await clock.advance(1_000);
        expect(accepting('t1')).toEqual([true, true, true]);
      });
    });
  });
});
