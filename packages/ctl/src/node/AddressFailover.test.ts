/** Tests which failures are retried at another address, and the error when all attempts fail. */
import { ErrorKind, ManualClock, NotRun, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { sendWithFailover } from './AddressFailover.js';

const DEADLINE_MS = 1_000;

function failure(kind: ErrorKind, notRun: NotRun): ServiceError {
  return new ServiceError(kind, 'failed', { remedy: 'none', notRun });
}

async function sendAll(
  failures: readonly ServiceError[],
  stepMs = 0,
): Promise<{ answer: Result<string, ServiceError>; sent: string[]; remaining: number[] }> {
  const clock = new ManualClock();
  const sent: string[] = [];
  const remaining: number[] = [];
  const addresses = (): Promise<Result<readonly string[], ServiceError>> =>
    Promise.resolve(Result.ok(['a', 'b', 'c']));
  const options = {
    clock,
    addresses,
    invalidateAddresses: () => undefined,
    deadlineMs: DEADLINE_MS,
  };
  const answer = await sendWithFailover(options, async (address, remainingMs) => {
    const failed = failures[sent.length];
    sent.push(address);
    remaining.push(remainingMs);
    await clock.advance(stepMs);
    return failed === undefined ? Result.ok(address) : Result.err(failed);
  });
  return { answer, sent, remaining };
}

describe('sendWithFailover', () => {
  it('retries at another address when the connection broke', async () => {
    const { answer, sent } = await sendAll([failure(ErrorKind.LinkFailed, NotRun.Unknown)]);
    expect(sent).toEqual(['a', 'b']);
    expect(answer.isOk).toBe(true);
  });

  it('retries at another address when the node shut down during the answer', async () => {
    expect((await sendAll([failure(ErrorKind.Draining, NotRun.False)])).sent).toEqual(['a', 'b']);
  });

  it('passes the time that remains until the deadline to each attempt', async () => {
    const broken = failure(ErrorKind.LinkFailed, NotRun.Unknown);
    expect((await sendAll([broken], 300)).remaining).toEqual([1_000, 700]);
  });

  it('makes no further attempt after the deadline', async () => {
    const broken = failure(ErrorKind.LinkFailed, NotRun.Unknown);
    const { answer, sent } = await sendAll([broken, broken], DEADLINE_MS);
    expect(sent).toEqual(['a']);
    expect(answer.isErr).toBe(true);
  });

  it.each([ErrorKind.Overloaded, ErrorKind.OutcomeUnknown, ErrorKind.TargetFailed])(
    'reports %s without another attempt',
    async (kind) => {
      expect((await sendAll([failure(kind, NotRun.True)])).sent).toEqual(['a']);
    },
  );

  it('never reports "not run" after an attempt that may have run', async () => {
    const { answer } = await sendAll([
      failure(ErrorKind.LinkFailed, NotRun.Unknown),
      failure(ErrorKind.Overloaded, NotRun.True),
    ]);
    expect(answer.isErr && answer.error.notRun).toBe(NotRun.Unknown);
  });

  it('reports "not run" when every attempt reported it', async () => {
    const closing = failure(ErrorKind.Draining, NotRun.True);
    const { answer, sent } = await sendAll([closing, closing, closing]);
    expect(sent).toEqual(['a', 'b', 'c']);
    expect(answer.isErr && answer.error.notRun).toBe(NotRun.True);
  });
});
