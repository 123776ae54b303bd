/** A target that sends nothing for a while and then goes on, while the request may not be repeated. */
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind, type EngineProfile } from '../common/Messages.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { configuration, ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { RequestSender } from './Upstream.js';

/** Longer than the time after which another target is asked, shorter than the deadline. */
const QUIET_MS = 2_200;
const ANSWER_MS = 20;
const EVENT = 'id: 1\ndata: first\n\n';
const REST = 'id: 2\ndata: second\n\n';

function engineProfile(): EngineProfile {
  const profile = configuration.services.find(({ name }) => name === 'engine')?.engine;
  if (profile === undefined) {
    throw new Error('the test configuration has no engines');
  }
  return profile;
}

describe('a target that is quiet for a while', () => {
  let clock: ManualClock;
  let node: ForwardingFixture;
  let caller: SimulatedCaller;
  let sentTo: string[];
  let aborted: string[];

  const sender: RequestSender = {
    send: ({ id }, _connections, _request, observer) => {
      sentTo.push(id);
      let isAborted = false;
      const whileOpen = (action: () => void): void => {
        if (!isAborted) {
          action();
        }
      };
      const isStream = sentTo[0]?.startsWith('engine') === true;
      // Only the first target is quiet; another one resumes after the event that was received.
      const isResumed = sentTo.length > 1;
      clock.schedule(ANSWER_MS, () => {
        whileOpen(() => {
          observer.onSendStart();
          if (isStream) {
            observer.onHead(200, ['Attempt', 'a1']);
            observer.onData(Buffer.from(isResumed ? '' : EVENT));
          }
        });
      });
      clock.schedule(ANSWER_MS + (isResumed ? 1 : QUIET_MS), () => {
        whileOpen(() => {
          if (!isStream) {
            observer.onHead(200, ['Attempt', 'a1']);
          }
          observer.onData(Buffer.from(REST));
          observer.onEnd();
        });
      });
      return {
        abort: () => {
          isAborted = true;
          aborted.push(id);
        },
        pause: () => undefined,
        resume: () => undefined,
      };
    },
  };

  beforeEach(() => {
    clock = new ManualClock();
    caller = new SimulatedCaller();
    sentTo = [];
    aborted = [];
  });

  function create(targets: number, budgetAllowance: number): void {
    node = new ForwardingFixture({ clock, upstream: sender, budgetAllowance });
    for (let index = 0; index < targets; index++) {
      node.addTarget(targetEntry(`engine-${index}`, 'engine', `10.0.0.${index}:80`));
      node.addTarget(targetEntry(`app-${index}`, 'app', `10.0.1.${index}:80`));
    }
  }

  async function request(kind: CallKind, maxAttempts = 3): Promise<RequestReport> {
    const signal = new AbortController().signal;
    const forwarded = simulatedRequest(clock, kind, caller, { maxAttempts, signal });
    const report =
      kind === CallKind.Stream
        ? forwardStream(node.dependencies, forwarded, engineProfile())
        : forwardCall(node.dependencies, forwarded);
    await clock.advance(10_000);
    return report;
  }

  describe.each([
    ['a stream', CallKind.Stream, EVENT + REST],
    ['a call', CallKind.Idempotent, REST],
  ])('%s', (_name, kind, whole) => {
    it('is answered by it when the retry budget is exhausted', async () => {
      create(2, 0);
      expect((await request(kind)).ending).toBe(RequestOutcome.Answered);
      expect(caller).toMatchObject({ body: whole, isComplete: true });
      expect(aborted).toEqual([]);
    });

    it('is answered by it when no other target accepts requests', async () => {
      create(1, 100);
      expect((await request(kind)).ending).toBe(RequestOutcome.Answered);
      expect(caller).toMatchObject({ body: whole, isComplete: true });
    });

    it('is answered by it when the route allows no further attempt', async () => {
      create(2, 100);
      expect((await request(kind, 1)).ending).toBe(RequestOutcome.Answered);
      expect(caller).toMatchObject({ body: whole, isComplete: true });
    });

    it('is answered by another target when that is permitted', async () => {
      create(2, 100);
      expect((await request(kind)).ending).toBe(RequestOutcome.Answered);
      expect(sentTo).toHaveLength(2);
      expect(aborted).toEqual([sentTo[0]]);
    });

    it('spends the budget once for the attempt that replaces it', async () => {
      create(3, 2);
      await request(kind);
      expect(node.dependencies.budget.trySpend(kind === CallKind.Stream ? 'engine' : 'app')).toBe(
        false,
      );
      expect(sentTo).toHaveLength(2);
    });
  });
});
