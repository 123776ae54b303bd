/**
 * Data that a proof run collects outside the daemons: the records of the stand-ins, what each
 * caller received, status samples of the daemons, and the faults that the run injected. All
 * timestamps are wall-clock times of the one machine that runs the fleet.
 */
import * as z from 'zod';
import type { OutcomeKind } from '../OutcomeKind.js';

/** Kinds of records that the stand-ins write. */
export enum StandInRecordKind {
  /** A service executed a call. */
  Execution = 'execution',
  /** An engine received an attempt, which it may have refused. */
  Attempt = 'attempt',
  /** An engine received an item to hold, which it may have refused. */
  Hold = 'hold',
  /** The platform log appended a record. */
  Append = 'append',
}

const commonFields = { target: z.string(), at: z.number() };

export const standInRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(StandInRecordKind.Execution), ...commonFields, key: z.string() }),
  z.object({ kind: z.literal(StandInRecordKind.Attempt), ...commonFields, prompt: z.string() }),
  z.object({ kind: z.literal(StandInRecordKind.Hold), ...commonFields }),
  z.object({
    kind: z.literal(StandInRecordKind.Append),
    ...commonFields,
    stream: z.string(),
    offset: z.number(),
  }),
]);

/** One action of a stand-in. */
export type StandInRecord = z.infer<typeof standInRecordSchema>;

/** The outcome of one request for its caller. */
export interface RequestEvidence {
  /** Idempotency key of a call, or the digest that identifies the prompt of a completion. */
  readonly id: string;
  readonly isCall: boolean;
  readonly ending: OutcomeKind;
  /** Whether a daemon sent a final answer, which may be an error. */
  readonly hasFinalAnswer: boolean;
  /** Whether the call was refused because its key had been used with a different body. */
  readonly isKeyReused: boolean;
  /** Address of the daemon that the request was last sent to. */
  readonly entry: string;
  /** When the request was sent to that daemon. */
  readonly sentAt: number;
  readonly endedAt: number;
  readonly deadlineMs: number;
  /** Error message that the caller received, if the request failed. */
  readonly message?: string;
}

/** How a run interrupted a daemon process. */
export enum DisturbanceKind {
  Kill = 'kill',
  Freeze = 'freeze',
  Drain = 'drain',
}

/** A period during which a daemon was killed, frozen or shutting down. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly entry: string;
  readonly from: number;
  until: number;
}

/** A period during which a target must receive no new requests. */
export interface LeavingPeriod {
  readonly target: string;
  /** When the first source that the daemons can read reports the target as leaving. */
  readonly from: number;
  until: number;
}

/** The status of a daemon at one poll. */
export interface StatusSample {
  readonly node: string;
  readonly incarnation: number;
  /** When the daemon took the sample, by its own wall clock. */
  readonly at: number;
  readonly isReady: boolean;
  readonly offset: number;
  readonly digest: string;
}

/** A configuration publish that was accepted. */
export interface AcceptedPublish {
  readonly base: number;
  readonly offset: number;
  readonly digest: string;
}

/** All data from which the figures of a run are computed; written to `evidence.json`. */
export interface Evidence {
  readonly records: readonly StandInRecord[];
  readonly requests: readonly RequestEvidence[];
  readonly disturbances: readonly Disturbance[];
  readonly leavings: readonly LeavingPeriod[];
  readonly samples: readonly StatusSample[];
  readonly accepted: readonly AcceptedPublish[];
  /**
   * Items that an engine held for longer than `RECONCILE_BOUND_MS` after their holder had ended, or
   * still held at the end of the run.
   */
  readonly leakedItems: readonly string[];
  /** Number of invariant violations and defects that the daemons logged. */
  readonly violations: number;
}
