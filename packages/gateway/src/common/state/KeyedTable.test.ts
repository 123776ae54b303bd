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

  describe('when the log was restored from an older copy', () => {
    it('takes records of the new epoch with lower offsets', () => {
      const table = new KeyedTable('t');
      table.applySnapshot({ epoch: 1, records: [record('a', 8, 'old')], end: 9 });
      table.applySnapshot({ epoch: 2, records: [record('a', 2, 'copy')], end: 3 });
      table.apply([record('a', 3, 'new')], 4);
      expect(stateOf(table)).toEqual({ a: 'new' });
      expect(table.end).toBe(4);
    });

    it('ignores records and snapshots of the epoch before', () => {
      const table = new KeyedTable('t');
      table.applySnapshot({ epoch: 2, records: [record('a', 2, 'new')], end: 3 });
      expect(table.applySnapshot({ epoch: 1, records: [record('a', 8, 'old')], end: 9 })).toBe(
        false,
      );
      table.apply([record('a', 9, 'old')], 10, 1);
      expect(stateOf(table)).toEqual({ a: 'new' });
      expect(table.end).toBe(3);
    });

    it('keeps a record that outlasts the epoch until it is written again', () => {
      const outlasts = (_key: string, earlier: Buffer, later: Buffer | undefined): boolean =>
        earlier.toString() > (later?.toString() ?? '');
      const table = new KeyedTable('t', { outlasts, outlastsLoss: () => true });
      table.applySnapshot({ epoch: 1, records: [record('a', 8, '5')], end: 9 });
      table.applySnapshot({ epoch: 2, records: [record('a', 2, '3')], end: 3 });
      expect(stateOf(table)).toEqual({ a: '5' });
      expect(table.earlierRecords).toHaveLength(1);
      table.apply([record('a', 3, '5')], 4);
      expect(table.earlierDigest).toBe('');
      table.apply([record('a', 4, '6')], 5);
      expect(stateOf(table)).toEqual({ a: '6' });
    });

    it('keeps a record that outlasts its loss until its removal is written', () => {
      const table = new KeyedTable('t', { outlasts: () => false, outlastsLoss: () => true });
      table.applySnapshot({ epoch: 1, records: [record('a', 8, '5')], end: 9 });
      table.applySnapshot({ epoch: 2, records: [], end: 3 });
      expect(stateOf(table)).toEqual({ a: '5' });
      table.apply([record('a', 3)], 4);
      expect(stateOf(table)).toEqual({});
    });

    it('tells a peer that read a snapshot since of the removal, and the digests become equal', () => {
      const succession = { outlasts: () => false, outlastsLoss: () => true };
      const [saw, missed, started] = ['saw', 'missed', 'started'].map(
        () => new KeyedTable('t', succession),
      ) as [KeyedTable, KeyedTable, KeyedTable];
      for (const table of [saw, missed]) {
        table.applySnapshot({ epoch: 1, records: [record('a', 8, '5')], end: 9 });
      }
      saw.applySnapshot({ epoch: 2, records: [], end: 3 });
      saw.apply([record('a', 3)], 4);
      for (const table of [missed, started]) {
        table.applySnapshot({ epoch: 2, records: [], end: 4 });
      }
      saw.applyEarlier(missed.earlierRecords);
      started.applyEarlier(missed.earlierRecords);
      missed.applyEarlier(saw.earlierRecords);
      started.applyEarlier(saw.earlierRecords);
      expect([saw, missed, started].map(stateOf)).toEqual([{}, {}, {}]);
      expect(new Set([saw, missed, started].map((each) => each.earlierDigest)).size).toBe(1);
      saw.apply([record('a', 4, 'again')], 5);
      expect(saw.earlierDigest).toBe('');
    });

    it('sends a removal of the epoch before once', () => {
      const table = new KeyedTable('t', { outlasts: () => false, outlastsLoss: () => true });
      table.applySnapshot({ epoch: 1, records: [record('a', 8, '5')], end: 9 });
      table.applySnapshot({ epoch: 2, records: [], end: 3 });
      table.applyEarlier([{ ...record('a', 9), epoch: 1 }]);
      expect(table.earlierRecords).toEqual([{ ...record('a', 9), epoch: 1 }]);
    });

    it('sends a peer of the epoch before a table that leads it to the same state', () => {
      const table = new KeyedTable('t');
      table.applySnapshot({ epoch: 2, records: [record('a', 2, 'new')], end: 3 });
      const peer = new KeyedTable('t');
      peer.applySnapshot({
        epoch: 1,
        records: [record('a', 8, 'old'), record('b', 9, 'old')],
        end: 10,
      });
      peer.applySnapshot({ epoch: 2, records: table.recordsFrom(0), end: table.end });
      expect(stateOf(peer)).toEqual({ a: 'new' });
    });

    it('ends with the records of the new log for any change before and after', () => {
      const change = fc.record({
        key: fc.constantFrom('a', 'b', 'c'),
        value: fc.option(fc.string({ minLength: 1, maxLength: 3 }), { nil: undefined }),
      });
      const property = fc.property(
        fc.array(change, { maxLength: 20 }),
        fc.nat(20),
        fc.array(change, { maxLength: 20 }),
        fc.nat(20),
        (before, lost, after, seen) => {
          const old = before.map(({ key, value }, offset) => record(key, offset, value));
          const copied = old.slice(0, Math.max(0, old.length - lost));
          const written = after.map(({ key, value }, index) =>
            record(key, copied.length + index, value),
          );
          const log = [...copied, ...written];
          const end = Math.min(log.length, copied.length + seen);
          const newest = new Map(log.slice(0, end).map((each) => [each.key, each]));
          const table = new KeyedTable('t');
          table.applySnapshot({ epoch: 1, records: [], end: 0 });
          table.apply(old, old.length);
          table.applySnapshot({
            epoch: 2,
            records: [...newest.values()].filter(({ value }) => value !== undefined),
            end,
          });
          table.apply(log.slice(end), log.length);
          table.endRemovalHold();
          const expected = new KeyedTable('t');
          expected.apply(log, log.length);
          expect(stateOf(table)).toEqual(stateOf(expected));
        },
      );
      fc.assert(property, { seed: SEED });
    });
  });
});
