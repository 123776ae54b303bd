/** Tests of whether a node may admit requests under its configuration. */
import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import { ManualClock, TimeLine } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import type { ConfigurationFollower } from './ConfigurationFollower.js';
import { ConfigurationFreshness } from './ConfigurationFreshness.js';
import type { PeerCatchUp } from './PeerCatchUp.js';

const PAUSE_MS = 10_000;

describe('ConfigurationFreshness', () => {
  let clock: ManualClock;
  let membership: FixedMembership;
  const follower = { isReady: true, logReadStartedAt: 0 };
  const catchUp = { behindMs: 0, pullStartedAt: Number.NEGATIVE_INFINITY };

  function createFreshness(): ConfigurationFreshness {
    return new ConfigurationFreshness({
      clock,
      membership,
      follower: follower as unknown as ConfigurationFollower,
      catchUp: catchUp as unknown as PeerCatchUp,
      timeLine: new TimeLine(clock, 'a'),
    });
  }

  beforeEach(() => {
    clock = new ManualClock();
    const self = memberOf('a', '127.0.0.1:1');
    membership = new FixedMembership(self, [self]);
    follower.logReadStartedAt = 0;
    catchUp.pullStartedAt = Number.NEGATIVE_INFINITY;
  });

  describe('isFresh', () => {
    it('is true while the log responds', () => {
      expect(createFreshness().isFresh).toBe(true);
    });

    it('is false when neither the log nor a peer has responded recently', async () => {
      const freshness = createFreshness();
      await clock.advance(PAUSE_MS);
      expect(freshness.isFresh).toBe(false);
    });

    it('is true after a pause only once the log has answered a later read', async () => {
      const freshness = createFreshness();
      await clock.advance(PAUSE_MS);
      membership.resumedAt = clock.now();
      follower.logReadStartedAt = clock.now() - 1;
      expect(freshness.isFresh).toBe(false);
      follower.logReadStartedAt = clock.now();
      expect(freshness.isFresh).toBe(true);
    });

    it('is true after a pause once a peer has answered a later pull', async () => {
      const freshness = createFreshness();
      await clock.advance(PAUSE_MS);
      membership.resumedAt = clock.now();
      follower.logReadStartedAt = clock.now() - 1;
      catchUp.pullStartedAt = clock.now();
      expect(freshness.isFresh).toBe(true);
    });
  });
});
