/** Plays targets that refuse a request and ask for a pause, behind the real forwarders. */
import { ErrorKind, ManualClock, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { CallKind } from '../common/Messages.js';
import type { EngineReservations } from '../common/services/Services.js';
import { forwardCall } from './CallForwarder.js';
import { RequestOutcome, type RequestReport } from './ForwardedRequest.js';
import { ForwardingFixture, targetEntry, noReservations } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import { forwardStream } from './StreamForwarder.js';
import { type RequestSender, WithheldRequest } from './Upstream.js';

const ANSWER_MS = 15;
const REQUEST_INTERVAL_MS = 50;
const PAUSE_MS = 2_000;
/** Time from the first refusal after which the pause is checked. */
const NOTICE_MS = 500;
const MAX_IN_PAUSE = 2;
/** Time for calls that wait for a target, and for prompts that wait for capacity. */
const TARGET_WAIT_MS = 800;

const SERVICES: Record<CallKind, string> = {
  [CallKind.Idempotent]: 'app',
  [CallKind.NonIdempotent]: 'app',
  [CallKind.Stream]: 'engine',
};

interface TimedReport extends RequestReport {
  readonly tookMs: number;
}

describe('a target that asks for a pause', () => {
  let clock: ManualClock;
  let pausing: Set<string>;
  let arrivals: { readonly id: string; readonly at: number }[];
  /** Headers by which a refusal is known to be that of the request, and not run. */
  let identity: readonly string[];
  let callers: SimulatedCaller[];
  let node: ForwardingFixture;

  const sender: RequestSender = {
    send: ({ id }, _connections, _request, observer) => {
      arrivals.push({ id, at: clock.now() });
      let isAborted = false;
      clock.schedule(ANSWER_MS, () => {
        const isPausing = pausing.has(id);
        observer.onSendStart();
        observer.onHead(isPausing ? 503 : 200, [
          ...(isPausing ? [...identity, 'Pause', String(PAUSE_MS)] : ['Attempt', 'a1']),
        ]);
        if (!isAborted) {
          observer.onData(Buffer.from('id: 1\ndata: x\n\n'));
          observer.onEnd();
        }
      });
      const abort = (): void => {
        isAborted = true;
      };
      return { abort, pause: () => undefined, resume: () => undefined };
    },
  };

  beforeEach(() => {
    clock = new ManualClock();
    pausing = new Set();
    arrivals = [];
    identity = ['Attempt', 'a1', 'Not-Run', '1'];
    callers = [];
    node = new ForwardingFixture({ clock, upstream: sender });
  });

  async function send(
    kind: CallKind,
    durationMs: number,
    { promptTokens = 1_000, settleMs = TARGET_WAIT_MS } = {},
  ): Promise<TimedReport[]> {
    const reports: Promise<TimedReport>[] = [];
    for (let passedMs = 0; passedMs < durationMs; passedMs += REQUEST_INTERVAL_MS) {
      const caller = new SimulatedCaller();
      callers.push(caller);
      const request = simulatedRequest(clock, kind, caller, {
        maxAttempts: 2,
        promptTokens,
        signal: new AbortController().signal,
      });
      const { engine } = request.service;
      const startedAt = clock.now();
      const forwarded =
        engine === undefined || kind !== CallKind.Stream
          ? forwardCall(node.dependencies, request)
          : forwardStream(node.dependencies, request, engine);
      reports.push(forwarded.then((report) => ({ ...report, tookMs: clock.now() - startedAt })));
      await clock.advance(REQUEST_INTERVAL_MS);
    }
    await clock.advance(settleMs);
    return Promise.all(reports);
  }

  function countArrivals(id: string, from: number, until: number): number {
    return arrivals.filter((each) => each.id === id && each.at >= from && each.at < until).length;
  }

  describe.each([
    ['idempotent calls', CallKind.Idempotent],
    ['calls that may not be repeated', CallKind.NonIdempotent],
    ['streams', CallKind.Stream],
  ])('for %s', (_name, kind) => {
    it('gets at most two during it, and all are served by another one', async () => {
      pausing.add('t0');
      for (const id of ['t0', 't1']) {
        node.addTarget(targetEntry(id, SERVICES[kind], `${id}:80`));
      }
      const reports = await send(kind, PAUSE_MS);
      const first = arrivals.find(({ id }) => id === 't0')?.at ?? Number.NaN;
      expect(first).toBeGreaterThanOrEqual(0);
      expect(countArrivals('t0', first + NOTICE_MS, first + PAUSE_MS)).toBeLessThanOrEqual(
        MAX_IN_PAUSE,
      );
      expect(new Set(reports.map(({ ending }) => ending))).toEqual(
        new Set([RequestOutcome.Answered]),
      );
    });

    it('is used again after it', async () => {
      pausing.add('t0');
      node.addTarget(targetEntry('t0', SERVICES[kind], 't0:80'));
      await send(kind, 200);
      pausing.clear();
      await clock.advance(PAUSE_MS);
      const reports = await send(kind, 200);
      expect(new Set(reports.map(({ ending }) => ending))).toEqual(
        new Set([RequestOutcome.Answered]),
      );
    });

    it('in a refusal without the id of the request gets at most two during it', async () => {
      identity = [];
      pausing.add('t0');
      node.addTarget(targetEntry('t0', SERVICES[kind], 't0:80'));
      await send(kind, PAUSE_MS, { settleMs: PAUSE_MS });
      expect(countArrivals('t0', NOTICE_MS, PAUSE_MS)).toBeLessThanOrEqual(MAX_IN_PAUSE);
    });

    it('as the only one lets callers return spread over time, none before its end', async () => {
      pausing.add('t0');
      node.addTarget(targetEntry('t0', SERVICES[kind], 't0:80'));
      await send(kind, 200);
      callers = [];
      const sentAt = clock.now();
      await send(kind, 500);
      const returns = callers.map(
        ({ headers }, index) => sentAt + index * REQUEST_INTERVAL_MS + retryAfterMsOf(headers),
      );
      expect(Math.min(...returns)).toBeGreaterThanOrEqual(PAUSE_MS);
      expect(Math.max(...returns) - Math.min(...returns)).toBeGreaterThan(200);
    });

    it('as the only one makes a refusal at once, which says when it ends', async () => {
      pausing.add('t0');
      node.addTarget(targetEntry('t0', SERVICES[kind], 't0:80'));
      await send(kind, 200);
      callers = [];
      const [report] = await send(kind, REQUEST_INTERVAL_MS);
      expect(report?.ending).toBe(RequestOutcome.Refused);
      expect(report?.tookMs).toBeLessThan(ANSWER_MS);
      const headers = callers[0]?.headers ?? [];
      const retryAfterMs = retryAfterMsOf(headers);
      expect(retryAfterMs).toBeGreaterThan(PAUSE_MS - 2 * NOTICE_MS);
      expect(retryAfterMs).toBeLessThanOrEqual(PAUSE_MS);
    });
  });

  it('while a retry waits for it makes that retry spend the budget once', async () => {
    const answering: RequestSender = {
      send: ({ id }, _connections, _request, observer) => {
        if (id === 't1') {
          node.dependencies.pauses.record(id, PAUSE_MS);
        }
        const obstacle = observer.findObstacle();
        clock.schedule(ANSWER_MS, () => {
          if (obstacle !== undefined) {
            observer.onError(new WithheldRequest(obstacle));
            return;
          }
          observer.onSendStart();
          observer.onHead(id === 't0' ? 503 : 200, [
            ...['Attempt', 'a1'],
            ...(id === 't0' ? ['Not-Run', '1'] : []),
          ]);
          observer.onEnd();
        });
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
      },
    };
    node = new ForwardingFixture({ clock, upstream: answering, budgetAllowance: 1.5 });
    for (const id of ['t0', 't1', 't2']) {
      node.addTarget(targetEntry(id, 'app', `${id}:80`));
    }
    const [report] = await send(CallKind.Idempotent, REQUEST_INTERVAL_MS);
    expect(report).toMatchObject({ ending: RequestOutcome.Answered, targets: 't0 t2' });
  });

  describe('in the refusal of a reservation', () => {
    /** More than one engine holds. */
    const PROMPT_TOKENS = 150_000;

    it('gets at most two requests and reservations during it', async () => {
      const engineReservations: EngineReservations = {
        ...noReservations,
        reserve: ({ id }) => {
          arrivals.push({ id, at: clock.now() });
          const details = { remedy: 'none', retryAfterMs: PAUSE_MS };
          return Promise.resolve(
            id === 't0'
              ? Result.err(new ServiceError(ErrorKind.TargetFailed, 'paused', details))
              : Result.ok(undefined),
          );
        },
      };
      node = new ForwardingFixture({ clock, upstream: sender, engineReservations });
      for (const id of ['t0', 't1', 't2']) {
        node.addTarget(targetEntry(id, 'engine', `${id}:80`));
      }
      await send(CallKind.Stream, PAUSE_MS, { promptTokens: PROMPT_TOKENS });
      expect(arrivals.some(({ id }) => id === 't0')).toBe(true);
      expect(countArrivals('t0', NOTICE_MS, PAUSE_MS)).toBeLessThanOrEqual(MAX_IN_PAUSE);
    });
  });
});

function retryAfterMsOf(headers: readonly string[]): number {
  return Number(headers[headers.indexOf('Retry-After') + 1]) * 1_000;
}
