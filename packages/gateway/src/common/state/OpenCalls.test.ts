import { ErrorKind, ManualClock, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import type { CallAttempt } from '../services/Services.js';
import { CallPace } from './CallPace.js';
import { MAX_OPEN_CALLS, OpenCalls } from './OpenCalls.js';

const LIMIT_MS = 1_000;
const LONG_BYTES = 10_000;
/** An answer that leaves later calls open. */
const EMPTY = '';

describe('OpenCalls', () => {
  let clock: ManualClock;
  let pace: CallPace;
  let calls: OpenCalls<string>;
  let attempts: CallAttempt[];
  let settle: ((result: Result<string, ServiceError>) => void)[];

  beforeEach(() => {
    clock = new ManualClock();
    pace = new CallPace(clock);
    calls = new OpenCalls(clock, pace, (value) => value !== EMPTY);
    attempts = [];
    settle = [];
  });

  function ask(): Promise<Result<string, ServiceError>> {
    return calls.ask({ limitMs: () => LIMIT_MS }, (attempt) => {
      attempts.push(attempt);
      return new Promise((resolve) => settle.push(resolve));
    });
  }

  async function askUntilLate(): Promise<void> {
    const answer = ask();
    await clock.advance(LIMIT_MS);
    expect((await answer).isErr).toBe(true);
  }

  const closed = (): boolean[] => attempts.map(({ signal }) => signal.aborted);
  const failure = Result.err<string, ServiceError>(
    new ServiceError(ErrorKind.PlatformUnavailable, 'scripted', { remedy: 'none' }),
  );

  describe('when a call is late', () => {
    beforeEach(askUntilLate);

    it('makes the next call on a new connection', () => {
      void ask();
      expect(attempts.map(({ needsNewConnection }) => needsNewConnection)).toEqual([false, true]);
    });

    it('returns its answer to the next call, and closes that one', async () => {
      const answer = ask();
      settle[0]?.(Result.ok('first'));
      expect((await answer).unwrapOr('')).toBe('first');
      expect(closed()).toEqual([false, true]);
    });

    it('closes the other calls when a long answer begins', () => {
      void ask();
      attempts[1]?.onProgress(LONG_BYTES);
      expect(closed()).toEqual([true, false]);
    });

    it('makes a new call after its answer, beside the one that began before it', async () => {
      const answer = ask();
      settle[0]?.(Result.ok(EMPTY));
      expect((await answer).unwrapOr('none')).toBe(EMPTY);
      const next = ask();
      expect(attempts).toHaveLength(3);
      settle[1]?.(Result.ok('second'));
      expect((await next).unwrapOr('none')).toBe('second');
    });

    it('counts the limit of a call from its own start, whatever was answered before', async () => {
      const answer = ask();
      await clock.advance(LIMIT_MS - 1);
      attempts[0]?.onProgress(1);
      settle[0]?.(Result.ok(EMPTY));
      await answer;
      const next = ask();
      await clock.advance(LIMIT_MS);
      expect((await next).isErr).toBe(true);
    });

    it('keeps it open when the next call is rejected', async () => {
      const answer = ask();
      settle[1]?.(failure);
      expect((await answer).isErr).toBe(true);
      expect(closed()).toEqual([false, false]);
    });

    it('announces the return of the platform while none is awaited', async () => {
      let returns = 0;
      pace.onReturn(() => returns++);
      settle[0]?.(Result.ok('first'));
      await clock.advance(0);
      expect(returns).toBe(1);
    });

    it('makes a new call when one of another kind is answered first', async () => {
      const answer = ask();
      const other = new OpenCalls<string>(clock, pace);
      await other.ask({ limitMs: () => LIMIT_MS }, () => Promise.resolve(Result.ok('other')));
      expect(attempts).toHaveLength(3);
      settle[2]?.(Result.ok('third'));
      expect((await answer).unwrapOr('none')).toBe('third');
    });

    it('closes the oldest when too many are open', async () => {
      for (let late = 1; late < MAX_OPEN_CALLS; late++) {
        await askUntilLate();
      }
      expect(closed()).toEqual(Array(MAX_OPEN_CALLS).fill(false));
      void ask();
      expect(closed()).toEqual([true, ...Array<boolean>(MAX_OPEN_CALLS).fill(false)]);
    });
  });

  it('waits for an answer as long as it goes on arriving', async () => {
    const answer = ask();
    for (let part = 0; part < 5; part++) {
      await clock.advance(LIMIT_MS - 1);
      attempts[0]?.onProgress(LONG_BYTES);
    }
    settle[0]?.(Result.ok('whole'));
    expect((await answer).unwrapOr('')).toBe('whole');
  });

  it('closes all calls when it is disposed', () => {
    void ask();
    calls.dispose();
    expect(closed()).toEqual([true]);
  });
});
