import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  type BackgroundFailure,
  callContained,
  keepRunning,
  onBackgroundFailure,
  runInBackground,
} from './BackgroundWork.js';
import { ManualClock } from './ManualClock.js';
import type { Disposable } from './services/Services.js';

/** Guards against a process that ends since one piece of background work failed. */
describe('background work', () => {
  const defect = new Error('defect');
  let clock: ManualClock;
  let failures: BackgroundFailure[];
  let subscription: Disposable;

  beforeEach(() => {
    clock = new ManualClock();
    failures = [];
    subscription = onBackgroundFailure((failure) => {
      failures.push(failure);
    });
  });

  afterEach(() => {
    subscription.dispose();
  });

  describe('runInBackground', () => {
    it.each([
      ['rejects', () => Promise.reject(defect)],
      [
        'throws before its first wait',
        () => {
          throw defect;
        },
      ],
    ])('reports work that %s, once', async (_how, run) => {
      runInBackground('test.work', run);
      await clock.advance(0);
      expect(failures).toEqual([{ work: 'test.work', error: defect }]);
    });
  });

  describe('keepRunning', () => {
    it('starts work again after a failure, until it ends', async () => {
      let runs = 0;
      keepRunning(clock, new AbortController().signal, 'test.loop', async () => {
        await clock.sleep(10);
        if (++runs < 3) {
          throw defect;
        }
      });
      await clock.advance(60_000);
      expect(runs).toBe(3);
      expect(failures).toHaveLength(2);
    });

    it('pauses between two starts', async () => {
      let runs = 0;
      keepRunning(clock, new AbortController().signal, 'test.loop', () => {
        runs++;
        return Promise.reject(defect);
      });
      await clock.advance(10_000);
      expect(runs).toBeLessThanOrEqual(11);
    });

    it('does not start work again that was stopped', async () => {
      const stop = new AbortController();
      let runs = 0;
      keepRunning(clock, stop.signal, 'test.loop', () => {
        runs++;
        stop.abort();
        return Promise.reject(defect);
      });
      await clock.advance(10_000);
      expect(runs).toBe(1);
    });
  });

  describe('callContained', () => {
    it('reports an exception of a listener', () => {
      callContained('test.listener', () => {
        throw defect;
      });
      expect(failures).toEqual([{ work: 'test.listener', error: defect }]);
    });

    it('throws it if nothing listens to failures', () => {
      subscription.dispose();
      expect(() => {
        callContained('test.listener', () => {
          throw defect;
        });
      }).toThrow(defect);
    });
  });
});
