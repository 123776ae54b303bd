/**
 * The rule that decides whether a record of the `configuration` stream takes effect. It depends
 * only on the records in log order, so all nodes select the same change when two are published
 * concurrently, and the offset in force never decreases.
 */
import * as z from 'zod';
import { checkObjects, checkTransition, describeFinding } from './ConfigurationCheck.js';
import { objectSchema, ObjectKind } from './Objects.js';
import { canonicalJson, ObjectSet } from './ObjectSet.js';

/** The stream that carries configuration records. */
export const CONFIGURATION_STREAM = 'configuration';
/** Version of the record schema that this program writes and reads. */
export const CONFIGURATION_SCHEMA = 1;
/** The offset in force before the first record takes effect. */
export const NO_OFFSET = -1;

export enum RecordKind {
  /** A change that an operator published. */
  Change = 'change',
  /** One part of a whole set, for readers that start after older records expired. */
  Checkpoint = 'checkpoint',
}

export const changeRecordSchema = z.strictObject({
  record: z.literal(RecordKind.Change),
  id: z.string().min(1),
  base: z.number().int().min(NO_OFFSET),
  /** Digest of the set at `base`, by which a reader detects that its own set differs. */
  baseDigest: z.string(),
  schema: z.literal(CONFIGURATION_SCHEMA),
  upserts: z.array(objectSchema),
  removals: z.array(z.strictObject({ kind: z.enum(ObjectKind), name: z.string() })),
  /** Digest of the set that results from the change. */
  digest: z.string(),
});

/** A change that an operator publishes. `base` is the offset of the set it was checked against. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** The configuration in force: the offset of the last effective record and the resulting set. */
export interface ConfigurationInForce {
  readonly offset: number;
  readonly set: ObjectSet;
  /** Ids of recent effective records, oldest first. */
  readonly ids: readonly string[];
}

/** The state before the first record takes effect. */
export const NOTHING_IN_FORCE: ConfigurationInForce = {
  offset: NO_OFFSET,
  set: ObjectSet.empty,
  ids: [],
};

/** Why a record has no effect. */
export enum IgnoreReason {
  Unreadable = 'unreadable',
  NotAChange = 'not-a-change',
  StaleBase = 'stale-base',
  RepeatedId = 'repeated-id',
  CheckFailed = 'check-failed',
  DigestMismatch = 'digest-mismatch',
}

/** Whether a record takes effect. */
export enum Verdict {
  Effective = 'effective',
  Ignored = 'ignored',
  /** The set of this reader differs from the publisher's set at the same offset. */
  Diverged = 'diverged',
}

/** The outcome of applying one record. */
export type ApplyOutcome =
  | {
      readonly verdict: Verdict.Effective;
      readonly inForce: ConfigurationInForce;
      readonly id: string;
    }
  | {
      readonly verdict: Verdict.Ignored;
      readonly reason: IgnoreReason;
      readonly id?: string;
      readonly detail: string;
    }
  | { readonly verdict: Verdict.Diverged; readonly id: string; readonly detail: string };

/** Ids of effective records kept to recognise a repeated record. */
const MAX_RECENT_IDS = 1000;

/** Applies the record at `offset` to the configuration in force. Never throws. */
export function applyRecord(
  inForce: ConfigurationInForce,
  offset: number,
  payload: string,
): ApplyOutcome {
  const record = parseChangeRecord(payload);
  if (record === undefined) {
    return ignored(IgnoreReason.Unreadable, 'not a valid change record of this schema version');
  }
  if (inForce.ids.includes(record.id)) {
    return ignored(
      IgnoreReason.RepeatedId,
      'a record with the same id has already taken effect',
      record.id,
    );
  }
  if (record.base !== inForce.offset) {
    const detail = `checked against offset ${record.base}, but ${inForce.offset} is in force`;
    return ignored(IgnoreReason.StaleBase, detail, record.id);
  }
  if (record.baseDigest !== inForce.set.digest) {
    const detail = `the set of this node at offset ${record.base} differs from the publisher's`;
    return { verdict: Verdict.Diverged, id: record.id, detail };
  }
  const set = inForce.set.with(record.upserts, record.removals);
  const findings = [...checkObjects(set), ...checkTransition(inForce.set, set)];
  if (findings.length > 0) {
    return ignored(IgnoreReason.CheckFailed, findings.map(describeFinding).join('\n'), record.id);
  }
  if (set.digest !== record.digest) {
    const detail = `the resulting set has digest ${set.digest}, the record states ${record.digest}`;
    return ignored(IgnoreReason.DigestMismatch, detail, record.id);
  }
  const ids = [...inForce.ids, record.id].slice(-MAX_RECENT_IDS);
  return { verdict: Verdict.Effective, inForce: { offset, set, ids }, id: record.id };
}

/** Serialises a change record as the payload of a log record. */
export function encodeChange(record: ChangeRecord): string {
  return canonicalJson(record);
}

function parseChangeRecord(payload: string): ChangeRecord | undefined {
  try {
    const parsed = changeRecordSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function ignored(reason: IgnoreReason, detail: string, id?: string): ApplyOutcome {
  return { verdict: Verdict.Ignored, reason, detail, id };
}
