/**
 * The rule by which every reader of the `configuration` stream decides whether a record takes
 * effect. It depends on nothing but the records in log order, so all nodes agree on the winner of a
 * race and no node ever goes back.
 */
import * as z from 'zod';
import { checkObjects, checkTransition, describeFinding } from './ConfigurationCheck.js';
import { objectSchema, ObjectKind } from './Objects.js';
import { canonicalJson, ObjectSet } from './ObjectSet.js';

/** The stream that carries configuration records. */
export const CONFIGURATION_STREAM = 'configuration';
/** Version of the record schema that this program writes and reads. */
export const CONFIGURATION_SCHEMA = 1;
/** The offset in force before any record. */
export const NO_OFFSET = -1;

/** Kinds of records in the stream. */
export enum RecordKind {
  Change = 'change',
  /** A part of a whole set, for readers that start after older records expired. */
  Checkpoint = 'checkpoint',
}

export const changeRecordSchema = z.strictObject({
  record: z.literal(RecordKind.Change),
  id: z.string().min(1),
  base: z.number().int().min(NO_OFFSET),
  /** Digest of the set at `base`; tells a reader whose own set differs. */
  baseDigest: z.string(),
  schema: z.literal(CONFIGURATION_SCHEMA),
  upserts: z.array(objectSchema),
  removals: z.array(z.strictObject({ kind: z.enum(ObjectKind), name: z.string() })),
  digest: z.string(),
});

/** A change that an operator publishes. `base` is the offset that it was checked against. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** What is in force: the offset of the last effective record and the set that it led to. */
export interface InForce {
  readonly offset: number;
  readonly set: ObjectSet;
  /** Ids of recent effective records. */
  readonly ids: readonly string[];
}

/** Before any record. */
export const NOTHING_IN_FORCE: InForce = { offset: NO_OFFSET, set: ObjectSet.empty, ids: [] };

/** Why a record has no effect. */
export enum IgnoreReason {
  Unreadable = 'unreadable',
  NotAChange = 'not-a-change',
  StaleBase = 'stale-base',
  RepeatedId = 'repeated-id',
  CheckFailed = 'check-failed',
  DigestMismatch = 'digest-mismatch',
}

/** The verdicts on a record. */
export enum Verdict {
  Effective = 'effective',
  Ignored = 'ignored',
  /** This reader's own set differs from the publisher's at the same offset. */
  Diverged = 'diverged',
}

/** The verdict on one record. */
export type RuleOutcome =
  | { readonly verdict: Verdict.Effective; readonly inForce: InForce; readonly id: string }
  | {
      readonly verdict: Verdict.Ignored;
      readonly reason: IgnoreReason;
      readonly id?: string;
      readonly detail: string;
    }
  | { readonly verdict: Verdict.Diverged; readonly id: string; readonly detail: string };

/** Recent ids kept to recognise a repeated record. */
const REMEMBERED_IDS = 1000;

/** Applies the record at `offset` to what is in force. Never throws. */
export function applyRecord(inForce: InForce, offset: number, payload: string): RuleOutcome {
  const record = parseChange(payload);
  if (record === undefined) {
    return ignored(IgnoreReason.Unreadable, 'not a readable change of this schema');
  }
  if (inForce.ids.includes(record.id)) {
    return ignored(IgnoreReason.RepeatedId, 'its id took effect before', record.id);
  }
  if (record.base !== inForce.offset) {
    const detail = `checked against offset ${record.base}, in force is ${inForce.offset}`;
    return ignored(IgnoreReason.StaleBase, detail, record.id);
  }
  if (record.baseDigest !== inForce.set.digest) {
    const detail = `the set at offset ${record.base} differs from the publisher's`;
    return { verdict: Verdict.Diverged, id: record.id, detail };
  }
  const set = inForce.set.with(record.upserts, record.removals);
  const findings = [...checkObjects(set), ...checkTransition(inForce.set, set)];
  if (findings.length > 0) {
    return ignored(IgnoreReason.CheckFailed, findings.map(describeFinding).join('\n'), record.id);
  }
  if (set.digest !== record.digest) {
    const detail = `digest ${set.digest} differs from the record's ${record.digest}`;
    return ignored(IgnoreReason.DigestMismatch, detail, record.id);
  }
  const ids = [...inForce.ids, record.id].slice(-REMEMBERED_IDS);
  return { verdict: Verdict.Effective, inForce: { offset, set, ids }, id: record.id };
}

/** The payload of a change record. */
export function encodeChange(record: ChangeRecord): string {
  return canonicalJson(record);
}

function parseChange(payload: string): ChangeRecord | undefined {
  try {
    const parsed = changeRecordSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function ignored(reason: IgnoreReason, detail: string, id?: string): RuleOutcome {
  return { verdict: Verdict.Ignored, reason, detail, id };
}
