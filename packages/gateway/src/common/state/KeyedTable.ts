/**
 * Local copy of one keyed topic: the newest record of every key. Records arrive from the platform
 * and from peers, in any order and possibly repeated; per key the record with the highest offset of
 * an epoch wins, so the table never reverts to an older state. A removed key leaves a tombstone, so
 * that the removal also reaches peers that still hold the key.
 *
 * When the platform restores its log from an older copy, a new epoch begins, in which the later
 * offsets are assigned again. Offsets of different epochs are not compared: a record of the later
 * epoch replaces one of an earlier epoch, unless the succession of the topic says that the earlier
 * one holds newer state, which the platform has lost and which is expected to be written again.
 */
import { createHash } from 'node:crypto';
import { DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type { KeyedRecord, KeyedSnapshot } from '../services/Services.js';

/** When there are more, the oldest tombstone is discarded. */
const MAX_TOMBSTONES = 500;
const DIGEST_LENGTH = 8;
/** Epoch of records for which the platform or the peer states none. */
export const UNSTATED_EPOCH = 0;

/** A record with the epoch of the log that it was read from. */
export interface EpochRecord extends KeyedRecord {
  readonly epoch: number;
}

/** Decides which records of an earlier epoch stay valid in a later one. */
export interface RecordSuccession {
  /**
   * Whether `earlier` holds newer state than `later`, the record of the key that was written in a
   * later epoch; `later` is undefined for a removal.
   */
  outlasts(key: string, earlier: Buffer, later: Buffer | undefined): boolean;
  /** Whether `earlier` stays valid if a later epoch has no record of the key, nor its removal. */
  outlastsLoss(key: string, earlier: Buffer): boolean;
}

const LATER_EPOCH_WINS: RecordSuccession = { outlasts: () => false, outlastsLoss: () => false };

/** The begin of an epoch. */
export interface EpochStart {
  readonly epoch: number;
  readonly before: number;
  /** End offset of the table in the epoch before. */
  readonly endBefore: number;
  /** Whether the table had a snapshot of an epoch before, so that the log was restored. */
  readonly isRestore: boolean;
}

/** Merges records and snapshots of one topic and notifies listeners of changes. */
export class KeyedTable extends DisposableOwner {
  private readonly _records = new Map<string, EpochRecord>();
  private readonly _tombstones = new Map<string, EpochRecord>();
  /** By key: the record of this epoch that one of an earlier epoch outlasts. */
  private readonly _outlasted = new Map<string, EpochRecord>();
  /** By key: the removal of this epoch that ended a record which had outlasted its loss. */
  private readonly _endings = new Map<string, EpochRecord>();
  private _epoch = UNSTATED_EPOCH;
  private _end = 0;
  /** Records of this epoch from this offset on were written after the restore. */
  private _restoredEnd = 0;
  private _holdsRemovals = true;
  private _hasSnapshot = false;
  private readonly _onEpoch = this.register(new Emitter<EpochStart>());
  private readonly _onChange = this.register(new Emitter<readonly EpochRecord[]>());
  /** Fires when an epoch begins, before its records are applied. */
  public readonly onEpoch = this._onEpoch.event;
  /** Fires with the records that changed the table, and on the first snapshot even if empty. */
  public readonly onChange = this._onChange.event;

  constructor(
    public readonly name: string,
    private readonly _succession = LATER_EPOCH_WINS,
  ) {
    super();
  }

  /** Epoch of the log that the end offset belongs to. */
  public get epoch(): number {
    return this._epoch;
  }

  /** End offset: the table reflects every record of the epoch before it. */
  public get end(): number {
    return this._end;
  }

  /** Whether a snapshot has been applied. */
  public get hasSnapshot(): boolean {
    return this._hasSnapshot;
  }

  public get records(): readonly EpochRecord[] {
    return [...this._records.values()];
  }

  /**
   * Records and tombstones of earlier epochs that are still valid, and the removals of this epoch
   * that ended such records: a peer that has read a snapshot since may have missed them.
   */
  public get earlierRecords(): readonly EpochRecord[] {
    const tombstones = this._holdsRemovals ? [...this._tombstones.values()] : [];
    const earlier = [...this._records.values(), ...tombstones];
    return [...earlier.filter(({ epoch }) => epoch < this._epoch), ...this._endings.values()];
  }

  /** Differs if the records of earlier epochs differ; empty if there are none. */
  public get earlierDigest(): string {
    const positions = this.earlierRecords.map(
      ({ epoch, key, offset }) => `${key} ${epoch} ${offset}`,
    );
    if (positions.length === 0) {
      return '';
    }
    const hash = createHash('sha256').update(positions.sort().join('\n'));
    return hash.digest('base64url').slice(0, DIGEST_LENGTH);
  }

  public find(key: string): KeyedRecord | undefined {
    return this._records.get(key);
  }

  /**
   * Merges records of the epoch; with them, the table reflects every record before `end`. Records
   * of another epoch are ignored.
   */
  public apply(records: readonly KeyedRecord[], end: number, epoch = this._epoch): void {
    if (epoch !== this._epoch) {
      return;
    }
    const changed = this._mergeAll(records, epoch);
    this._end = Math.max(this._end, end);
    this._fire(changed);
  }

  /** Merges records of earlier epochs, and removals of this one that ended some. */
  public applyEarlier(records: readonly EpochRecord[]): void {
    const earlier = records.filter((record) => record.epoch < this._epoch && this._merge(record));
    const endings = records.filter((record) => record.epoch === this._epoch);
    this._fire([...earlier, ...endings.filter((record) => this._mergeEnding(record))]);
  }

  /**
   * Merges a complete snapshot: keys missing from it were removed before its end offset, or lost if
   * it begins an epoch. Returns false for a snapshot of an earlier epoch, which is ignored.
   */
  public applySnapshot({ end, epoch = this._epoch, records }: KeyedSnapshot): boolean {
    if (epoch < this._epoch) {
      return false;
    }
    const present = new Map(records.map((record) => [record.key, record]));
    if (epoch > this._epoch) {
      this._startEpoch(epoch, end, present);
    }
    // The exact offset of a removal is unknown; the last one before the end is the latest possible.
    const removed = [...this._records.values()]
      .filter((record) => !present.has(record.key) && this._isRemovedBy(record, epoch, end))
      .map(({ key }): KeyedRecord => ({ key, offset: end - 1, value: undefined }));
    const changed = this._mergeAll([...records, ...removed], epoch);
    this._end = Math.max(this._end, end);
    const isFirst = !this._hasSnapshot;
    this._hasSnapshot = true;
    this._fire(changed, isFirst);
    return true;
  }

  /** Records and tombstones of the epoch from an offset on, to send to a peer. */
  public recordsFrom(offset: number): readonly KeyedRecord[] {
    return [
      ...this._records.values(),
      ...this._outlasted.values(),
      ...this._tombstones.values(),
    ].filter((record) => record.epoch === this._epoch && record.offset >= offset);
  }

  /**
   * Accepts records of the epoch whose keys were removed in an earlier one: by now the removals
   * that were lost are written again.
   */
  public endRemovalHold(): void {
    this._holdsRemovals = false;
    this._fire([...this._outlasted.values()].filter((record) => this._merge(record)));
  }

  /** Whether a snapshot that lacks the key of a record removes the record. */
  private _isRemovedBy(record: EpochRecord, epoch: number, end: number): boolean {
    return record.epoch < epoch ? !this._outlastsLoss(record) : record.offset < end;
  }

  private _outlastsLoss(record: EpochRecord | undefined): boolean {
    const { key = '', value } = record ?? {};
    return value !== undefined && this._succession.outlastsLoss(key, value);
  }

  private _startEpoch(epoch: number, end: number, present: ReadonlyMap<string, KeyedRecord>): void {
    const start = {
      epoch,
      before: this._epoch,
      endBefore: this._end,
      isRestore: this._hasSnapshot,
    };
    this._epoch = epoch;
    this._end = end;
    this._restoredEnd = end;
    this._holdsRemovals = true;
    this._outlasted.clear();
    this._endings.clear();
    for (const key of [...this._tombstones.keys()].filter((each) => !present.has(each))) {
      this._tombstones.delete(key);
    }
    this._onEpoch.fire(start);
  }

  /** Merges records of the epoch; returns those that were a change. */
  private _mergeAll(records: readonly KeyedRecord[], epoch: number): readonly EpochRecord[] {
    return records.map((record) => ({ ...record, epoch })).filter((record) => this._merge(record));
  }

  /** Stores a record unless a newer one of its key is present. Returns whether it was a change. */
  private _merge(record: EpochRecord): boolean {
    const { key, value } = record;
    const stored = this._records.get(key) ?? this._tombstones.get(key);
    if (!this._isNewer(record, stored)) {
      this._keepOutlasted(record, stored);
      return false;
    }
    if (record.epoch === this._epoch) {
      this._outlasted.delete(key);
    } else if (stored?.epoch === this._epoch) {
      this._outlasted.set(key, stored);
    }
    if (this._isEnding(record, stored)) {
      this._endings.set(key, record);
    } else {
      this._endings.delete(key);
    }
    if (value === undefined) {
      const existed = this._records.delete(key);
      this._addTombstone(record);
      return existed;
    }
    this._tombstones.delete(key);
    this._records.set(key, record);
    return true;
  }

  /** Whether a record is the removal, in this epoch, of one that had outlasted its loss. */
  private _isEnding({ epoch, value }: EpochRecord, stored: EpochRecord | undefined): boolean {
    const isRemoval = value === undefined && epoch === this._epoch;
    return isRemoval && stored?.epoch !== epoch && this._outlastsLoss(stored);
  }

  /** Merges a removal that ended an earlier record at a peer. Returns whether it was a change. */
  private _mergeEnding(record: EpochRecord): boolean {
    const { key, offset, value } = record;
    const isChange = value === undefined && this._merge(record);
    const isRemoved = (this._tombstones.get(key)?.offset ?? -1) >= offset;
    // Kept as well where nothing ended, so that the digests of the peers become equal.
    if (value === undefined && isRemoved && offset > (this._endings.get(key)?.offset ?? -1)) {
      this._endings.set(key, record);
    }
    return isChange;
  }

  /** Keeps a record of this epoch that one of an earlier epoch outlasts, for when that one ends. */
  private _keepOutlasted(record: EpochRecord, stored: EpochRecord | undefined): void {
    const isOutlasted =
      record.epoch === this._epoch && stored !== undefined && stored.epoch < this._epoch;
    if (isOutlasted && record.offset > (this._outlasted.get(record.key)?.offset ?? -1)) {
      this._outlasted.set(record.key, record);
    }
  }

  private _isNewer(record: EpochRecord, stored: EpochRecord | undefined): boolean {
    if (stored === undefined) {
      return record.epoch === this._epoch || this._outlastsLoss(record);
    }
    if (record.epoch === stored.epoch) {
      return record.offset > stored.offset;
    }
    return record.epoch > stored.epoch
      ? !this._outlasts(stored, record)
      : this._outlasts(record, stored);
  }

  private _outlasts(earlier: EpochRecord, later: EpochRecord): boolean {
    if (earlier.value !== undefined) {
      return this._succession.outlasts(earlier.key, earlier.value, later.value);
    }
    // A record with a lower offset than the removal may be of the copy, which lacks the removal.
    const isWrittenSince = later.offset >= Math.min(earlier.offset, this._restoredEnd);
    return later.value !== undefined && this._holdsRemovals && !isWrittenSince;
  }

  private _addTombstone(record: EpochRecord): void {
    this._tombstones.delete(record.key);
    this._tombstones.set(record.key, record);
    const [oldest] = this._tombstones.keys();
    if (this._tombstones.size > MAX_TOMBSTONES && oldest !== undefined) {
      this._tombstones.delete(oldest);
    }
  }

  private _fire(changed: readonly EpochRecord[], isForced = false): void {
    if (changed.length > 0 || isForced) {
      this._onChange.fire(changed);
    }
  }
}
