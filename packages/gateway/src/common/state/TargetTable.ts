/**
 * The targets that accept requests. The targets' entries are written by another system and may be
 * malformed: an unreadable entry is skipped, so its target keeps the previous one, if any, and the
 * other targets stay in use. A target that starts to drain, or that states in an answer that it is
 * leaving, gets no new requests from then on, as long as the same instance has its id.
 * Neither does one whose entry was removed, except shortly after an outage of the platform: during
 * an outage the entries of live targets expire. Nor does a target in an evacuated zone, which is
 * neither draining nor leaving: what runs on it goes on, and it is used again afterwards.
 */
import { type Clock, DisposableOwner, Emitter, type Event } from '@tanagerdyke/kernel';
import type { TargetEntry } from '../Messages.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { RecordDecoder } from '../services/Services.js';
import type { EpochRecord, KeyedTable } from './KeyedTable.js';
import type { ZoneChange, ZoneEvacuations } from './ZoneEvacuations.js';

/**
 * How long a target whose entry was removed after an outage stays in use. Live targets renew their
 * expired entries about two seconds after the outage.
 */
const REMOVAL_GRACE_MS = 1_800;

/** When there are more instances that are leaving, the oldest one is discarded. */
const MAX_LEAVING = 1_000;

/** Identifies one instance of a target, of those that had its id. */
export type TargetInstance = Pick<TargetEntry, 'id' | 'startedAt'>;

/** An entry as it was just read, whether or not it differs from the one before. */
export interface ReadEntry {
  readonly entry: TargetEntry;
  /** Whether the node read it at its start, with the first snapshot or before it. */
  readonly isInitial: boolean;
}

export interface TargetTableOptions {
  readonly clock: Clock;
  readonly table: KeyedTable;
  readonly decoder: RecordDecoder;
  readonly log: DecisionLog;
  readonly evacuations: Pick<ZoneEvacuations, 'isEvacuated' | 'onChange'>;
  /** Whether this node or a peer recently observed an outage of the platform. */
  readonly hadRecentOutage: () => boolean;
}

/** Decodes the records of the targets' topic and decides which targets accept requests. */
export class TargetTable extends DisposableOwner {
  private readonly _entries = new Map<string, TargetEntry>();
  /** By target: when it is removed unless its entry returns. */
  private readonly _removalDueAt = new Map<string, number>();
  /** By target: start time of the instance that stated in an answer that it is leaving. */
  private readonly _leaving = new Map<string, number | undefined>();
  private readonly _onLeaving = this.register(new Emitter<TargetInstance>());
  /** Fires when an instance first states to this node that it is leaving. */
  public readonly onLeaving = this._onLeaving.event;
  private readonly _onChange = this.register(new Emitter<TargetEntry>());
  /** Fires with an entry that was added, changed or removed; a removed one is marked draining. */
  public readonly onChange = this._onChange.event;

  private readonly _onRead = this.register(new Emitter<ReadEntry>());
  /** Fires with each readable entry, before `onChange`. */
  public readonly onRead = this._onRead.event;
  private _isLoaded = false;

  constructor(private readonly _options: TargetTableOptions) {
    super();
    this.register(
      _options.table.onChange((records) => {
        for (const record of records) {
          this._applyRecord(record);
        }
        this._isLoaded = _options.table.hasSnapshot;
      }),
    );
  }

  public find(id: string): TargetEntry | undefined {
    return this._entries.get(id);
  }

  /** The target that was last registered with an address. */
  public findByAddress(address: string): TargetEntry | undefined {
    return [...this._entries.values()].findLast((entry) => entry.address === address);
  }

  /** All targets of a service, with those that accept no new requests. */
  public targetsOf(service: string): readonly TargetEntry[] {
    return [...this._entries.values()].filter((entry) => entry.service === service);
  }

  /** Targets of a service that accept new requests. */
  public acceptingTargets(service: string): readonly TargetEntry[] {
    return [...this._entries.values()].filter(
      (entry) => entry.service === service && this.acceptsRequests(entry.id),
    );
  }

  /** Whether a target accepts new requests. */
  public acceptsRequests(id: string): boolean {
    const entry = this._entries.get(id);
    return entry !== undefined && this._isServing(entry) && !this._isEvacuated(entry);
  }

  /** Targets of a service that would accept new requests if their zones were not evacuated. */
  public evacuatedTargets(service: string): readonly TargetEntry[] {
    return [...this._entries.values()].filter(
      (entry) => entry.service === service && this._isEvacuated(entry) && this._isServing(entry),
    );
  }

  /** All targets in a zone, in whatever state. */
  public targetsInZone(zone: string): readonly TargetEntry[] {
    return [...this._entries.values()].filter(({ availabilityZone }) => availabilityZone === zone);
  }

