import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import { KeyedTable } from './KeyedTable.js';
import { ZoneEvacuations } from './ZoneEvacuations.js';

const decoder = {
  isConfiguration: (key: string): boolean => key === 'config',
  evacuatedZone: (key: string): string | undefined =>
    key.startsWith('evacuate/') ? key.slice('evacuate/'.length) || undefined : undefined,
};

describe('ZoneEvacuations', () => {
  let table: KeyedTable;
  let evacuations: ZoneEvacuations;
  let changes: string[];
  let lines: string[];
  let offset: number;

  beforeEach(() => {
    table = new KeyedTable('operator');
    changes = [];
    lines = [];
    offset = 0;
    const log = new DecisionLog(new ManualClock(), 'n', (line) => {
      lines.push(line);
      return true;
    });
    const countTargets = (zone: string): number => (zone === 'a' ? 2 : 0);
    evacuations = new ZoneEvacuations({ table, decoder, log, countTargets });
    evacuations.onChange(({ isEvacuated, zone }) =>
      changes.push(`${isEvacuated ? '+' : '-'}${zone}`),
    );
  });

  function write(...records: readonly (readonly [key: string, value?: string])[]): void {
    const keyed = records.map(([key, value]) => ({
      key,
      offset: offset++,
      value: value === undefined ? undefined : Buffer.from(value),
    }));
    table.apply(keyed, offset);
  }

  it('follows the last record of a zone, whatever its value', () => {
    write(['evacuate/a', '{}']);
    write(['evacuate/b', 'not an object']);
    expect(evacuations.zones).toEqual(['a', 'b']);
    write(['evacuate/a']);
    expect([evacuations.isEvacuated('a'), evacuations.isEvacuated('b')]).toEqual([false, true]);
    expect(changes).toEqual(['+a', '+b', '-a']);
  });

  it('takes the last record of those that arrive together', () => {
    write(['evacuate/a', '{}']);
    write(['evacuate/a'], ['evacuate/a', '{}']);
    expect(evacuations.zones).toEqual(['a']);
    expect(changes).toEqual(['+a']);
  });

  it('logs the same record again, and changes nothing', () => {
    write(['evacuate/a', '{}']);
    write(['evacuate/a', '{}']);
    expect(changes).toEqual(['+a']);
    expect(lines.at(-1)).toContain('zone.unchanged');
  });

  it('logs a zone that no target names', () => {
    write(['evacuate/x', '{}']);
    expect(lines.at(-1)).toMatch(/zone\.evacuated.*"targets":0/);
  });

  it('logs a key that names no zone, shortened, and changes nothing', () => {
    write(['evacuate/', '{}'], [`other-${'x'.repeat(5_000)}`, '{}'], ['config', '1']);
    expect(evacuations.zones).toEqual([]);
    expect(lines.filter((line) => line.includes('record.ignored'))).toHaveLength(2);
    expect(Math.max(...lines.map((line) => line.length))).toBeLessThan(500);
  });
});
