/** Checks each figure against evidence that is written by hand. */
import { describe, expect, it } from 'vitest';
import { OutcomeKind } from '../OutcomeKind.js';
import {
  DisturbanceKind,
  type Evidence,
  type RequestEvidence,
  StandInRecordKind,
} from './Evidence.js';
import { computeFigures, hasFailed, type ProofFigures } from './ProofFigures.js';

const EMPTY_EVIDENCE: Evidence = {
  records: [],
  requests: [],
  disturbances: [],
  leavings: [],
  samples: [],
  accepted: [],
  leakedItems: [],
  violations: 0,
};
const ANSWERED: RequestEvidence = {
  id: 'w/key',
  isCall: true,
  ending: OutcomeKind.Answered,
  hasFinalAnswer: true,
  isKeyReused: false,
  entry: 'http://a',
  sentAt: 1_000,
  endedAt: 2_000,
  deadlineMs: 5_000,
};
const DISCONNECTED = { ...ANSWERED, ending: OutcomeKind.Unknown, hasFinalAnswer: false };
const REFUSED = { ...ANSWERED, ending: OutcomeKind.NotRun };

function executionAt(at: number): Evidence['records'][number] {
  return { kind: StandInRecordKind.Execution, target: 'service-0', at, key: ANSWERED.id };
}

function disturbancesOf(kind: DisturbanceKind): Evidence['disturbances'] {
  return [{ kind, entry: ANSWERED.entry, from: 1_500, until: 1_600 }];
}

const SAMPLE = { node: 'n', incarnation: 1, at: 0, isReady: true, offset: 4, digest: 'd' };

const CASES: readonly [string, Partial<Evidence>, Partial<ProofFigures>][] = [
  [
    'an answered request as admitted and answered',
    { requests: [ANSWERED] },
    { admitted: 1, answered: 1 },
  ],
  ['a broken connection as lost', { requests: [DISCONNECTED] }, { lost: 1, cut: 0 }],
  [
    'a broken connection to a killed daemon neither as lost nor as cut',
    { requests: [DISCONNECTED], disturbances: disturbancesOf(DisturbanceKind.Kill) },
    { lost: 0, cut: 0 },
  ],
  [
    'a broken connection to a draining daemon as cut',
    { requests: [DISCONNECTED], disturbances: disturbancesOf(DisturbanceKind.Drain) },
    { lost: 0, cut: 1 },
  ],
  [
    'two executions of a key as doubled',
    { records: [executionAt(1), executionAt(2)] },
    { doubled: 1 },
  ],
  [
    'an answer more than 2 s after the deadline as late',
    { requests: [{ ...ANSWERED, endedAt: 8_001 }] },
    { late: 1 },
  ],
  [
    'no late answer up to 2 s after the deadline',
    { requests: [{ ...ANSWERED, endedAt: 8_000 }] },
    { late: 0 },
  ],
  [
    'a refusal of a call that ran as a false refusal',
    { requests: [REFUSED], records: [executionAt(3_000)] },
    { falseNotRun: 1, notRun: 1, admitted: 0 },
  ],
  [
    'no false refusal if another call executed the key less than 100 ms before it',
    { requests: [REFUSED, ANSWERED], records: [executionAt(1_950)] },
    { falseNotRun: 0 },
  ],
  [
    'a false refusal if another call executed the key more than 100 ms before it',
    { requests: [REFUSED, ANSWERED], records: [executionAt(1_899)] },
    { falseNotRun: 1 },
  ],
  [
    'a call to a leaving target as a late dispatch only after 5 s and before its return',
    {
      leavings: [{ target: 'service-0', from: 1_000, until: 9_000 }],
      records: [executionAt(6_000), executionAt(6_001), executionAt(9_000)],
    },
    { lateDispatch: 1 },
  ],
  [
    'a lower offset of the same node as reverted',
    { samples: [SAMPLE, { ...SAMPLE, offset: 3 }] },
    { reverted: 1 },
  ],
  [
    'different digests of two nodes at one offset as reverted',
    { samples: [SAMPLE, { ...SAMPLE, node: 'm', digest: 'e' }] },
    { reverted: 1 },
  ],
  [
    'a change that is not in force after 5 s as reverted, once per node',
    {
      accepted: [{ base: 4, offset: 5, digest: 'e' }],
      records: [
        { kind: StandInRecordKind.Append, target: '', at: 0, stream: 'configuration', offset: 5 },
      ],
      samples: [
        { ...SAMPLE, at: 5_000 },
        { ...SAMPLE, at: 5_001 },
        { ...SAMPLE, at: 5_002 },
      ],
    },
    { reverted: 1 },
  ],
  [
    'two changes accepted on the same base as reverted',
    {
      accepted: [
        { base: 4, offset: 5, digest: 'e' },
        { base: 4, offset: 6, digest: 'f' },
      ],
    },
    { reverted: 1 },
  ],
];

describe('ProofFigures', () => {
  describe('computeFigures', () => {
    it.each(CASES)('counts %s', (_name, evidence, figures) => {
      expect(computeFigures({ ...EMPTY_EVIDENCE, ...evidence })).toMatchObject(figures);
    });
  });

  describe('hasFailed', () => {
    it('is false if every figure is zero and true if one that must be zero is not', () => {
      const clean = computeFigures(EMPTY_EVIDENCE);
      expect(hasFailed(clean)).toBe(false);
      expect(hasFailed({ ...clean, leaked: 1 })).toBe(true);
    });
  });
});
