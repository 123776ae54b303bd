/**
 * What a proof run gathers outside the daemons: the records of the stand-ins, what each caller
 * received, polls of the daemons and the run's own actions. Times are wall times of the one machine.
 */
import * as z from 'zod';
import type { Ending } from '../Ending.js';

/** The kinds of records that stand-ins write. */
export enum RecordKind {
  /** A service executed a call. */
  Execution = 'execution',
  /** An engine took an attempt. */
  Attempt = 'attempt',
  /** An engine took an item to hold. */
  Hold = 'hold',
  /** The log took a record. */
  Append = 'append',
}

const head = { target: z.string(), at: z.number() };

export const standInRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RecordKind.Execution), ...head, key: z.string() }),
  z.object({ kind: z.literal(RecordKind.Attempt), ...head, prompt: z.string() }),
  z.object({ kind: z.literal(RecordKind.Hold), ...head }),
  z.object({
    kind: z.literal(RecordKind.Append),
    ...head,
    stream: z.string(),
    offset: z.number(),
  }),
]);

/** One record of a stand-in. */
export type StandInRecord = z.infer<typeof standInRecordSchema>;

/** What one request came to for its caller. */
export interface RequestEvidence {
  /** Idempotency key of a call, else the digest that names the prompt. */
  readonly id: string;
  readonly isCall: boolean;
  readonly ending: Ending;
  /** Whether a daemon sent a final answer, of whatever kind. */
  readonly hasFinalAnswer: boolean;
  /** Whether the answer is the refusal of a key that was used for another body. */
  readonly isKeyReused: boolean;
  /** Address of the daemon that was asked last. */
  readonly entry: string;
  /** When that daemon was asked. */
  readonly sentAt: number;
  readonly endedAt: number;
  readonly deadlineMs: number;
  /** What the caller was told when the request failed. */
  readonly message?: string;
}

/** What a run did to a daemon. */
export enum DisturbanceKind {
  Kill = 'kill',
  Freeze = 'freeze',
  Drain = 'drain',
}

/** A time during which a daemon could not answer, or was told to shut down. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly entry: string;
  readonly from: number;
  until: number;
}

/** A time during which a target must get no new work. */
export interface LeavingPeriod {
  readonly target: string;
  /** When the first source that the daemons can read says so. */
  readonly from: number;
  until: number;
}

/** One poll of a daemon. */
export interface StatusSample {
  readonly node: string;
  readonly incarnation: number;
  /** When the daemon read its state. */
  readonly at: number;
  readonly isReady: boolean;
  readonly offset: number;
  readonly digest: string;
}

/** A publish that was accepted. */
export interface AcceptedPublish {
  readonly base: number;
  readonly offset: number;
  readonly digest: string;
}

/** Everything that a run is judged by. */
export interface Evidence {
  readonly records: readonly StandInRecord[];
  readonly requests: readonly RequestEvidence[];
  readonly disturbances: readonly Disturbance[];
  readonly leavings: readonly LeavingPeriod[];
  readonly samples: readonly StatusSample[];
  readonly accepted: readonly AcceptedPublish[];
  /** Items that engines held for longer than the bound after their holder had gone. */
  readonly leakedItems: readonly string[];
  /** Violations that the daemons logged. */
  readonly violations: number;
}
