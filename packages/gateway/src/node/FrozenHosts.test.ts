/**
 * Machines that were silent or slow to report for a while: the work that they run, or that they wait
 * for, must neither be started again elsewhere nor be given up. A target that is only quiet is covered
 * by QuietTarget.test, a silent connection by SilentTarget.test.
 */
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { configuration, ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { answerText, ForwardingHarness } from './ForwardingHarness.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { ExchangeObserver, RequestSender } from './Upstream.js';

const DEADLINE_MS = 20_000;
const EVENT = 'id: 1\ndata: first\n\n';
const REST = 'id: 2\ndata: second\n\n';

describe('a node that was frozen while it waited for a target', () => {
  let clock: ManualClock;
  let node: ForwardingFixture;
  let caller: SimulatedCaller;
  /** Observers of the exchanges, each of which a target runs. */
  let running: ExchangeObserver[];
  let aborted: number;

  const sender: RequestSender = {
    send: (_target, _connections, _request, observer) => {
      running.push(observer);
      observer.onSendStart();
      return {
        abort: () => {
          aborted++;
        },
        pause: () => undefined,
        resume: () => undefined,
      };
    },
  };

  beforeEach(() => {
    clock = new ManualClock();
    caller = new SimulatedCaller();
    running = [];
    aborted = 0;
    node = new ForwardingFixture({ clock, upstream: sender });
    for (const index of [1, 2, 3]) {
      node.addTarget(targetEntry(`engine-${index}`, 'engine', `10.0.0.${index}:80`));
      node.addTarget(targetEntry(`app-${index}`, 'app', `10.0.1.${index}:80`));
    }
  });

  function start(kind: CallKind): Promise<RequestReport> {
    const profile = configuration.services.find(({ name }) => name === 'engine')?.engine;
    if (profile === undefined) {
      throw new Error('the test configuration has no engines');
    }
    const signal = new AbortController().signal;
    const request = {
      ...simulatedRequest(clock, kind, caller, { maxAttempts: 3, signal }),
      deadlineAt: clock.now() + DEADLINE_MS,
    };
    return kind === CallKind.Stream
      ? forwardStream(node.dependencies, request, profile)
      : forwardCall(node.dependencies, request);
  }

  /** Freezes the process; its overdue timers run before anything is read. */
  async function freeze(ms: number): Promise<void> {
    clock.freeze(ms);
    await clock.advance(0);
  }

  describe.each([1_000, 2_000, 4_000, 8_000])('for %i ms', (frozenMs) => {
    it('takes the answer to a call that arrived meanwhile', async () => {
      const report = start(CallKind.Idempotent);
      await clock.advance(50);
      await freeze(frozenMs);
      running[0]?.onHead(200, ['Attempt', 'a1']);
      running[0]?.onData(Buffer.from('whole'));
      running[0]?.onEnd();
      await clock.advance(5_000);
      expect((await report).ending).toBe(RequestOutcome.Answered);
      expect(caller.body).toBe('whole');
      expect({ aborted, sent: running.length }).toEqual({ aborted: 0, sent: 1 });
    });

    it.each([
      ['before the first event', false],
      ['between two events', true],
    ])('takes the events that arrived meanwhile, %s', async (_when, hasEvent) => {
      const report = start(CallKind.Stream);
      await clock.advance(50);
      const [target] = running;
      target?.onHead(200, ['Attempt', 'a1']);
      if (hasEvent) {
        target?.onData(Buffer.from(EVENT));
      }
      await clock.advance(100);
      await freeze(frozenMs);
      target?.onData(Buffer.from(hasEvent ? REST : EVENT + REST));
      target?.onEnd();
      await clock.advance(5_000);
      expect((await report).ending).toBe(RequestOutcome.Answered);
      expect(caller.body).toBe(EVENT + REST);
      expect({ aborted, sent: running.length }).toEqual({ aborted: 0, sent: 1 });
    });

    it('replaces a target that stays silent afterwards', async () => {
      const report = start(CallKind.Idempotent);
      await clock.advance(50);
      await freeze(frozenMs);
      await clock.advance(1_000);
      expect(running).toHaveLength(2);
      running[1]?.onHead(200, ['Attempt', 'a1']);
      running[1]?.onEnd();
      await clock.advance(100);
      expect((await report).ending).toBe(RequestOutcome.Answered);
    });
  });
});

describe('a target whose entry was removed since it was slow to report', () => {
  it.each([
    ['a call that may run once', 'app', '/once/x'],
    ['a repeatable call', 'app', '/idempotent/x'],
  ])('ends %s that it runs, and gets no further one', async (_kind, service, path) => {
    const harness = new ForwardingHarness();
    await harness.start();
    let finish = (): void => undefined;
    await harness.addTarget('t1', service, (socket) => {
      finish = () => socket.write(answerText(200, [], 'whole'));
      harness.removeTarget('t1');
    });
    const answer = harness.post(path);
    while (harness.received.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    await harness.addTarget('t2', service, (socket) => socket.write(answerText(200, [], 'other')));
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(harness.received).toHaveLength(1);
    finish();
    expect(await answer).toContain('whole');
    expect(await harness.post(path)).toContain('other');
    await harness.stop();
  });
});
