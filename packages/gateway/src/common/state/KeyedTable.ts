/**
 * Local copy of one keyed topic: the newest record of every key. Records arrive from the platform
 * and from peers, in any order and possibly repeated; per key the record with the highest offset
 * wins, so the table never reverts to an older state. A removed key leaves a tombstone, so that the
 * removal also reaches peers that still hold the key.
 */
import { DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type { KeyedRecord, KeyedSnapshot } from '../services/Services.js';

/** When there are more, the oldest tombstone is discarded. */
const MAX_TOMBSTONES = 500;

/** Merges records and snapshots of one topic by offset and notifies listeners of changes. */
export class KeyedTable extends DisposableOwner {
  private readonly _records = new Map<string, KeyedRecord>();
  private readonly _tombstones = new Map<string, number>();
  private _end = 0;
  private _hasSnapshot = false;
  private readonly _onChange = this.register(new Emitter<readonly KeyedRecord[]>());
  /** Fires with the records that changed the table, and on the first snapshot even if empty. */
  public readonly onChange = this._onChange.event;

  constructor(public readonly name: string) {
    super();
  }

  /** End offset: the table reflects every record before it. */
  public get end(): number {
    return this._end;
  }

  /** Whether a snapshot has been applied. */
  public get hasSnapshot(): boolean {
    return this._hasSnapshot;
  }

  public get records(): readonly KeyedRecord[] {
    return [...this._records.values()];
  }

  public find(key: string): KeyedRecord | undefined {
    return this._records.get(key);
  }

  /** Merges records; with them, the table reflects every record before `end`. */
  public apply(records: readonly KeyedRecord[], end: number): void {
    const changed = records.filter((record) => this._merge(record));
    this._end = Math.max(this._end, end);
    this._fire(changed);
  }

  /** Merges a complete snapshot: keys missing from it were removed before its end offset. */
  public applySnapshot(snapshot: KeyedSnapshot): void {
    const present = new Set(snapshot.records.map(({ key }) => key));
    // The exact offset of a removal is unknown; the last one before the end is the latest possible.
    const removed = this.records
      .filter(({ key, offset }) => !present.has(key) && offset < snapshot.end)
      .map(({ key }): KeyedRecord => ({ key, offset: snapshot.end - 1, value: undefined }));
    const changed = [...snapshot.records, ...removed].filter((record) => this._merge(record));
    this._end = Math.max(this._end, snapshot.end);
    const isFirst = !this._hasSnapshot;
    this._hasSnapshot = true;
    this._fire(changed, isFirst);
  }

  /** Records and tombstones from an offset on, to send to a peer. */
  public recordsFrom(offset: number): readonly KeyedRecord[] {
    const tombstones = [...this._tombstones].map(([key, at]): KeyedRecord => ({
      key,
      offset: at,
      value: undefined,
    }));
    return [...this._records.values(), ...tombstones].filter((record) => record.offset >= offset);
  }

  /** Stores a record unless a newer one of its key is present. Returns whether it was a change. */
  private _merge(record: KeyedRecord): boolean {
    const { key, offset, value } = record;
    const storedOffset = Math.max(
      this._records.get(key)?.offset ?? -1,
      this._tombstones.get(key) ?? -1,
    );
    if (offset <= storedOffset) {
      return false;
    }
    if (value === undefined) {
      const existed = this._records.delete(key);
      this._addTombstone(key, offset);
      return existed;
    }
    this._tombstones.delete(key);
    this._records.set(key, record);
    return true;
  }

  private _addTombstone(key: string, offset: number): void {
    this._tombstones.delete(key);
    this._tombstones.set(key, offset);
    const [oldest] = this._tombstones.keys();
    if (this._tombstones.size > MAX_TOMBSTONES && oldest !== undefined) {
      this._tombstones.delete(oldest);
    }
  }

  private _fire(changed: readonly KeyedRecord[], isForced = false): void {
    if (changed.length > 0 || isForced) {
      this._onChange.fire(changed);
    }
  }
}
