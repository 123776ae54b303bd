/** Memory that stays reserved on engines which have ended a prompt, since the answer to it was lost. */
import { ManualClock } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind, type EngineProfile } from '../common/Messages.js';
import type { ReservationUse } from '../common/services/Services.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import {
  configuration,
  ForwardingFixture,
  noReservations,
  targetEntry,
} from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { ExchangeObserver, RequestSender } from './Upstream.js';

/** More than one engine holds. */
const PROMPT_TOKENS = 150_000;
const DEADLINE_MS = 15_000;
/** When the engine ends the prompt. */
const RUN_MS = 3_000;
/** Bound of the platform from the end of a prompt until its memory is free. */
const FREE_MS = 4_000;
const EVENT = 'id: 1\ndata: first\n\n';
const REST = 'id: 2\ndata: second\n\n';

describe('memory of a prompt whose answer was lost', () => {
  let clock: ManualClock;
  let caller: SimulatedCaller;
  /** Reservations that are held, and when the last one was released. */
  let held: Set<string>;
  let releasedAt: number;
  let inspect: () => Result<ReservationUse, never>;
  let answer: (observer: ExchangeObserver) => void;
  let inspections: number;

  beforeEach(() => {
    clock = new ManualClock();
    caller = new SimulatedCaller();
    held = new Set();
    releasedAt = Number.POSITIVE_INFINITY;
    inspections = 0;
    inspect = () => Result.ok({ isUsed: clock.now() < RUN_MS, waiting: 0 });
    answer = () => undefined;
  });

  async function send(): Promise<RequestReport> {
    const upstream: RequestSender = {
      send: (_target, _connections, _request, observer) => {
        observer.onSendStart();
        answer(observer);
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
      },
    };
    const node = new ForwardingFixture({
      clock,
      upstream,
      engineReservations: {
        ...noReservations,
        reserve: ({ id }) => {
          held.add(id);
          return Promise.resolve(Result.ok(undefined));
        },
        release: ({ id }) => {
          held.delete(id);
          releasedAt = clock.now();
          return Promise.resolve(Result.ok(undefined));
        },
        inspect: () => {
          inspections++;
          return Promise.resolve(inspect());
        },
      },
    });
    for (const id of ['e0', 'e1', 'e2']) {
      node.addTarget(targetEntry(id, 'engine', `${id}:80`));
    }
    const options = {
      ...{ maxAttempts: 1, promptTokens: PROMPT_TOKENS, deadlineMs: DEADLINE_MS },
      signal: new AbortController().signal,
    };
    const request = simulatedRequest(clock, CallKind.Stream, caller, options);
    const report = forwardStream(node.dependencies, request, engineProfile());
    await clock.advance(DEADLINE_MS + 1_000);
    return report;
  }

  const answerLate = (observer: ExchangeObserver): void => {
    clock.schedule(DEADLINE_MS - 1_000, () => {
      observer.onHead(200, ['Attempt', 'a1']);
      observer.onData(Buffer.from(EVENT + REST));
      observer.onEnd();
    });
  };

  it('is free within 4 s of the end of the prompt', async () => {
    const report = await send();
    expect(report.ending).toBe(RequestOutcome.Failed);
    expect(held.size).toBe(0);
    expect(releasedAt).toBeLessThan(RUN_MS + FREE_MS);
  });

  it('is free within 4 s if a part of the answer had arrived, which breaks off', async () => {
    answer = (observer) => {
      observer.onHead(200, ['Attempt', 'a1']);
      observer.onData(Buffer.from(EVENT));
    };
    await send();
    expect(releasedAt).toBeLessThan(RUN_MS + FREE_MS);
    expect(caller).toMatchObject({ body: EVENT, isComplete: false });
  });

  it.each([
    ['uses it', (): Result<ReservationUse, never> => Result.ok({ isUsed: true, waiting: 0 })],
    ['has requests waiting', () => Result.ok({ isUsed: false, waiting: 1 })],
  ])('stays reserved for a slow engine that %s', async (_what, use) => {
    inspect = use;
    answer = answerLate;
    expect((await send()).ending).toBe(RequestOutcome.Answered);
    expect(inspections).toBeGreaterThan(0);
    expect(caller).toMatchObject({ body: EVENT + REST, isComplete: true });
  });

  it('is not asked for while events arrive', async () => {
    answer = (observer) => {
      observer.onHead(200, ['Attempt', 'a1']);
      for (let id = 1; id <= 12; id++) {
        clock.schedule(id * 1_000, () => {
          observer.onData(Buffer.from(`id: ${id}\ndata: event\n\n`));
        });
      }
      clock.schedule(12_500, () => {
        observer.onEnd();
      });
    };
    expect((await send()).ending).toBe(RequestOutcome.Answered);
    expect(inspections).toBe(0);
  });
});

function engineProfile(): EngineProfile {
  const profile = configuration.services.find(({ name }) => name === 'engine')?.engine;
  if (profile === undefined) {
    throw new Error('the test configuration has no engines');
  }
  return profile;
}
