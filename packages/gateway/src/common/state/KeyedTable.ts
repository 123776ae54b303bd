/**
 * The newest record of every key of one topic, as far as this node knows it. Records reach it from
 * the platform and from peers, in any order and more than once; the offset of a record decides, so
 * the table never goes back. Removed keys leave a tombstone for peers that still hold them.
 */
import { DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type { KeyedRecord, KeyedSnapshot } from '../services/Services.js';

/** Tombstones kept; the oldest go first. */
const MAX_TOMBSTONES = 500;

/** A table of one topic. */
export class KeyedTable extends DisposableOwner {
  private readonly _records = new Map<string, KeyedRecord>();
  private readonly _tombstones = new Map<string, number>();
  private _end = 0;
  private _isKnown = false;
  private readonly _onChange = this.register(new Emitter<readonly KeyedRecord[]>());
  /** Fires with the records that changed something. */
  public readonly onChange = this._onChange.event;

  constructor(public readonly name: string) {
    super();
  }

  /** Offset up to which every record is known. */
  public get end(): number {
    return this._end;
  }

  /** Whether a snapshot was ever taken in. */
  public get isKnown(): boolean {
    return this._isKnown;
  }

  public get records(): readonly KeyedRecord[] {
    return [...this._records.values()];
  }

  public find(key: string): KeyedRecord | undefined {
    return this._records.get(key);
  }

  /** Takes in records and that all before `end` are known. */
  public apply(records: readonly KeyedRecord[], end: number): void {
    const changed = records.filter((record) => this._merge(record));
    this._end = Math.max(this._end, end);
    this._fire(changed);
  }

  /** Takes in a whole state: keys that it lacks were removed before its end. */
  public replace(snapshot: KeyedSnapshot): void {
    const present = new Set(snapshot.records.map(({ key }) => key));
    const gone = this.records
      .filter(({ key, offset }) => !present.has(key) && offset < snapshot.end)
      .map(({ key }): KeyedRecord => ({ key, offset: snapshot.end - 1, value: undefined }));
    const changed = [...snapshot.records, ...gone].filter((record) => this._merge(record));
    this._end = Math.max(this._end, snapshot.end);
    const isFirst = !this._isKnown;
    this._isKnown = true;
    this._fire(changed, isFirst);
  }

  /** Records and tombstones from an offset on, for a peer. */
  public since(offset: number): readonly KeyedRecord[] {
    const tombstones = [...this._tombstones].map(([key, at]): KeyedRecord => ({
      key,
      offset: at,
      value: undefined,
    }));
    return [...this._records.values(), ...tombstones].filter((record) => record.offset >= offset);
  }

  private _merge(record: KeyedRecord): boolean {
    const { key, offset, value } = record;
    const known = Math.max(this._records.get(key)?.offset ?? -1, this._tombstones.get(key) ?? -1);
    if (offset <= known) {
      return false;
    }
    if (value === undefined) {
      const existed = this._records.delete(key);
      this._bury(key, offset);
      return existed;
    }
    this._tombstones.delete(key);
    this._records.set(key, record);
    return true;
  }

  private _bury(key: string, offset: number): void {
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
