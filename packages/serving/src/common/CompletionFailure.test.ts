/** Tests of `notRun` in the final error when several engines fail one after the other. */
import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import { type Engine, type EngineFrame, LengthClass } from '@tanagerdyke/contracts';
import {
  ErrorKind,
  ManualClock,
  Metrics,
  NotRun,
  SeededRandom,
  ServiceError,
  TimeLine,
} from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { type CompletionOptions, CompletionService } from './CompletionService.js';
import type { Placement } from './Placer.js';
import type { CompletionRequest } from './services/Services.js';

type Frame = Result<EngineFrame, ServiceError>;

const ATTEMPT = 'attempt';

function failure(notRun: NotRun): Frame {
  return Result.err(new ServiceError(ErrorKind.TargetFailed, 'down', { remedy: 'none', notRun }));
}

const FIRST_TOKEN: Frame = Result.ok({ id: ATTEMPT, position: 0, tokens: ['a'], isLast: false });

/**
 * An engine that yields one list of frames per attempt; after the last list, attempts do not run.
 */
function scriptedEngine(script: (readonly Frame[])[]): Pick<Engine, 'generate'> {
  return {
    async *generate(): AsyncGenerator<Frame> {
      await Promise.resolve();
      yield* script.shift() ?? [failure(NotRun.True)];
    },
  };
}

async function lastFrame(script: (readonly Frame[])[]): Promise<Frame | undefined> {
  const clock = new ManualClock(0);
  const self = memberOf('a', '127.0.0.1:1');
  const target = { name: 'engine-0' };
  const placement = {
    attemptId: ATTEMPT,
    leader: { target },
    followers: [],
    lengthClass: LengthClass.Short,
    version: 'v',
  } as unknown as Placement;
  const engine = scriptedEngine(script);
  const service = new CompletionService({
    clock,
    random: new SeededRandom(1),
    directory: { engine: () => Result.ok(engine) },
    reservations: { markStarted: () => Promise.resolve() },
    placer: { place: () => Promise.resolve(Result.ok(placement)), release: () => undefined },
    membership: new FixedMembership(self, [self]),
    timeLine: new TimeLine(clock, 'a'),
    metrics: new Metrics(),
  } as unknown as CompletionOptions);
  const request = { id: 'r', deadline: 60_000, prompt: [], maxTokens: 9 };
  const frames = service.complete(
    request as unknown as CompletionRequest,
    new AbortController().signal,
  );
  const seen: Frame[] = [];
  const reading = (async (): Promise<void> => {
    for await (const frame of frames) {
      seen.push(frame);
    }
  })();
  await clock.advance(10_000);
  await reading;
  return seen.at(-1);
}

describe('CompletionService', () => {
  describe('when every engine fails', () => {
    it('reports "not run" if no engine was reached', async () => {
      const last = await lastFrame([]);
      expect(last?.isErr === true && last.error.notRun).toBe(NotRun.True);
    });

    it('does not report "not run" if an engine may have run the request', async () => {
      const last = await lastFrame([[failure(NotRun.Unknown)]]);
      expect(last?.isErr === true && last.error.notRun).toBe(NotRun.Unknown);
    });

    it('reports that the request ran if a token was delivered', async () => {
      const last = await lastFrame([[FIRST_TOKEN, failure(NotRun.Unknown)]]);
      expect(last?.isErr === true && last.error.notRun).toBe(NotRun.False);
    });
  });
});
