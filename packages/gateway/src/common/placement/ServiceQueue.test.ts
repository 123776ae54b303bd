/** Which calls wait, in which order they are sent and when they are refused. */
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import { engineEntry } from './PlacementFixtures.js';
import { ServiceLoad } from './ServiceLoad.js';
import { type CallDecision, CallTurn, type PendingCall, ServiceQueue } from './ServiceQueue.js';

const FAST_MS = 10;
const DUE_MS = 200;

describe('ServiceQueue', () => {
  const entry: TargetEntry = { ...engineEntry('t', 1), service: 'app' };
  let clock: ManualClock;
  let load: ServiceLoad;
  let queue: ServiceQueue;
  let inFlight: PendingCall | undefined;
  let decided: { readonly call: string; readonly decision: CallDecision }[];

  beforeEach(async () => {
    clock = new ManualClock();
    const log = new DecisionLog(clock, 'n', () => true);
    load = new ServiceLoad({ clock, log, liveNodes: () => 1 });
    queue = new ServiceQueue({
      serviceLoad: load,
      acceptingTargets: () => [entry],
      liveNodes: () => 1,
    });
    decided = [];
    inFlight = undefined;
    await clock.advance(FAST_MS);
    load.recordAnswer(entry, 0);
  });

  function callOf(call: string, changes: Partial<PendingCall> = {}): PendingCall {
    const now = clock.now();
    return {
      service: 'app',
      workspace: call,
      isReturning: false,
      arrivedAt: now,
      dueAt: now + DUE_MS,
      ...changes,
    };
  }

  function add(call: string, changes: Partial<PendingCall> = {}): () => void {
    const pending = callOf(call, changes);
    return queue.add(pending, clock.now(), (decision) => {
      decided.push({ call, decision });
      inFlight = decision === CallTurn.Sent ? pending : inFlight;
    });
  }

  function endLast(): void {
    if (inFlight !== undefined) {
      queue.recordEnd(inFlight, clock.now());
    }
  }

  const sent = (): readonly string[] =>
    decided.filter(({ decision }) => decision === CallTurn.Sent).map(({ call }) => call);

  it('sends every call at once while no target was full, even if answers are late', async () => {
    await clock.advance(1_000);
    load.recordAnswer(entry, clock.now() - 500);
    add('a');
    add('b');
    expect(sent()).toEqual(['a', 'b']);
  });

  describe('after a target was full', () => {
    beforeEach(() => {
      load.recordFull(entry);
      add('first');
    });

    it('sends as many calls as the slots take, and the next one when one ends', () => {
      add('second');
      expect(sent()).toEqual(['first']);
      endLast();
      expect(sent()).toEqual(['first', 'second']);
    });

    it('sends returning callers before new ones', () => {
      add('new');
      add('returning', { isReturning: true });
      endLast();
      expect(sent()).toEqual(['first', 'returning']);
    });

    it('sends a later call of another workspace before the second one of a workspace', async () => {
      add('many-1', { workspace: 'many' });
      add('many-2', { workspace: 'many' });
      await clock.advance(20);
      add('other');
      await clock.advance(80);
      queue.evaluate(clock.now());
      expect(sent()).toEqual(['first', 'many-1', 'other', 'many-2']);
    });

    it('counts the calls of a workspace in flight', async () => {
      add('first-2', { workspace: 'first' });
      await clock.advance(20);
      add('other');
      await clock.advance(80);
      queue.evaluate(clock.now());
      expect(sent()).toEqual(['first', 'other', 'first-2']);
    });

    it('refuses at once what can not be answered in time, with a time to retry', () => {
      add('urgent', { dueAt: clock.now() + 1 });
      expect(decided.at(-1)?.call).toBe('urgent');
      const retryAfterMs = (decided.at(-1)?.decision as { retryAfterMs?: number }).retryAfterMs;
      expect(retryAfterMs).toBeGreaterThan(0);
    });

    it('keeps the number of waiting calls bounded', () => {
      for (let count = 0; count < 100; count++) {
        add(`w${count}`, { dueAt: clock.now() + 60_000 });
      }
      expect(queue.size).toBe(24);
    });

    it('sends the waiting calls once the queue of the target has drained', async () => {
      add('second');
      await clock.advance(100);
      queue.evaluate(clock.now());
      expect(sent()).toEqual(['first', 'second']);
    });

    it('forgets a call that is withdrawn', () => {
      add('second')();
      endLast();
      expect(sent()).toEqual(['first']);
    });
  });
});
