/**
 * The rule by which all readers of a lease stream agree on the holder. The log carries no time, so an
 * acquisition names the offset up to which its author had read, and takes effect only if no effective
 * record came after that; its author has waited the whole term since it read the last one. The offset
 * of the effective acquisition is the fencing number (Gray and Cheriton 1989 for leases). Renewals
 * repeat it, so that a reader that starts after the acquisition expired learns the holder.
 */
import * as z from 'zod';

/** The kinds of lease records. */
export enum LeaseRecordKind {
  Acquire = 'acquire',
  Renew = 'renew',
  Release = 'release',
}

export const leaseRecordSchema = z.strictObject({
  kind: z.enum(LeaseRecordKind),
  /** Tells one's own record when it is read back. */
  id: z.string(),
  node: z.string(),
  /** Start of the node's process. */
  startedAt: z.number().int(),
  /** Offset of the last record that the author had read, -1 for none. */
  after: z.number().int(),
  /** In renewals and releases, the offset of the acquisition. */
  fencing: z.number().int(),
  /** Time for which the lease holds, counted by the holder from before it sent the record. */
  termMs: z.number().int().min(1),
});

/** A record of a lease stream. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** Who holds a lease, as of a record. */
export interface LeaseState {
  readonly node: string;
  readonly startedAt: number;
  /** Offset of the acquisition. */
  readonly fencing: number;
  /** Offset of the last effective record. */
  readonly lastOffset: number;
  readonly termMs: number;
  readonly isReleased: boolean;
}

/** The state after a record; the same state when the record has no effect. */
export function applyLeaseRecord(
  state: LeaseState | undefined,
  place: RecordPlace,
  payload: string,
): LeaseState | undefined {
  const record = parseLeaseRecord(payload);
  return record === undefined ? state : NEXT_STATE[record.kind](state, place, record);
}

/** Where a record stands in the stream. */
export interface RecordPlace {
  readonly offset: number;
  /** Offset of the first record that this reader could read. */
  readonly first: number;
}

/** Whether a process holds the lease by the log; whether in time is the holder's own clock's matter. */
export function isHeldBy(state: LeaseState | undefined, node: string, startedAt: number): boolean {
  return state?.node === node && state.startedAt === startedAt && !state.isReleased;
}

/** Reads a payload; `undefined` when it is no lease record. */
export function parseLeaseRecord(payload: string): LeaseRecord | undefined {
  try {
    const parsed = leaseRecordSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

type Transition = (
  state: LeaseState | undefined,
  place: RecordPlace,
  record: LeaseRecord,
) => LeaseState | undefined;

const NEXT_STATE: Record<LeaseRecordKind, Transition> = {
  [LeaseRecordKind.Acquire]: (state, { offset, first }, record) => {
    // Without a state, effective records may have expired up to the first that was read.
    const lastEffective = state?.lastOffset ?? first - 1;
    if (record.after < lastEffective) {
      return state;
    }
    const { node, startedAt, termMs } = record;
    return { node, startedAt, termMs, fencing: offset, lastOffset: offset, isReleased: false };
  },
  [LeaseRecordKind.Renew]: (state, { offset }, record) => {
    if (state === undefined) {
      const { node, startedAt, termMs, fencing } = record;
      return { node, startedAt, termMs, fencing, lastOffset: offset, isReleased: false };
    }
    return isRecordOfHolder(state, record)
      ? { ...state, lastOffset: offset, termMs: record.termMs }
      : state;
  },
  [LeaseRecordKind.Release]: (state, { offset }, record) =>
    state !== undefined && isRecordOfHolder(state, record)
      ? { ...state, lastOffset: offset, isReleased: true }
      : state,
};

function isRecordOfHolder(state: LeaseState, record: LeaseRecord): boolean {
  return isHeldBy(state, record.node, record.startedAt) && state.fencing === record.fencing;
}
