import { ErrorKind, ManualClock, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import type { CallAttempt } from '../services/Services.js';
import { OpenCalls } from './OpenCalls.js';

const LIMIT_MS = 1_000;
const LONG_BYTES = 10_000;
/** An answer that leaves later calls open. */
const EMPTY = '';

describe('OpenCalls', () => {
  let clock: ManualClock;
  let calls: OpenCalls<string>;
  let attempts: CallAttempt[];
  let settle: ((result: Result<string, ServiceError>) => void)[];

  beforeEach(() => {
    clock = new ManualClock();
    calls = new OpenCalls(clock, (value) => value !== EMPTY);
    attempts = [];
    settle = [];
  });

  function ask(): Promise<Result<string, ServiceError>> {
    return calls.ask(LIMIT_MS, (attempt) => {
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

    it('awaits the later call when its answer is empty', async () => {
      const answer = ask();
      settle[0]?.(Result.ok(EMPTY));
      expect((await answer).unwrapOr('none')).toBe(EMPTY);
      const next = ask();
      settle[1]?.(Result.ok('second'));
      expect((await next).unwrapOr('none')).toBe('second');
      expect(attempts).toHaveLength(2);
    });

    it('keeps it open when the next call is rejected', async () => {
      const answer = ask();
      settle[1]?.(failure);
      expect((await answer).isErr).toBe(true);
      expect(closed()).toEqual([false, false]);
    });

    it('announces its answer while none is awaited', async () => {
      let answers = 0;
      calls.onAnswer(() => answers++);
      settle[0]?.(Result.ok('first'));
      await clock.advance(0);
      expect(answers).toBe(1);
    });

    it('closes the oldest of three for a fourth', async () => {
      await askUntilLate();
      await askUntilLate();
      void ask();
      expect(closed()).toEqual([true, false, false, false]);
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
