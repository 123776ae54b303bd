/**
 * Slow but sound streams that were cut, and stalled streams that sent a byte now and then and never
 * ended: only whole events count as progress.
 */
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind, type EngineProfile } from '../common/Messages.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { configuration, ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import type { RequestSender } from './Upstream.js';

const DEADLINE_MS = 30_000;
const EVENTS = 8;
const UNFRAMED_HEAD = ['Attempt', 'a1'];
const HEAD = [...UNFRAMED_HEAD, 'Transfer-Encoding', 'chunked'];

/** A part of an answer and the time before it. */
interface Piece {
  readonly afterMs: number;
  readonly text: string;
}

function eventOf(id: number): string {
  return `id: ${id}\ndata: event ${id}\n\n`;
}

function eventsOf(first: number, last: number): string {
  return Array.from({ length: last - first + 1 }, (_each, index) => eventOf(first + index)).join(
    '',
  );
}

/** The events after one, each after the pause with its id. */
function paced(after: number, pauseMs: (id: number) => number): Piece[] {
  return Array.from({ length: EVENTS - after }, (_each, index) => after + index + 1).map((id) => ({
    afterMs: pauseMs(id),
    text: eventOf(id),
  }));
}

/** A text that is repeated until long after the deadline. */
function trickle(text: string): Piece[] {
  return Array.from({ length: 150 }, () => ({ afterMs: 300, text }));
}

/** Answers of the targets: the pieces for an attempt that continues after an event. */
type Script = (attempt: number, after: number) => readonly Piece[];

