/**
 * Tests of an owner's account: grants, missing reports, items of other owners, repeated requests.
 */
import { HeldKind, LengthClass, type LoadReport, TargetRole } from '@tanagerdyke/contracts';
import { type Target, TargetKind } from '@tanagerdyke/configuration';
import { ManualClock } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import type { ReserveRequest } from './Messages.js';
import { TargetAccount } from './TargetAccount.js';

const MEMORY_TOKENS = 100_000;
const TARGET: Target = {
  name: 'engine-0',
  kind: TargetKind.Engine,
  adapter: 'fake',
  address: 'http://127.0.0.1:1',
  versions: ['v'],
  role: TargetRole.General,
  memoryTokens: MEMORY_TOKENS,
  prefillTokensPerSecond: 20_000,
  decodeTokensPerSecond: 50,
  checksFencing: false,
  offersLookUp: false,
};
const REPORT: LoadReport = {
  incarnation: 'e1',
  running: 0,
  queued: 0,
  queuedPrefillTokens: 0,
  memoryTokens: MEMORY_TOKENS,
  memoryUsedTokens: 0,
  versions: ['v'],
  leaving: false,
};

function requestOf(id: string, change: Partial<ReserveRequest> = {}): ReserveRequest {
  return {
    target: TARGET.name,
    id,
    node: 'node-0',
    incarnation: 1,
    workspace: 'w',
    version: 'v',
    lengthClass: LengthClass.Short,
    prefillTokens: 2_000,
    prefixes: [],
    outputTokens: 10,
    memoryTokens: 2_010,
    remainingMs: 10_000,
    ...change,
  };
}

describe('TargetAccount', () => {
  let clock: ManualClock;
  let account: TargetAccount;

  beforeEach(() => {
    clock = new ManualClock();
    account = new TargetAccount(clock, TARGET);
  });

  describe('reserve', () => {
    it('charges a repeated id once', () => {
      account.reserve(requestOf('a'));
      expect(account.reserve(requestOf('a')).isGranted).toBe(true);
      expect(account.usedTokens).toBe(2_010);
    });

    it('refuses a request that cannot end before its deadline', () => {
      expect(account.reserve(requestOf('a', { remainingMs: 250 })).isGranted).toBe(false);
    });

    it('returns a retry time with a refusal', () => {
      for (const id of ['a', 'b', 'c', 'd', 'e']) {
        account.reserve(requestOf(id));
      }
      const response = account.reserve(requestOf('f'));
      expect(response.isGranted).toBe(false);
      expect(response.retryAfterMs).toBeGreaterThan(0);
    });
  });

  describe('without a load report', () => {
    it('grants only half of the memory', () => {
      const half = { memoryTokens: MEMORY_TOKENS / 2 };
      expect(account.reserve(requestOf('a', half)).isGranted).toBe(true);
      account.markStarted('a');
      expect(account.reserve(requestOf('b')).isGranted).toBe(false);
      account.applyEngineReport(REPORT, []);
      expect(account.reserve(requestOf('b')).isGranted).toBe(true);
    });
  });

  describe('with a stale load report', () => {
    it('keeps charging grants that the engine does not list yet', () => {
      account.reserve(requestOf('a'));
      account.applyEngineReport(REPORT, []);
      expect(account.usedTokens).toBe(2_010);
    });
  });

  describe('after a grant by another owner', () => {
    it('charges the items that the engine lists', () => {
      const item = {
        id: 'other',
        kind: HeldKind.Stream,
        node: 'node-1',
        incarnation: 1,
        tokens: MEMORY_TOKENS,
        expiresInMs: 10_000,
      };
      account.applyEngineReport(REPORT, [item]);
      expect(account.reserve(requestOf('a')).isGranted).toBe(false);
      account.releaseAll(['other', 'other']);
      expect(account.reserve(requestOf('a')).isGranted).toBe(true);
    });
  });

  describe('with a gang share that does not fit', () => {
    const share = { lengthClass: LengthClass.Gang, memoryTokens: MEMORY_TOKENS, prefillTokens: 1 };
    const half = { memoryTokens: MEMORY_TOKENS / 2, prefillTokens: 1 };

    beforeEach(() => {
      account.applyEngineReport(REPORT, []);
    });

    it('does not starve the gang when single prompts overlap', async () => {
      account.reserve(requestOf('single-0', half));
      let isGranted = false;
      for (let round = 1; round <= 4 && !isGranted; round++) {
        isGranted = account.reserve(requestOf(`gang-${round}`, share)).isGranted;
        account.reserve(requestOf(`single-${round}`, half));
        account.releaseAll([`single-${round - 1}`]);
        await clock.advance(250);
      }
      expect(isGranted).toBe(true);
    });

    it('sets memory aside only while the gang keeps requesting it', async () => {
      account.reserve(requestOf('single-0', half));
      account.reserve(requestOf('gang-1', share));
      expect(account.reserve(requestOf('single-1', half)).isGranted).toBe(false);
      await clock.advance(5_000);
      expect(account.reserve(requestOf('single-2', half)).isGranted).toBe(true);
    });
  });

  describe('when a grant is never released', () => {
    it('removes it after its deadline', async () => {
      account.reserve(requestOf('a'));
      await clock.advance(20_000);
      account.reserve(requestOf('b'));
      expect(account.items.map(({ id }) => id)).toEqual(['b']);
    });
  });
});
