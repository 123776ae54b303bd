/**
 * Measures the memory of the claim index and time line of a node, and the bytes of a claim in the
 * log.
 */
import { ClaimIndex, EntryKind, type Entry } from '@tanagerdyke/claims';
import { SystemClock, TimeLine } from '@tanagerdyke/kernel';
import { v7 as uuidv7 } from 'uuid';
import { range } from '../../common/capacity/CapacityObjects.js';
import { retainedBytes } from './RetainedBytes.js';

const KEY_COUNT = 20_000;
const EVENT_COUNT = 20_000;
const ATTEMPT_BYTES = 36;
const DIGEST_BYTES = 64;
const NODE = 'entry-000';

/** Bytes of in-memory states and of log records. */
export interface StateCosts {
  readonly indexBytesPerKey: number;
  /** Bytes of a time line that is filled to its capacity. */
  readonly timeLineBytes: number;
  /** Bytes of a claim and its outcome in the log. */
  readonly claimRecordBytes: number;
}

/** Measures each state separately. */
export function measureStates(): StateCosts {
  const sample = createEntries(uuidv7());
  return {
    indexBytesPerKey: retainedBytes(fillIndex) / KEY_COUNT,
    timeLineBytes: retainedBytes(fillTimeLine),
    claimRecordBytes: Buffer.byteLength(JSON.stringify(sample)),
  };
}

function fillIndex(): ClaimIndex {
  const index = new ClaimIndex();
  for (const number of range(KEY_COUNT)) {
    for (const entry of createEntries(`${uuidv7()}${number}`)) {
      // Parsed from JSON like entries read from the log, so that entries share no strings.
      index.apply(JSON.parse(JSON.stringify(entry)) as Entry);
    }
  }
  return index;
}

function createEntries(id: string): readonly Entry[] {
  const key = `workspace-1/${id}`;
  const attempt = id.slice(0, ATTEMPT_BYTES);
  return [
    {
      kind: EntryKind.Claim,
      key,
      attempt,
      node: NODE,
      incarnation: 1_700_000_000_000,
      bodyDigest: 'd'.repeat(DIGEST_BYTES),
    },
    {
      kind: EntryKind.Outcome,
      key,
      attempt,
      answer: { status: 200, body: '{"accepted":true}' },
    },
  ];
}

function fillTimeLine(): TimeLine {
  const timeLine = new TimeLine(new SystemClock(), NODE, 1);
  for (const number of range(EVENT_COUNT)) {
    timeLine.record('completion.dispatched', {
      request: `request-${number}`,
      attempt: `attempt-${number}`,
      target: `engine-${number}`,
    });
  }
  return timeLine;
}
