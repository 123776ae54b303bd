/** A naive configuration follower that skips the check of records. Only proof runs use it. */
import {
  changeRecordSchema,
  ConfigurationFollower,
  type ConfigurationInForce,
  type EffectiveRecord,
  type FollowerOptions,
  type ObjectSet,
  type ProcessedRecord,
  Verdict,
} from '@tanagerdyke/configuration';
import { Emitter } from '@tanagerdyke/kernel';

/** Puts the last record read in force, whatever base offset it was checked against. */
export class LastRecordFollower extends ConfigurationFollower {
  private _lastInForce: ConfigurationInForce | undefined;
  private readonly _recordEmitter = new Emitter<ProcessedRecord>();
  public override readonly onRecord = this._recordEmitter.event;

  constructor(private readonly _followerOptions: FollowerOptions) {
    super(_followerOptions);
  }

  public override get inForce(): ConfigurationInForce {
    return this._lastInForce ?? super.inForce;
  }

  public override get set(): ObjectSet {
    return this.inForce.set;
  }

  public override applyRecord(record: EffectiveRecord): void {
    const parsed = changeRecordSchema.safeParse(JSON.parse(record.payload));
    if (!parsed.success) {
      super.applyRecord(record);
      return;
    }
    const { id, removals, upserts } = parsed.data;
    const set = this.set.with(upserts, removals);
    this._lastInForce = { offset: record.offset, set, ids: [...this.inForce.ids, id] };
    const { membership } = this._followerOptions;
    membership.publish({ configurationOffset: record.offset, configurationDigest: set.digest });
    this._recordEmitter.fire({
      offset: record.offset,
      outcome: { verdict: Verdict.Effective, inForce: this._lastInForce, id },
    });
  }
}
