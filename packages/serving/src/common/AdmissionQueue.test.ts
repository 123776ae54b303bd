/**
 * Tests of the admission queue on a manual clock: fairness, class isolation, expiry and refusals.
 */
import { ErrorKind, ManualClock, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { LengthClass } from '@tanagerdyke/contracts';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { AdmissionQueue, type AdmissionTicket } from './AdmissionQueue.js';

const DEADLINE_MS = 1_000;
const RUN_MS = 200;
const STEP_MS = 10;

function overloadedError(): Result<string, ServiceError> {
  return Result.err(
    new ServiceError(ErrorKind.Overloaded, 'no capacity', {
      remedy: 'retry later',
      notRun: NotRun.True,
      retryAfterMs: STEP_MS,
    }),
  );
}

describe('AdmissionQueue', () => {
  let clock: ManualClock;
  let queue: AdmissionQueue<string>;
  let isOverloaded: boolean;
  let placed: string[];
  let released: string[];

  function ticket(name: string, change: Partial<AdmissionTicket<string>> = {}) {
    return {
      lengthClass: LengthClass.Short,
      workspace: name.slice(0, 1),
      weight: 1,
      tokens: 4_000,
      deadline: clock.now() + DEADLINE_MS,
      runMs: RUN_MS,
      signal: new AbortController().signal,
      tryPlace: () => {
        if (isOverloaded) {
          return Promise.resolve(overloadedError());
        }
        placed.push(name);
        return Promise.resolve(Result.ok<string, ServiceError>(name));
      },
      releaseLate: (placement: string) => {
        released.push(placement);
      },
      ...change,
    };
  }

  beforeEach(() => {
    clock = new ManualClock();
    queue = new AdmissionQueue(clock);
    isOverloaded = true;
    placed = [];
    released = [];
  });

  describe('admit', () => {
    it('places a request immediately when the queue is empty', async () => {
      isOverloaded = false;
      expect((await queue.admit(ticket('a1'))).isOk).toBe(true);
    });

    it('alternates between workspaces', async () => {
      const names = ['a1', 'a2', 'a3', 'b1'];
      const admissions = names.map((name) => queue.admit(ticket(name)));
      await clock.advance(STEP_MS);
      isOverloaded = false;
      await clock.advance(DEADLINE_MS / 2);
      await Promise.all(admissions);
      expect(placed.indexOf('b1')).toBeLessThan(placed.indexOf('a3'));
    });

    it('places a short request while a long one is queued', async () => {
      const waiting = queue.admit(ticket('a1', { lengthClass: LengthClass.Long }));
      await clock.advance(STEP_MS);
      isOverloaded = false;
      expect((await queue.admit(ticket('b1'))).isOk).toBe(true);
      await clock.advance(DEADLINE_MS);
      expect((await waiting).isOk).toBe(true);
    });
  });

  describe('wait estimate', () => {
    it('ignores the time during which the queue was empty', async () => {
      const pauseMs = 10_000;
      for (const name of ['a1', 'a2', 'a3']) {
        isOverloaded = true;
        const queued = queue.admit(ticket(name));
        await clock.advance(STEP_MS);
        isOverloaded = false;
        await clock.advance(pauseMs);
        await queued;
      }
      isOverloaded = true;
      const admissions = ['a4', 'b1'].map((name) => queue.admit(ticket(name)));
      await clock.advance(STEP_MS);
      isOverloaded = false;
      await clock.advance(DEADLINE_MS / 2);
      expect((await Promise.all(admissions)).every(({ isOk }) => isOk)).toBe(true);
    });
  });

  describe('when an entry can no longer meet its deadline', () => {
    it('refuses it at that moment, not at the deadline', async () => {
      let settledAt = 0;
      const admission = queue.admit(ticket('a1')).then((result) => {
        settledAt = clock.now();
        return result;
      });
      await clock.advance(STEP_MS);
      await clock.advance(DEADLINE_MS - RUN_MS - STEP_MS);
      const result = await admission;
      expect(settledAt).toBe(DEADLINE_MS - RUN_MS);
      expect(result.isErr && result.error.notRun).toBe(NotRun.True);
      expect(queue.queueLength(LengthClass.Short)).toBe(0);
    });

    it('returns a retry time', async () => {
      const admission = queue.admit(ticket('a1'));
      await clock.advance(DEADLINE_MS);
      const result = await admission;
      expect(result.isErr && (result.error.retryAfterMs ?? 0)).toBeGreaterThan(0);
    });

    it('releases a placement that succeeds after the refusal', async () => {
      let finish: (result: Result<string, ServiceError>) => void = () => undefined;
      let attemptCount = 0;
      const tryPlace = (): Promise<Result<string, ServiceError>> =>
        attemptCount++ === 0
          ? Promise.resolve(overloadedError())
          : new Promise((resolve) => {
              finish = resolve;
            });
      const admission = queue.admit(ticket('a1', { tryPlace }));
      await clock.advance(DEADLINE_MS);
      expect((await admission).isErr).toBe(true);
      finish(Result.ok('late'));
      await clock.advance(STEP_MS);
      expect(released).toEqual(['late']);
    });
  });

  describe('when a refused caller retries after the given time', () => {
    it('places the request if capacity is free', async () => {
      const first = queue.admit(ticket('a1'));
      await clock.advance(DEADLINE_MS);
      const refusal = await first;
      isOverloaded = false;
      await clock.advance(refusal.isErr ? (refusal.error.retryAfterMs ?? 0) : 0);
      expect((await queue.admit(ticket('a1'))).isOk).toBe(true);
    });
  });
});
