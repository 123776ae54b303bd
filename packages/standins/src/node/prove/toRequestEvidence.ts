/** Converts the outcome of a request to evidence. */
import { scopedKey } from '@tanagerdyke/claims';
import { ErrorKind } from '@tanagerdyke/kernel';
import type { RequestEvidence } from '../../common/prove/Evidence.js';
import { ArrivalKind } from '../../common/WorkloadPlan.js';
import { type Outcome, OutcomeKind } from '../LoadRunner.js';

const ANSWERED_OUTCOMES = new Set([OutcomeKind.Answered, OutcomeKind.Crossed]);

/** Returns the evidence of a request that ended at the wall-clock time `endedAt`. */
export function toRequestEvidence(outcome: Outcome, endedAt: number): RequestEvidence {
  const { arrival, ending, entry, key, kind, message, sentAt } = outcome;
  const isCall = arrival.kind === ArrivalKind.Call;
  return {
    id: isCall ? scopedKey(arrival.workspace, key) : (arrival.prompt.at(-1)?.digest ?? ''),
    isCall,
    ending,
    hasFinalAnswer: ANSWERED_OUTCOMES.has(ending) || kind !== ErrorKind.LinkFailed,
    isKeyReused: kind === ErrorKind.KeyReused,
    entry,
    sentAt,
    endedAt,
    deadlineMs: arrival.deadlineMs,
    message,
  };
}
