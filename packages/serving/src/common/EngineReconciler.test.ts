/**
 * Tests of freeing abandoned items after a node's death, a lost response, an engine restart, and a
 * false suspicion.
 */
import type { Target } from '@tanagerdyke/configuration';
import { HeldKind, type HeldItem, type LoadReport } from '@tanagerdyke/contracts';
import { FixedMembership, MemoryNetwork, memberOf, type MemoryTransport } from '@tanagerdyke/fakes';
import {
  ErrorKind,
  ManualClock,
  Metrics,
  SeededRandom,
  ServiceError,
  TimeLine,
} from '@tanagerdyke/kernel';
import { type Member, MemberStatus } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AttemptRegistry } from './AttemptRegistry.js';
import { EngineReconciler, type ReconcilerOptions } from './EngineReconciler.js';
import { TargetAccount } from './TargetAccount.js';

const TARGET = { name: 't', memoryTokens: 1_000, prefillTokensPerSecond: 1_000 } as Target;
/** Time within which an item must be freed after its node is dead or no longer lists it. */
const FREE_BOUND_MS = 10_000;

/** A fake engine that models only held memory. */
class MemoryEngine {
  public readonly items = new Map<string, HeldItem>();
  public incarnation = 'first';
  /** Whether the response to `free` is lost after the items were freed. */
  public dropsFreeResponses = false;
  public isDead = false;

  public load(): Promise<Result<LoadReport, ServiceError>> {
    const load = { running: 0, queued: 0, queuedPrefillTokens: 0 };
    const memory = { memoryTokens: 1_000, memoryUsedTokens: 0, versions: [], leaving: false };
    return this._respond({ incarnation: this.incarnation, ...load, ...memory });
  }

  public held(): Promise<Result<readonly HeldItem[], ServiceError>> {
    return this._respond([...this.items.values()]);
  }

  public cacheEvents(): Promise<Result<readonly [], ServiceError>> {
    return this._respond([]);
  }

  public free(ids: readonly string[]): Promise<Result<undefined, ServiceError>> {
    if (!this.isDead) {
      ids.forEach((id) => this.items.delete(id));
    }
    return this.dropsFreeResponses
      ? Promise.resolve(Result.err(noResponse()))
      : this._respond(undefined);
  }

  /** Restarts the engine, which then holds nothing. */
  public restart(): void {
    this.items.clear();
    this.incarnation = 'second';
  }

  private _respond<T>(value: T): Promise<Result<T, ServiceError>> {
    return Promise.resolve(this.isDead ? Result.err(noResponse()) : Result.ok(value));
  }
}

