import { Emitter, ErrorKind, ManualClock, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import type { RecordDecoder } from '../services/Services.js';
import { KeyedTable } from './KeyedTable.js';
import { TargetTable } from './TargetTable.js';
import type { ZoneChange } from './ZoneEvacuations.js';

const unreadable = new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' });

/** Decodes entries that are JSON with an `isDraining` field. */
const decoder: RecordDecoder = {
  isConfiguration: () => false,
  evacuatedZone: () => undefined,
  configuration: () => Result.err(unreadable),
  target: (id, value) => {
    try {
      const parsed = JSON.parse(value.toString()) as { isDraining: boolean };
      return Result.ok<TargetEntry, ServiceError>({
        id,
        service: 'app',
        address: '10.0.0.1:80',
        availabilityZone: 'a',
        slots: 1,
        isDraining: parsed.isDraining,
        startedAt: undefined,
        coldMs: 0,
      });
    } catch {
      return Result.err(unreadable);
    }
  },
};

describe('TargetTable', () => {
  let clock: ManualClock;
  let records: KeyedTable;
  let targets: TargetTable;
  let hadRecentOutage: boolean;
  let evacuatedZones: Set<string>;
  let offset: number;

  beforeEach(() => {
    clock = new ManualClock();
    records = new KeyedTable('targets');
    hadRecentOutage = false;
    evacuatedZones = new Set();
    offset = 0;
    targets = new TargetTable({
      clock,
      table: records,
      decoder,
      log: new DecisionLog(clock, 'n', () => true),
      evacuations: {
        isEvacuated: (zone) => evacuatedZones.has(zone),
        onChange: new Emitter<ZoneChange>().event,
      },
      hadRecentOutage: () => hadRecentOutage,
    });
  });

  function write(id: string, value: string | undefined): void {
    const bytes = value === undefined ? undefined : Buffer.from(value);
    records.apply([{ key: id, offset: offset++, value: bytes }], offset);
  }

  const ready = '{"isDraining":false}';

  it('returns only targets that are not draining', () => {
    write('t1', ready);
    write('t2', '{"isDraining":true}');
    expect(targets.acceptingTargets('app').map(({ id }) => id)).toEqual(['t1']);
  });

  it('stops accepting requests for a target as soon as it drains', () => {
    write('t1', ready);
    write('t1', '{"isDraining":true}');
    expect(targets.acceptsRequests('t1')).toBe(false);
  });

  it('keeps the other targets when an entry is unreadable', () => {
    write('t1', ready);
    write('t2', 'not an entry');
    expect(targets.acceptingTargets('app')).toHaveLength(1);
  });

  describe('in an evacuated zone', () => {
    beforeEach(() => {
      write('t1', ready);
      evacuatedZones.add('a');
    });

    it('accepts no requests for a target, until the evacuation ends', () => {
      expect(targets.acceptsRequests('t1')).toBe(false);
      expect(targets.acceptingTargets('app')).toEqual([]);
      evacuatedZones.clear();
      expect(targets.acceptsRequests('t1')).toBe(true);
    });

    it('counts no target as leaving, so that what runs on it goes on', () => {
      expect(targets.leavingCount).toBe(0);
      expect(targets.find('t1')?.isDraining).toBe(false);
    });

    it('lists the targets that only the evacuation excludes', () => {
      write('t2', '{"isDraining":true}');
      expect(targets.evacuatedTargets('app').map(({ id }) => id)).toEqual(['t1']);
      expect(targets.evacuatedTargets('other')).toEqual([]);
    });

    it('accepts none for a target that registers meanwhile', () => {
      write('t3', ready);
      expect(targets.acceptsRequests('t3')).toBe(false);
    });
  });

  describe('when an entry is removed', () => {
    it('removes the target immediately without a recent outage', () => {
      write('t1', ready);
      write('t1', undefined);
      expect(targets.acceptingTargets('app')).toEqual([]);
    });

    it('keeps the target for a grace period after an outage, when entries expire', async () => {
      write('t1', ready);
      hadRecentOutage = true;
      write('t1', undefined);
      expect(targets.acceptsRequests('t1')).toBe(true);
      await clock.advance(1_900);
      expect(targets.acceptsRequests('t1')).toBe(false);
    });

    it('keeps the target when its entry returns within the grace period', async () => {
      write('t1', ready);
      hadRecentOutage = true;
      write('t1', undefined);
      await clock.advance(500);
      write('t1', ready);
      await clock.advance(3_000);
      expect(targets.acceptsRequests('t1')).toBe(true);
    });

    it('removes a draining target immediately, even after an outage', () => {
      write('t1', '{"isDraining":true}');
      hadRecentOutage = true;
      write('t1', undefined);
      expect(targets.find('t1')).toBeUndefined();
    });
  });
});
