/** Prompts that are answered after their deadline, since engines fail one reservation after the other. */
import { ErrorKind, ManualClock, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import {
  configuration,
  ForwardingFixture,
  noReservations,
  targetEntry,
} from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';

const ENGINES = 6;
/** More than one engine holds. */
const PROMPT_TOKENS = 150_000;
const DEADLINE_MS = 1_000;
const TICK_MS = 10;
const unanswered = new ServiceError(ErrorKind.TargetFailed, 'no answer', { remedy: 'none' });
const full = new ServiceError(ErrorKind.Overloaded, 'full', { remedy: 'none' });

describe('a prompt whose reservations fail', () => {
  let clock: ManualClock;
  let node: ForwardingFixture;
  /** Engines that were asked to reserve, in order. */
  let asked: string[];
  let answer: (timeoutMs: number) => Promise<Result<void, ServiceError>>;

  beforeEach(() => {
    clock = new ManualClock();
    asked = [];
    answer = async (timeoutMs) => {
      await clock.sleep(timeoutMs);
      return Result.err(unanswered);
    };
    const ignore = (): void => undefined;
    node = new ForwardingFixture({
      clock,
      upstream: { send: () => ({ abort: ignore, pause: ignore, resume: ignore }) },
      engineReservations: {
        ...noReservations,
        reserve: ({ id }, _reservation, timeoutMs) => {
          asked.push(id);
          return answer(timeoutMs);
        },
      },
    });
    for (let index = 0; index < ENGINES; index++) {
      node.addTarget(targetEntry(`e${index}`, 'engine', `e${index}:80`));
    }
  });

  /** Sends a prompt; returns its report, with the time that it took. */
  async function send(): Promise<{ readonly report: RequestReport; readonly tookMs: number }> {
    const engine = configuration.services.find(({ name }) => name === 'engine')?.engine;
    if (engine === undefined) {
      throw new Error('the test configuration has no engines');
    }
    const request = simulatedRequest(clock, CallKind.Stream, new SimulatedCaller(), {
      ...{ maxAttempts: 2, promptTokens: PROMPT_TOKENS, deadlineMs: DEADLINE_MS },
      signal: new AbortController().signal,
    });
    const startedAt = clock.now();
    let report: RequestReport | undefined;
    const answered = forwardStream(node.dependencies, request, engine).then((each) => {
      report = each;
    });
    while (report === undefined && clock.now() - startedAt < 10 * DEADLINE_MS) {
      await clock.advance(TICK_MS);
    }
    const tookMs = clock.now() - startedAt;
    await answered;
    if (report === undefined) {
      throw new Error('the prompt has no report');
    }
    return { report, tookMs };
  }

  it('is refused by its deadline', async () => {
    const { report, tookMs } = await send();
    expect(report.ending).toBe(RequestOutcome.Refused);
    expect(tookMs).toBeLessThanOrEqual(DEADLINE_MS + TICK_MS);
  });

  it('asks each engine once', async () => {
    await send();
    expect(asked.length).toBeLessThanOrEqual(ENGINES);
    expect(new Set(asked).size).toBe(asked.length);
  });

  it('keeps the next one from asking the same engines, which is refused sooner', async () => {
    await send();
    asked = [];
    const { report, tookMs } = await send();
    expect(report.ending).toBe(RequestOutcome.Refused);
    expect(tookMs).toBeLessThan(DEADLINE_MS / 2);
    expect(asked).toEqual([]);
  });

  it('does not keep others from engines that are full, or that answer again', async () => {
    answer = () => Promise.resolve(Result.err(full));
    await send();
    expect(node.dependencies.reservationFailures.avoided).toEqual([]);
    answer = () => Promise.resolve(Result.ok(undefined));
    asked = [];
    await send();
    expect(asked.length).toBeGreaterThan(0);
  });
});
