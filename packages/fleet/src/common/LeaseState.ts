/**
 * Derives the holder of a lease from the records of its stream, with the same result at every
 * reader. The log carries no time, so an acquisition names the offset up to which its author has
 * read, and takes effect only if no effective record follows that offset; its author waits a whole
 * term after reading the last one. The offset of the effective acquisition is the fencing number
 * (for leases see Gray and Cheriton, 1989). Renewals repeat it, so that a reader that starts after
 * the acquisition has expired from the log can still determine the holder.
 */
import * as z from 'zod';

export enum LeaseRecordKind {
  Acquire = 'acquire',
  Renew = 'renew',
  Release = 'release',
}

export const leaseRecordSchema = z.strictObject({
  kind: z.enum(LeaseRecordKind),
  /** Identifies a record to its author when it is read back. */
  id: z.string(),
  node: z.string(),
  /** Start time of the node's process; a restarted process does not hold the lease. */
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

/** The holder of a lease after the records applied so far. */
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

/** Returns the state after a record, the same object if the record has no effect. */
export function applyLeaseRecord(
  state: LeaseState | undefined,
  position: RecordPosition,
  payload: string,
): LeaseState | undefined {
  const record = parseLeaseRecord(payload);
  return record === undefined ? state : NEXT_STATE[record.kind](state, position, record);
}

/** The position of a record in its stream. */
export interface RecordPosition {
  readonly offset: number;
  /** Offset of the first record that this reader could read; earlier ones have expired. */
  readonly firstReadOffset: number;
}

/**
 * Whether a process holds the lease according to the log. Only the holder's own clock tells whether
 * its term is over.
 */
export function isHeldBy(state: LeaseState | undefined, node: string, startedAt: number): boolean {
  return state?.node === node && state.startedAt === startedAt && !state.isReleased;
}

/** Parses a payload; `undefined` if it is not a lease record. */
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
  position: RecordPosition,
  record: LeaseRecord,
) => LeaseState | undefined;

const NEXT_STATE: Record<LeaseRecordKind, Transition> = {
  [LeaseRecordKind.Acquire]: (state, { offset, firstReadOffset }, record) => {
    // Without a state, any record before the first one that was read may have been effective.
    const lastEffective = state?.lastOffset ?? firstReadOffset - 1;
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