describe('a stream that is slow or stalled', () => {
  let clock: ManualClock;
  let node: ForwardingFixture;
  let caller: SimulatedCaller;
  let sentTo: string[];
  let script: Script;
  let head: readonly string[];
  let answeredAt: number;

  const sender: RequestSender = {
    send: ({ id }, _connections, { headers }, observer) => {
      sentTo.push(id);
      const last = headers.indexOf('Last');
      const pieces = script(sentTo.length, last === -1 ? 0 : Number(headers[last + 1]));
      let isOpen = true;
      let at = 10;
      const later = (action: () => void): void => {
        clock.schedule(at, () => {
          if (isOpen) {
            action();
          }
        });
      };
      later(() => {
        observer.onSendStart();
        observer.onHead(200, head);
      });
      for (const { afterMs, text } of pieces) {
        at += afterMs;
        later(() => {
          observer.onData(Buffer.from(text));
        });
      }
      later(() => {
        observer.onEnd();
      });
      return {
        abort: () => {
          isOpen = false;
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
    head = HEAD;
    node = new ForwardingFixture({ clock, upstream: sender });
  });

  function addTargets(count: number): void {
    for (let index = 0; index < count; index++) {
      node.addTarget(targetEntry(`engine-${index}`, 'engine', `10.0.0.${index}:80`));
      node.addTarget(targetEntry(`app-${index}`, 'app', `10.0.1.${index}:80`));
    }
  }

  function engineProfile(): EngineProfile {
    const profile = configuration.services.find(({ name }) => name === 'engine')?.engine;
    if (profile === undefined) {
      throw new Error('the test configuration has no engines');
    }
    return profile;
  }

  /** Sends a request and waits until long after its deadline. */
  async function request(
    kind: CallKind,
    options: { maxAttempts?: number; promptTokens?: number; profile?: EngineProfile } = {},
  ): Promise<RequestReport> {
    const { maxAttempts = 3, profile = engineProfile(), promptTokens = 1_000 } = options;
    const signal = new AbortController().signal;
    const forwarded = {
      ...simulatedRequest(clock, kind, caller, { maxAttempts, promptTokens, signal }),
      deadlineAt: clock.now() + DEADLINE_MS,
    };
    const startedAt = clock.now();
    const report =
      kind === CallKind.Stream
        ? forwardStream(node.dependencies, forwarded, profile)
        : forwardCall(node.dependencies, forwarded);
    void report.then(() => {
      answeredAt = clock.now() - startedAt;
    });
    await clock.advance(DEADLINE_MS + 5_000);
    return report;
  }

  describe('of a target that is stalled and sends now and then', () => {
    const fragments: readonly (readonly [string, string])[] = [
      ['a byte', 'd'],
      ['a comment', ': ping\n\n'],
      ['an empty line', '\n\n'],
      ['a part of an event', 'data: token\n'],
      ['a name of an event without data', 'event: ping\n\n'],
      ['a time to reconnect', 'retry: 100\n\n'],
    ];

    it.each(fragments)(
      'is resumed on another engine after an event and %s',
      async (_what, text) => {
        addTargets(2);
        script = (attempt, after) =>
          attempt === 1
            ? [{ afterMs: 10, text: eventOf(1) }, ...trickle(text)]
            : paced(after, () => 10);
        expect((await request(CallKind.Stream)).ending).toBe(RequestOutcome.Answered);
        expect(sentTo).toHaveLength(2);
        expect(answeredAt).toBeLessThan(2_500);
        expect(caller.isComplete).toBe(true);
        expect(caller.body.replaceAll(text, '')).toBe(eventsOf(1, EVENTS).replaceAll(text, ''));
      },
    );

    it.each(fragments)('gets its first event from another engine after %s', async (_what, text) => {
      addTargets(2);
      script = (attempt, after) => (attempt === 1 ? trickle(text) : paced(after, () => 10));
      const report = await request(CallKind.Stream);
      expect(report.ending).toBe(RequestOutcome.Answered);
      expect(sentTo).toHaveLength(2);
      expect(report.firstEventMs).toBeGreaterThan(1_000);
      expect(caller.body).toContain(eventOf(EVENTS));
    });

    it.each(fragments)('ends at its deadline without another engine: %s', async (_what, text) => {
      addTargets(1);
      script = () => [{ afterMs: 10, text: eventOf(1) }, ...trickle(text)];
      expect((await request(CallKind.Stream)).ending).toBe(RequestOutcome.Aborted);
      expect(answeredAt).toBeLessThanOrEqual(DEADLINE_MS + 10);
      expect(caller.isComplete).toBe(false);
    });

    it('does not take comments for the rest of a stream without a stated end', async () => {
      addTargets(2);
      head = UNFRAMED_HEAD;
      script = (attempt) =>
        attempt === 1
          ? [{ afterMs: 10, text: eventOf(1) }, ...trickle('d')]
          : [{ afterMs: 10, text: ': bye\n\n' }];
      const report = await request(CallKind.Stream, { maxAttempts: 2 });
      expect(report.ending).toBe(RequestOutcome.Aborted);
      expect(caller.isComplete).toBe(false);
    });
  });

  describe('of engines that are slow but sound', () => {
    it('stays on its engine when its events come steadily with long pauses', async () => {
      addTargets(3);
      const pauses = [100, 1_400, 1_400, 1_400];
      script = (_attempt, after) => paced(after, (id) => pauses[id - 1] ?? 1_900);
      expect((await request(CallKind.Stream)).ending).toBe(RequestOutcome.Answered);
      expect(sentTo).toHaveLength(1);
      expect(caller.body).toBe(eventsOf(1, EVENTS));
    });

    it('is whole when every engine begins later than predicted', async () => {
      addTargets(4);
      script = (_attempt, after) => paced(after, (id) => (id === after + 1 ? 2_600 : 50));
      expect((await request(CallKind.Stream)).ending).toBe(RequestOutcome.Answered);
      expect(caller).toMatchObject({ body: eventsOf(1, EVENTS), isComplete: true });
    });

    it('is whole when every engine pauses for longer than the limit', async () => {
      addTargets(4);
      script = (_attempt, after) => paced(after, () => 1_800);
      expect((await request(CallKind.Stream)).ending).toBe(RequestOutcome.Answered);
      expect(caller).toMatchObject({ body: eventsOf(1, EVENTS), isComplete: true });
    });

    it('stays on its engine while another one would take longer for the prompt', async () => {
      addTargets(3);
      script = (_attempt, after) => paced(after, (id) => (id <= 2 ? 2_200 : 50));
      const profile = { ...engineProfile(), prefillTokensPerMs: 40 };
      const report = await request(CallKind.Stream, { promptTokens: 90_000, profile });
      expect(report.ending).toBe(RequestOutcome.Answered);
      expect(report.expectedMs).toBeGreaterThan(2_200);
      expect(sentTo).toHaveLength(1);
      expect(caller.body).toBe(eventsOf(1, EVENTS));
    });
  });

  describe('to a caller that reads slowly', () => {
    /** The caller's connection takes nothing for a while after the first event. */
    function blockFor(blockedMs: number): void {
      const write = caller.write.bind(caller);
      let isFirst = true;
      caller.write = (bytes: Buffer): boolean => {
        write(bytes);
        if (!isFirst) {
          return true;
        }
        isFirst = false;
        clock.schedule(blockedMs, () => caller.emit('drain'));
        return false;
      };
    }

    it('stays on its engine, which could not send meanwhile', async () => {
      addTargets(2);
      blockFor(6_000);
      script = (_attempt, after) => paced(after, (id) => (id === 2 ? 7_000 : 20));
      expect((await request(CallKind.Stream)).ending).toBe(RequestOutcome.Answered);
      expect(sentTo).toHaveLength(1);
      expect(caller.body).toBe(eventsOf(1, EVENTS));
    });

    it('ends at its deadline if the caller never reads on', async () => {
      addTargets(2);
      blockFor(DEADLINE_MS * 2);
      script = () => [{ afterMs: 10, text: eventOf(1) }, ...trickle('')];
      expect((await request(CallKind.Stream)).ending).toBe(RequestOutcome.Aborted);
      expect(answeredAt).toBeLessThanOrEqual(DEADLINE_MS + 10);
    });
  });

  describe('of a call, whose answer is buffered', () => {
    it('is answered by another target when the first one sends a byte now and then', async () => {
      addTargets(2);
      script = (attempt) => (attempt === 1 ? trickle('x') : [{ afterMs: 10, text: 'whole' }]);
      expect((await request(CallKind.Idempotent)).ending).toBe(RequestOutcome.Answered);
      expect(caller).toMatchObject({ body: 'whole', isComplete: true });
      expect(answeredAt).toBeLessThan(1_000);
    });

    it('ends at its deadline if it may run once', async () => {
      addTargets(2);
      script = () => trickle('x');
      expect((await request(CallKind.NonIdempotent)).ending).toBe(RequestOutcome.TimedOut);
      expect(sentTo).toHaveLength(1);
      expect(answeredAt).toBeLessThanOrEqual(DEADLINE_MS + 10);
    });
  });
});
