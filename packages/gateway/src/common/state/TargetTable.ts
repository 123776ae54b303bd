/**
 * The targets that take requests. Entries are hints from another writer: an unreadable one names no
 * target, and the others hold. A draining target gets nothing new at once. One whose entry is gone
 * gets nothing new either, except right after an outage of the platform, during which entries lapse
 * though their targets live.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type { TargetEntry } from '../Messages.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedRecord, RecordDecoder } from '../services/Services.js';
import type { KeyedTable } from './KeyedTable.js';

/** Lapsed entries of live targets are back about two seconds after an outage. */
const LAPSE_GRACE_MS = 1_800;

/** What the table needs. */
export interface TargetTableOptions {
  readonly clock: Clock;
  readonly table: KeyedTable;
  readonly decoder: RecordDecoder;
  readonly log: DecisionLog;
  /** Whether an outage of the platform was seen lately. */
  readonly isUnsettled: () => boolean;
}

/** The targets as this node knows them. */
export class TargetTable extends DisposableOwner {
  private readonly _entries = new Map<string, TargetEntry>();
  private readonly _lapsed = new Map<string, number>();
  private readonly _onChange = this.register(new Emitter<TargetEntry>());
  /** Fires with an entry that was added, changed or removed. */
  public readonly onChange = this._onChange.event;

  constructor(private readonly _options: TargetTableOptions) {
    super();
    this.register(
      _options.table.onChange((records) => {
        for (const record of records) {
          this._take(record);
        }
      }),
    );
  }

  public find(id: string): TargetEntry | undefined {
    return this._entries.get(id);
  }

  /** Targets of a service that take new requests. */
  public ofService(service: string): readonly TargetEntry[] {
    return [...this._entries.values()].filter(
      (entry) => entry.service === service && this.takesWork(entry.id),
    );
  }

  /** Whether a target takes new requests. */
  public takesWork(id: string): boolean {
    const entry = this._entries.get(id);
    return entry !== undefined && !entry.isDraining && !this._isGone(id);
  }

  private _isGone(id: string): boolean {
    const until = this._lapsed.get(id);
    return until !== undefined && this._options.clock.now() >= until;
  }

  private _take(record: KeyedRecord): void {
    if (record.value === undefined) {
      this._remove(record.key);
    } else {
      this._store(record.key, record.value, record.offset);
    }
  }

  private _remove(id: string): void {
    const { clock, isUnsettled, log } = this._options;
    const entry = this._entries.get(id);
    if (entry === undefined) {
      return;
    }
    const mayReturn = isUnsettled() && !entry.isDraining;
    log.note('target.gone', { target: id, service: entry.service, mayReturn });
    if (mayReturn) {
      this._lapsed.set(id, clock.now() + LAPSE_GRACE_MS);
      this._dropLater(id);
      return;
    }
    this._drop(entry);
  }

  private _dropLater(id: string): void {
    const timer = this.register(
      this._options.clock.schedule(LAPSE_GRACE_MS, () => {
        this.unregister(timer);
        const entry = this._entries.get(id);
        if (entry !== undefined && this._isGone(id)) {
          this._drop(entry);
        }
      }),
    );
  }

  private _drop(entry: TargetEntry): void {
    this._entries.delete(entry.id);
    this._lapsed.delete(entry.id);
    this._onChange.fire({ ...entry, isDraining: true });
  }

  private _store(id: string, value: Buffer, offset: number): void {
    const { decoder, log } = this._options;
    const decoded = decoder.target(id, value);
    if (decoded.isErr) {
      log.note('target.unreadable', { target: id, offset, cause: decoded.error.message });
      return;
    }
    const entry = decoded.value;
    const known = this._entries.get(id);
    this._lapsed.delete(id);
    this._entries.set(id, entry);
    if (known === undefined || !isSame(known, entry)) {
      const { address, bornAt, isDraining, service } = entry;
      log.note('target.known', { target: id, service, address, isDraining, bornAt, offset });
      this._onChange.fire(entry);
    }
  }
}

function isSame(a: TargetEntry, b: TargetEntry): boolean {
  return (
    a.address === b.address &&
    a.service === b.service &&
    a.isDraining === b.isDraining &&
    a.bornAt === b.bornAt &&
    a.slots === b.slots
  );
}
