/** The service interfaces of the configuration layer. */
import type { Event, ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';
import type { ConfigurationInForce, ApplyOutcome } from '../ConfigurationRule.js';
import type { ObjectChange, ObjectSet } from '../ObjectSet.js';

/** The configuration in force on this node. */
export interface Configuration {
  readonly inForce: ConfigurationInForce;
  readonly set: ObjectSet;
  /** Whether the configuration is complete enough to serve requests. */
  readonly isReady: boolean;
  /** Fires after each effective record and each installed snapshot. */
  readonly onChange: Event<ConfigurationInForce>;
  /**
   * Fires after each record beyond the offset in force, from the log or a peer, whether or not it
   * took effect.
   */
  readonly onRecord: Event<ProcessedRecord>;
}

/** The outcome of applying the record at an offset. */
export interface ProcessedRecord {
  readonly offset: number;
  readonly outcome: ApplyOutcome;
}

/** Publishes configuration changes. */
export interface Publisher {
  /**
   * Checks a change, appends it and reads it back. `base` must be the offset in force. Publishing
   * is idempotent by `id`. Errors: `CheckFailed`, `Conflict`, `PlatformUnavailable`,
   * `AppendUnknown`.
   */
  publish(
    id: string,
    change: ObjectChange,
    base: number,
  ): Promise<Result<EffectiveChange, ServiceError>>;
}

/** A change that took effect. */
export interface EffectiveChange {
  readonly id: string;
  /** Offset of its record, or the offset in force if its id had already taken effect. */
  readonly offset: number;
  readonly digest: string;
}
