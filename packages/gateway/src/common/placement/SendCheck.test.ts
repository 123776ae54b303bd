import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { ForwardingFixture, targetEntry } from '../../node/ForwardingFixture.js';
import { SendCheck, SendObstacle } from './SendCheck.js';

const PAUSE_MS = 1_000;
const CAUSE = 'request:x';
const LOW_RATE = 0.01;
const QUARANTINE = { cause: CAUSE, remainingMs: 10_000, targets: 3, trials: 0 };

describe('SendCheck', () => {
  let clock: ManualClock;
  let node: ForwardingFixture;
  let isAnswered: boolean;

  beforeEach(() => {
    isAnswered = false;
    clock = new ManualClock();
    node = new ForwardingFixture({
      clock,
      upstream: { send: () => ({ abort: ignore, pause: ignore, resume: ignore }) },
    });
    node.addTarget(targetEntry('t0', 'app', 't0:80'));
    node.addTarget({ ...targetEntry('reader', 'app', 'reader:80'), availabilityZone: 'b' });
  });

  function checkOf(rateKey = 'k', countedTargets = ['t0']): SendCheck {
    const target = targetEntry('t0', 'app', 't0:80');
    const chosen = {
      target,
      countedTargets,
      rateKey,
      causes: [CAUSE],
      isAnswered: () => isAnswered,
    };
    return new SendCheck(node.dependencies, chosen);
  }

  /** Uses up what a target with a low rate takes at once. */
  function exhaustRate(): void {
    const { rateLimits } = node.dependencies;
    rateLimits.applyStatement({ target: 't0', requestsPerSecond: LOW_RATE });
    for (let count = 0; rateLimits.permits('t0'); count++) {
      rateLimits.admit(['t0'], `other-${count}`);
    }
  }

  /** What is seen only when a request is written is no state that the check reads. */
  type CheckedObstacle = Exclude<SendObstacle, SendObstacle.Unsendable>;
  const CHANGES: Readonly<Record<CheckedObstacle, () => void>> = {
    [SendObstacle.NotAccepting]: () => {
      node.dependencies.targets.applyLeaving(targetEntry('t0', 'app', 't0:80'));
    },
    [SendObstacle.Paused]: () => {
      node.dependencies.pauses.record('t0', PAUSE_MS);
    },
    [SendObstacle.Quarantined]: () => {
      node.dependencies.quarantine.applyBlocked(QUARANTINE);
    },
    [SendObstacle.Suspect]: () => {
      node.dependencies.health.recordConnectionFailure('t0');
    },
    [SendObstacle.RateLimited]: exhaustRate,
    [SendObstacle.Answered]: () => {
      isAnswered = true;
    },
  };

  it('finds nothing while nothing changes', () => {
    expect(checkOf().findObstacle()).toBeUndefined();
  });

  it.each(Object.values(SendObstacle).filter((each) => each !== SendObstacle.Unsendable))(
    'withholds a request when its target or the request became %s',
    (obstacle) => {
      const check = checkOf();
      CHANGES[obstacle]();
      expect(check.findObstacle()).toBe(obstacle);
    },
  );

  it.each([
    ['of its target', 'a'],
    ['of an engine that prefills for its target', 'b'],
  ])('withholds a request while the zone %s is evacuated', (_whose, zone) => {
    const check = checkOf('k', ['t0', 'reader']);
    node.evacuate(zone);
    expect(check.findObstacle()).toBe(SendObstacle.NotAccepting);
    node.evacuate(zone, false);
    expect(check.findObstacle()).toBeUndefined();
  });

  it('finds nothing after a pause has ended', async () => {
    const check = checkOf();
    CHANGES[SendObstacle.Paused]();
    await clock.advance(PAUSE_MS);
    expect(check.findObstacle()).toBeUndefined();
  });

  describe('lets a request pass that was chosen', () => {
    it('as a trial of its quarantine', () => {
      CHANGES[SendObstacle.Quarantined]();
      expect(checkOf().findObstacle()).toBeUndefined();
    });

    it('though its target was suspect, for want of another one', () => {
      CHANGES[SendObstacle.Suspect]();
      expect(checkOf().findObstacle()).toBeUndefined();
    });

    it('and counted for the rate of its target', () => {
      const { rateLimits } = node.dependencies;
      rateLimits.applyStatement({ target: 't0', requestsPerSecond: LOW_RATE });
      rateLimits.admit(['t0'], 'k');
      const check = checkOf();
      exhaustRate();
      expect(check.findObstacle()).toBeUndefined();
    });
  });

  it('counts a request for a rate that was stated since it was chosen, once', () => {
    const { rateLimits } = node.dependencies;
    const counted: string[] = [];
    rateLimits.onRequest(({ request }) => counted.push(request));
    const check = checkOf();
    rateLimits.applyStatement({ target: 't0', requestsPerSecond: 1 });
    expect([check.findObstacle(), check.findObstacle()]).toEqual([undefined, undefined]);
    expect(counted).toEqual(['k']);
  });
});

function ignore(): void {
  // The test sends nothing.
}
