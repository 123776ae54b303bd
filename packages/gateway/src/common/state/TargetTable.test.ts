import { ErrorKind, ManualClock, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import type { RecordDecoder } from '../services/Services.js';
import { KeyedTable } from './KeyedTable.js';
import { TargetTable } from './TargetTable.js';

const unreadable = new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' });

/** Entries as JSON with the gateway's own names. */
const decoder: RecordDecoder = {
  isConfiguration: () => false,
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
        bornAt: undefined,
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
  let isUnsettled: boolean;
  let offset: number;

  beforeEach(() => {
    clock = new ManualClock();
    records = new KeyedTable('targets');
    isUnsettled = false;
    offset = 0;
    targets = new TargetTable({
      clock,
      table: records,
      decoder,
      log: new DecisionLog(clock, 'n', () => true),
      isUnsettled: () => isUnsettled,
    });
  });

  function write(id: string, value: string | undefined): void {
    const bytes = value === undefined ? undefined : Buffer.from(value);
    records.apply([{ key: id, offset: offset++, value: bytes }], offset);
  }

  const ready = '{"isDraining":false}';

  it('offers ready targets only', () => {
    write('t1', ready);
    write('t2', '{"isDraining":true}');
    expect(targets.ofService('app').map(({ id }) => id)).toEqual(['t1']);
  });

  it('stops offering a target at once when it drains', () => {
    write('t1', ready);
    write('t1', '{"isDraining":true}');
    expect(targets.takesWork('t1')).toBe(false);
  });

  it('keeps the others when an entry is unreadable', () => {
    write('t1', ready);
    write('t2', 'not an entry');
    expect(targets.ofService('app')).toHaveLength(1);
  });

  describe('a removed entry', () => {
    it('ends the target at once in quiet times', () => {
      write('t1', ready);
      write('t1', undefined);
      expect(targets.ofService('app')).toEqual([]);
    });

    it('leaves the target a while after an outage, in which entries lapse', async () => {
      write('t1', ready);
      isUnsettled = true;
      write('t1', undefined);
      expect(targets.takesWork('t1')).toBe(true);
      await clock.advance(1_900);
      expect(targets.takesWork('t1')).toBe(false);
    });

    it('ends nothing when the entry is back in time', async () => {
      write('t1', ready);
      isUnsettled = true;
      write('t1', undefined);
      await clock.advance(500);
      write('t1', ready);
      await clock.advance(3_000);
      expect(targets.takesWork('t1')).toBe(true);
    });

    it('ends a draining target even after an outage', () => {
      write('t1', '{"isDraining":true}');
      isUnsettled = true;
      write('t1', undefined);
      expect(targets.find('t1')).toBeUndefined();
    });
  });
});
