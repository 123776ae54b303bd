import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { KeyedRecord } from '../services/Services.js';
import { KeyedTable } from './KeyedTable.js';

const SEED = 20_261_203;

function record(key: string, offset: number, value?: string): KeyedRecord {
  return { key, offset, value: value === undefined ? undefined : Buffer.from(value) };
}

function stateOf(table: KeyedTable): Record<string, string> {
  const entries = table.records.map(({ key, value }) => [key, value?.toString() ?? '']);
  return Object.fromEntries(entries.sort()) as Record<string, string>;
}

describe('KeyedTable', () => {
  it('keeps the record with the highest offset of each key', () => {
    const table = new KeyedTable('t');
    table.apply([record('a', 5, 'new')], 6);
    table.apply([record('a', 3, 'old')], 4);
    expect(stateOf(table)).toEqual({ a: 'new' });
    expect(table.end).toBe(6);
  });

  it('does not restore a removed key when an older record of it arrives', () => {
    const table = new KeyedTable('t');
    table.apply([record('a', 5)], 6);
    table.apply([record('a', 3, 'old')], 4);
    expect(stateOf(table)).toEqual({});
  });

  it('removes keys missing from a snapshot, unless their records are newer', () => {
    const table = new KeyedTable('t');
    table.apply([record('a', 1, '1'), record('b', 9, '9')], 10);
    table.applySnapshot({ epoch: undefined, records: [record('c', 4, '4')], end: 5 });
    expect(stateOf(table)).toEqual({ b: '9', c: '4' });
  });

  it('fires on the first snapshot even when it is empty', () => {
    const table = new KeyedTable('t');
    let fired = 0;
    table.onChange(() => fired++);
    table.applySnapshot({ epoch: undefined, records: [], end: 0 });
    expect(fired).toBe(1);
    expect(table.hasSnapshot).toBe(true);
  });

  it('converges to the same state for any order and repetition of records', () => {
    const change = fc.record({
      key: fc.constantFrom('a', 'b', 'c'),
      value: fc.option(fc.string({ minLength: 1, maxLength: 3 }), { nil: undefined }),
    });
    const property = fc.property(
      fc.array(change, { maxLength: 30 }),
      fc.array(fc.nat(1_000), { maxLength: 60 }),
      (changes, order) => {
        const records = changes.map(({ key, value }, offset) => record(key, offset, value));
        const inOrder = new KeyedTable('t');
        inOrder.apply(records, records.length);
        const shuffled = new KeyedTable('t');
        for (const at of order) {
          const picked = records[at % Math.max(1, records.length)];
          if (picked !== undefined) {
            shuffled.apply([picked], 0);
          }
        }
        shuffled.apply([...records].reverse(), records.length);
        expect(stateOf(shuffled)).toEqual(stateOf(inOrder));
      },
    );
    fc.assert(property, { seed: SEED });
  });
});
