/**
 * The availability zones whose targets get no new requests, as the operator requests it in records
 * of the configuration topic. Load pattern: a zone is evacuated while each node sends it a part of
 * the load, and all of them must stop within a second, whether they reach the platform or not. The
 * records are merged, relayed and kept over a restore like all others of the topic.
 */
import { DisposableOwner, Emitter } from '@tanagerdyke/kernel';
import type { DecisionLog } from '../DecisionLog.js';
import type { RecordDecoder } from '../services/Services.js';
import type { EpochRecord, KeyedTable } from './KeyedTable.js';

/** Part of a key that is logged. */
const MAX_LOGGED_KEY = 300;

export interface ZoneEvacuationsOptions {
  /** Records of the configuration topic. */
  readonly table: KeyedTable;
  readonly decoder: Pick<RecordDecoder, 'evacuatedZone' | 'isConfiguration'>;
  readonly log: DecisionLog;
  /** Number of targets in a zone, for the log; `undefined` while they are not loaded. */
  readonly countTargets: (zone: string) => number | undefined;
}

/** A zone was evacuated, or its evacuation ended. */
export interface ZoneChange {
  readonly zone: string;
  readonly isEvacuated: boolean;
}

/** Holds which zones are evacuated. */
export class ZoneEvacuations extends DisposableOwner {
  private readonly _zones = new Set<string>();
  private readonly _onChange = this.register(new Emitter<ZoneChange>());
  public readonly onChange = this._onChange.event;

  constructor(private readonly _options: ZoneEvacuationsOptions) {
    super();
    this.register(
      _options.table.onChange((records) => {
        this._apply(records);
      }),
    );
  }

  public isEvacuated(zone: string): boolean {
    return this._zones.has(zone);
  }

  /** The evacuated zones. */
  public get zones(): readonly string[] {
    return [...this._zones];
  }

  /** Applies records that were merged in this order; the last one of a zone counts. */
  private _apply(records: readonly EpochRecord[]): void {
    const { decoder, log, table } = this._options;
    const newest = new Map<string, EpochRecord>();
    for (const record of records) {
      const zone = decoder.evacuatedZone(record.key);
      if (zone !== undefined) {
        newest.set(zone, record);
      } else if (!decoder.isConfiguration(record.key)) {
        const key = record.key.slice(0, MAX_LOGGED_KEY);
        log.write('record.ignored', { topic: table.name, key, offset: record.offset });
      }
    }
    const changed = [...newest].filter(([zone, record]) => this._applyZone(zone, record));
    for (const [zone] of changed) {
      this._onChange.fire({ zone, isEvacuated: this.isEvacuated(zone) });
    }
  }

  /** Returns whether the record changed the state of its zone. */
  private _applyZone(zone: string, { epoch, offset, value }: EpochRecord): boolean {
    const { countTargets, log } = this._options;
    const isEvacuated = value !== undefined;
    if (this._zones.has(zone) === isEvacuated) {
      log.write('zone.unchanged', { zone, isEvacuated, epoch, offset });
      return false;
    }
    if (isEvacuated) {
      this._zones.add(zone);
    } else {
      this._zones.delete(zone);
    }
    const event = isEvacuated ? 'zone.evacuated' : 'zone.restored';
    log.write(event, { zone, targets: countTargets(zone), epoch, offset });
    return true;
  }
}
