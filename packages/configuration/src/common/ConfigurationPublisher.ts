/**
 * Publishes configuration changes. A publish appends one record, and its outcome is read back from
 * the log by the id of the change. The outcome is thus found even if the response to the append was
 * lost, without a second record that could take effect as well.
 */
import {
  awaitEvent,
  type Clock,
  DisposableOwner,
  ErrorKind,
  NotRun,
  type PendingEvent,
  ServiceError,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { PlatformLog } from '@tanagerdyke/contracts';
import { Result } from 'true-myth';
import { checkObjects, checkTransition, describeFinding } from './ConfigurationCheck.js';
import {
  CONFIGURATION_SCHEMA,
  CONFIGURATION_STREAM,
  encodeChange,
  RecordKind,
  Verdict,
} from './ConfigurationRule.js';
import type { ObjectChange } from './ObjectSet.js';
import type {
  EffectiveChange,
  Configuration,
  Publisher,
  ProcessedRecord,
} from './services/Services.js';

/** Time to wait until the follower of this node reads the appended record. */
const READ_BACK_TIMEOUT_MS = 5_000;

export interface PublisherOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly configuration: Configuration;
  readonly timeLine: TimeLine;
}

/** Checks changes on this node and appends them to the configuration stream. */
export class ConfigurationPublisher extends DisposableOwner implements Publisher {
  constructor(private readonly _options: PublisherOptions) {
    super();
  }

  public async publish(
    id: string,
    change: ObjectChange,
    base: number,
  ): Promise<Result<EffectiveChange, ServiceError>> {
    const { configuration, log, timeLine } = this._options;
    const { inForce } = configuration;
    if (inForce.ids.includes(id)) {
      return Result.ok({ id, offset: inForce.offset, digest: inForce.set.digest });
    }
    if (base !== inForce.offset) {
      return Result.err(
        conflict(`checked against offset ${base}, but ${inForce.offset} is in force`),
      );
    }
    const set = inForce.set.with(change.upserts, change.removals);
    const findings = [...checkObjects(set), ...checkTransition(inForce.set, set)].map(
      describeFinding,
    );
    if (findings.length > 0) {
      return Result.err(checkFailed(findings));
    }
    const payload = encodeChange({
      record: RecordKind.Change,
      id,
      base,
      baseDigest: inForce.set.digest,
      schema: CONFIGURATION_SCHEMA,
      upserts: [...change.upserts],
      removals: [...change.removals],
      digest: set.digest,
    });
    const readBack = this._awaitReadBack(id);
    timeLine.record('configuration.append', { id, base });
    const appended = await log.append(CONFIGURATION_STREAM, payload);
    if (appended.isErr && appended.error.kind !== ErrorKind.AppendUnknown) {
      readBack.cancel();
      return Result.err(appended.error);
    }
    return toPublishResult(id, set.digest, await readBack.value);
  }

  private _awaitReadBack(id: string): PendingEvent<ProcessedRecord> {
    const { clock, configuration } = this._options;
    const isOwn = ({ outcome }: ProcessedRecord): boolean => outcome.id === id;
    return awaitEvent(clock, configuration.onRecord, isOwn, READ_BACK_TIMEOUT_MS);
  }
}

function toPublishResult(
  id: string,
  digest: string,
  record: ProcessedRecord | undefined,
): Result<EffectiveChange, ServiceError> {
  if (record === undefined) {
    return Result.err(
      new ServiceError(
        ErrorKind.AppendUnknown,
        `publish ${id} was not read back from the log in time`,
        {
          remedy: `publish again with --id ${id}, which can't take effect twice`,
        },
      ),
    );
  }
  if (record.outcome.verdict === Verdict.Effective) {
    return Result.ok({ id, offset: record.offset, digest });
  }
  return Result.err(conflict(record.outcome.detail));
}

function conflict(detail: string): ServiceError {
  return new ServiceError(ErrorKind.Conflict, `another change took effect first: ${detail}`, {
    remedy: 'review the difference with tanagerctl diff, then publish again',
    notRun: NotRun.True,
  });
}

function checkFailed(findings: readonly string[]): ServiceError {
  return new ServiceError(ErrorKind.CheckFailed, `${findings.length} finding(s)`, {
    remedy: 'correct each finding and publish again',
    findings,
    notRun: NotRun.True,
  });
}
