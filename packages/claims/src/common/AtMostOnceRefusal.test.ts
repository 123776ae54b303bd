/** Tests of how a refused or abandoned attempt answers when another attempt may hold the key. */
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import {
  ErrorKind,
  InvariantMonitor,
  ManualClock,
  Metrics,
  NotRun,
  SeededRandom,
  TimeLine,
} from '@tanagerdyke/kernel';
import type { Service } from '@tanagerdyke/contracts';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { AnswerStore } from './AnswerStore.js';
import type { AtMostOnceCall } from './AtMostOnceCall.js';
import { AtMostOnceCaller } from './AtMostOnceCaller.js';
import { type ClaimLedger, ClaimVerdict } from './ClaimLedger.js';
import { type KeyState, KeyStatus } from './Messages.js';

const KEY = 'w/01890a5d-ac96-774b-bcce-b302099a8057';
const BODY_DIGEST = 'digest';
const DONE: KeyState = {
  status: KeyStatus.Done,
  attempt: 'other',
  bodyDigest: BODY_DIGEST,
  node: 'b',
  incarnation: 1,
  answer: { status: 200, body: 'confirmed' },
};

describe('AtMostOnceCaller', () => {
  function createCaller(verdict: ClaimVerdict, state: KeyState | undefined): AtMostOnceCaller {
    const clock = new ManualClock(0);
    const self = memberOf('a', '127.0.0.1:1');
    const membership = new FixedMembership(self, [self]);
    const transport = new MemoryNetwork(clock, new SeededRandom(1)).join(self.peerAddress);
    const timeLine = new TimeLine(clock, 'a');
    const ledger: Pick<ClaimLedger, 'claim' | 'find'> = {
      claim: () => Promise.resolve(verdict),
      find: () => Promise.resolve({ state, isComplete: true }),
    };
    return new AtMostOnceCaller({
      clock,
      random: new SeededRandom(1),
      ledger: ledger as ClaimLedger,
      answers: new AnswerStore(transport, membership),
      membership,
      timeLine,
      invariants: new InvariantMonitor(timeLine, new Metrics(), { log: () => undefined }),
    });
  }

  const call: AtMostOnceCall = {
    key: KEY,
    path: '/orders',
    body: '',
    bodyDigest: BODY_DIGEST,
    service: {} as Service,
    offersLookUp: false,
    deadline: 5_000,
  };

  describe.each([ClaimVerdict.Abandoned, ClaimVerdict.Refused])(
    'an attempt that is %s',
    (verdict) => {
      it('returns the recorded answer of another attempt', async () => {
        const answer = await createCaller(verdict, DONE).call(call);
        expect(answer).toEqual(Result.ok({ status: 200, body: 'confirmed' }));
      });

      it('fails with an unknown outcome while another attempt runs', async () => {
        const state = { ...DONE, status: KeyStatus.Claimed, answer: undefined };
        const answer = await createCaller(verdict, state).call(call);
        expect(answer.isErr && answer.error.kind).toBe(ErrorKind.OutcomeUnknown);
        expect(answer.isErr && answer.error.notRun).toBe(NotRun.Unknown);
      });

      it('refuses a different body under the same key', async () => {
        const answer = await createCaller(verdict, { ...DONE, bodyDigest: 'other' }).call(call);
        expect(answer.isErr && answer.error.kind).toBe(ErrorKind.KeyReused);
      });

      it('answers "not run" when no attempt holds the key', async () => {
        const answer = await createCaller(verdict, undefined).call(call);
        expect(answer.isErr && answer.error.notRun).toBe(NotRun.True);
      });
    },
  );
});
