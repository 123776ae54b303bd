/**
 * Tests of streams with an engine that repeats a frame, sends frames of another request, or ends
 * the stream early, and of the retry budget.
 */
import {
  type Engine,
  type EngineFrame,
  type EngineRequest,
  LengthClass,
} from '@tanagerdyke/contracts';
import type { HostedTarget, Route, Workspace } from '@tanagerdyke/configuration';
import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import {
  type Clock,
  ErrorKind,
  ManualClock,
  Metrics,
  SeededRandom,
  type ServiceError,
  TimeLine,
} from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { CompletionService } from './CompletionService.js';
import type { Placement, Placer } from './Placer.js';
import type { CompletionRequest, Reservations } from './services/Services.js';
import type { TargetDirectory } from './TargetDirectory.js';

const SEED = 3;
const TOKENS = 3;
const DEADLINE_MS = 10_000;
const REQUESTS = 200;

/** The frames that an engine sends for a request. */
type Script = (request: EngineRequest) => readonly EngineFrame[];

function frame(id: string, position: number): EngineFrame {
  return { id, position, tokens: [`t${position}`], isLast: position === TOKENS - 1 };
}

const COMPLETE: Script = ({ id, fromPosition }) =>
  Array.from({ length: TOKENS - fromPosition }, (_, index) => frame(id, fromPosition + index));
const DUPLICATED: Script = ({ id }) => [frame(id, 0), frame(id, 0), frame(id, 1), frame(id, 2)];
const FOREIGN_ID: Script = ({ id }) => [frame(id, 0), frame('another', 1), frame('another', 2)];
const TRUNCATED: Script = ({ id }) => [frame(id, 0)];

function engineOf(script: Script): Engine {
  return {
    async *generate(request: EngineRequest) {
      for (const each of script(request)) {
        await Promise.resolve();
        yield Result.ok<EngineFrame, ServiceError>(each);
      }
    },
  } as unknown as Engine;
}

describe('CompletionService', () => {
  let clock: Clock;
  let scripts: Script[];
  let attempts: number;
  let released: number;
  let service: CompletionService;

  async function collect(): Promise<{ tokens: string[]; error?: ErrorKind }> {
    const request: CompletionRequest = {
      id: 'r',
      workspace: { name: 'w' } as Workspace,
      route: { name: 'r' } as Route,
      prompt: [{ digest: 'd', tokens: 1 }],
      promptTokens: 1,
      maxTokens: TOKENS,
      deadline: clock.now() + DEADLINE_MS,
    };
    const tokens: string[] = [];
    for await (const each of service.complete(request, new AbortController().signal)) {
      if (each.isErr) {
        return { tokens, error: each.error.kind };
      }
      tokens.push(...each.value.tokens);
    }
    return { tokens };
  }

  beforeEach(() => {
    const manual = new ManualClock();
    clock = Object.assign(manual, { sleep: () => Promise.resolve() });
    attempts = 0;
    released = 0;
    const self = memberOf('n', '10.0.0.1:1');
    const placer = {
      place: (): Promise<Result<Placement, ServiceError>> => {
        const leader = { target: { name: `e${attempts}` } } as HostedTarget;
        const attemptId = `a${attempts++}`;
        const placement = { attemptId, leader, followers: [], lengthClass: LengthClass.Short };
        return Promise.resolve(Result.ok({ ...placement, version: 'v' }));
      },
      release: () => {
        released++;
        return Promise.resolve();
      },
    } as unknown as Placer;
    service = new CompletionService({
      clock,
      random: new SeededRandom(SEED),
      directory: {
        engine: () => Result.ok(engineOf(scripts[attempts - 1] ?? TRUNCATED)),
      } as unknown as TargetDirectory,
      reservations: { markStarted: () => Promise.resolve() } as unknown as Reservations,
      placer,
      membership: new FixedMembership(self, [self]),
      timeLine: new TimeLine(clock, 'n'),
      metrics: new Metrics(),
    });
  });

  it.each([
    ['a duplicated frame', DUPLICATED],
    ['a frame of another request', FOREIGN_ID],
    ['a truncated stream', TRUNCATED],
  ])('resumes at the current position after %s', async (_name, script) => {
    scripts = [script, COMPLETE];
    expect(await collect()).toEqual({ tokens: ['t0', 't1', 't2'] });
    expect(released).toBe(2);
  });

  it('stops retrying when the retry budget is used up', async () => {
    scripts = [];
    for (let request = 0; request < REQUESTS; request++) {
      await collect();
    }
    const attemptsBefore = attempts;
    expect((await collect()).error).toBe(ErrorKind.TargetFailed);
    expect(attempts - attemptsBefore).toBeLessThanOrEqual(2);
    expect(attempts).toBeLessThan(REQUESTS * 1.5);
  });
});