describe('EngineReconciler', () => {
  let clock: ManualClock;
  let engine: MemoryEngine;
  let owner: Member;
  let entry: Member;
  let membership: FixedMembership;
  let entryTransport: MemoryTransport;
  let entryAttempts: AttemptRegistry;
  let ownAttempts: AttemptRegistry;
  let account: TargetAccount;
  let reconciler: EngineReconciler;

  /** Adds a held item to the engine and registers its attempt at the entry node. */
  function hold(id: string, kind: HeldKind, node = entry): void {
    const { name, startedAt } = node;
    const size = { tokens: 100, expiresInMs: 600_000 };
    engine.items.set(id, { id, kind, node: name, incarnation: startedAt, ...size });
    entryAttempts.add('t', id);
  }

  beforeEach(() => {
    clock = new ManualClock();
    engine = new MemoryEngine();
    owner = memberOf('owner', '127.0.0.1:1');
    entry = memberOf('entry', '127.0.0.1:2');
    membership = new FixedMembership(owner, [owner, entry]);
    const network = new MemoryNetwork(clock, new SeededRandom(1));
    const transport = network.join(owner.peerAddress);
    entryTransport = network.join(entry.peerAddress);
    entryAttempts = new AttemptRegistry(entryTransport);
    ownAttempts = new AttemptRegistry(transport);
    account = new TargetAccount(clock, TARGET);
    const directory = {
      find: () => ({ target: TARGET }),
      engine: () => Result.ok(engine),
      setTargetLeaving: () => undefined,
    } as unknown as ReconcilerOptions['directory'];
    reconciler = new EngineReconciler({
      clock,
      transport,
      membership,
      directory,
      attempts: ownAttempts,
      timeLine: new TimeLine(clock, 'owner'),
      metrics: new Metrics(),
    });
    void reconciler.reconcileWhile(account, () => true);
  });

  afterEach(() => {
    reconciler.dispose();
  });

  function killEntry(): void {
    membership.applyUpdate({ ...entry, status: MemberStatus.Dead });
    entryTransport.isFrozen = true;
  }

  function reviveEntry(): void {
    entryTransport.isFrozen = false;
    membership.applyUpdate({ ...entry, incarnation: entry.incarnation + 1 });
  }

  describe.each(Object.values(HeldKind))('item of kind %s', (kind) => {
    it('is kept while its entry node lists it as live', async () => {
      hold('i', kind);
      await clock.advance(60_000);
      expect([...engine.items.keys()]).toEqual(['i']);
      expect(account.usedTokens).toBe(100);
    });

    it('is freed within the bound after its entry node died', async () => {
      hold('i', kind);
      await clock.advance(5_000);
      killEntry();
      await clock.advance(FREE_BOUND_MS);
      expect(engine.items.size).toBe(0);
      expect(account.usedTokens).toBe(0);
    });

    it('is freed if its attempt ended and the release was lost', async () => {
      hold('i', kind);
      await clock.advance(5_000);
      entryAttempts.delete('t', 'i');
      await clock.advance(FREE_BOUND_MS);
      expect(engine.items.size).toBe(0);
      expect(account.usedTokens).toBe(0);
    });

    it('is freed and no longer charged even if the response of the engine was lost', async () => {
      hold('i', kind);
      await clock.advance(5_000);
      killEntry();
      engine.dropsFreeResponses = true;
      await clock.advance(FREE_BOUND_MS);
      engine.dropsFreeResponses = false;
      await clock.advance(FREE_BOUND_MS);
      expect(engine.items.size).toBe(0);
      expect(account.usedTokens).toBe(0);
    });

    it('is freed by a new owner that has no record of it', async () => {
      hold('i', kind, { ...entry, startedAt: 0 });
      await clock.advance(FREE_BOUND_MS);
      expect(engine.items.size).toBe(0);
    });

    it('is no longer charged after the engine lost it in a restart', async () => {
      hold('i', kind);
      await clock.advance(5_000);
      engine.isDead = true;
      await clock.advance(5_000);
      engine.isDead = false;
      engine.restart();
      await clock.advance(FREE_BOUND_MS);
      expect(account.usedTokens).toBe(0);
    });
  });

  describe('entry node that is falsely declared dead', () => {
    it('keeps its streams if it is live again within the grace period', async () => {
      hold('i', HeldKind.Stream);
      await clock.advance(5_000);
      killEntry();
      await clock.advance(3_000);
      reviveEntry();
      await clock.advance(60_000);
      expect(engine.items.size).toBe(1);
    });

    it('gets the full grace period the next time', async () => {
      hold('i', HeldKind.Stream);
      await clock.advance(5_000);
      killEntry();
      await clock.advance(3_000);
      engine.items.clear();
      account.releaseAll(['i']);
      reviveEntry();
      await clock.advance(60_000);
      hold('j', HeldKind.Stream);
      killEntry();
      await clock.advance(3_000);
      reviveEntry();
      await clock.advance(10_000);
      expect([...engine.items.keys()]).toEqual(['j']);
    });
  });
});

function noResponse(): ServiceError {
  return new ServiceError(ErrorKind.TargetFailed, 'no response', { remedy: 'retry' });
}