  /** Fires when the targets of a zone stop or resume accepting requests because of an evacuation. */
  public get onEvacuation(): Event<ZoneChange> {
    return this._options.evacuations.onChange;
  }

  /** Registered instances that stated that they are leaving. */
  public get leaving(): readonly TargetInstance[] {
    return [...this._leaving]
      .map(([id, startedAt]) => ({ id, startedAt }))
      .filter(({ id, startedAt }) => this._entries.get(id)?.startedAt === startedAt);
  }

  /** Number of targets that are draining or leaving. */
  public get leavingCount(): number {
    return [...this._entries.values()].filter((entry) => entry.isDraining || this._isLeaving(entry))
      .length;
  }

  /** Records that a target stated to this node that it is leaving. */
  public recordLeaving(instance: TargetInstance): void {
    if (this.applyLeaving(instance)) {
      this._onLeaving.fire(instance);
    }
  }

  /** Records that an instance is leaving. Returns whether that was unknown. */
  public applyLeaving(instance: TargetInstance): boolean {
    const { id, startedAt } = instance;
    if (this._isLeaving(instance)) {
      return false;
    }
    this._leaving.delete(id);
    this._leaving.set(id, startedAt);
    const [oldest] = this._leaving.keys();
    if (this._leaving.size > MAX_LEAVING && oldest !== undefined) {
      this._leaving.delete(oldest);
    }
    const isDraining = this._entries.get(id)?.isDraining;
    this._options.log.write('target.leaving', { target: id, startedAt, isDraining });
    return true;
  }

  private _isServing(entry: TargetEntry): boolean {
    return !entry.isDraining && !this._isLeaving(entry) && !this._isRemovalDue(entry.id);
  }

  private _isEvacuated({ availabilityZone }: TargetEntry): boolean {
    return this._options.evacuations.isEvacuated(availabilityZone);
  }

  private _isLeaving({ id, startedAt }: TargetInstance): boolean {
    return this._leaving.has(id) && this._leaving.get(id) === startedAt;
  }

  private _isRemovalDue(id: string): boolean {
    const dueAt = this._removalDueAt.get(id);
    return dueAt !== undefined && this._options.clock.now() >= dueAt;
  }

  private _applyRecord(record: EpochRecord): void {
    if (record.value === undefined) {
      this._remove(record);
    } else {
      this._store(record.key, record.value, record.offset);
    }
  }

  private _remove({ epoch, key: id }: EpochRecord): void {
    const { clock, hadRecentOutage, log, table } = this._options;
    const entry = this._entries.get(id);
    if (entry === undefined) {
      return;
    }
    // A removal of an earlier epoch preceded the outage, so it does not follow from it.
    const mayReturn = hadRecentOutage() && !entry.isDraining && epoch === table.epoch;
    log.write('target.gone', { target: id, service: entry.service, mayReturn });
    if (mayReturn) {
      this._removalDueAt.set(id, clock.now() + REMOVAL_GRACE_MS);
      this._evictLater(id);
      return;
    }
    this._evict(entry);
  }

  private _evictLater(id: string): void {
    const timer = this.register(
      this._options.clock.schedule(REMOVAL_GRACE_MS, () => {
        this.unregister(timer);
        const entry = this._entries.get(id);
        if (entry !== undefined && this._isRemovalDue(id)) {
          this._evict(entry);
        }
      }),
    );
  }

  private _evict(entry: TargetEntry): void {
    this._entries.delete(entry.id);
    this._removalDueAt.delete(entry.id);
    if (entry.startedAt === undefined) {
      // Without a start time, the next instance with the id would count as the same one.
      this._leaving.delete(entry.id);
    }
    this._onChange.fire({ ...entry, isDraining: true });
  }

  private _store(id: string, value: Buffer, offset: number): void {
    const { decoder, log } = this._options;
    const decoded = decoder.target(id, value);
    if (decoded.isErr) {
      log.write('target.unreadable', { target: id, offset, cause: decoded.error.message });
      return;
    }
    const entry = decoded.value;
    const previous = this._entries.get(id);
    this._removalDueAt.delete(id);
    this._entries.set(id, entry);
    this._onRead.fire({ entry, isInitial: !this._isLoaded });
    if (previous === undefined || !isSame(previous, entry)) {
      const { address, isDraining, service, startedAt } = entry;
      log.write('target.known', {
        target: id,
        service,
        address,
        isDraining,
        bornAt: startedAt,
        offset,
      });
      this._onChange.fire(entry);
    }
  }
}

function isSame(a: TargetEntry, b: TargetEntry): boolean {
  return (
    a.address === b.address &&
    a.service === b.service &&
    a.isDraining === b.isDraining &&
    a.startedAt === b.startedAt &&
    a.slots === b.slots
  );
}
