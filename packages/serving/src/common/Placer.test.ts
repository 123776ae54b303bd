/**
 * Tests of placement: gangs reserve all engines or none without deadlock; owners may be
 * unreachable.
 */
import type { Engine, HeldItem } from '@tanagerdyke/contracts';
import {
  type Configuration,
  type Host,
  type HostedTarget,
  ObjectKind,
  objectSchema,
  ObjectSet,
  type Route,
  type Workspace,
} from '@tanagerdyke/configuration';
import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import {
  Emitter,
  ErrorKind,
  ManualClock,
  NotRun,
  Registry,
  SeededRandom,
  ServiceError,
  TimeLine,
} from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { AttemptRegistry } from './AttemptRegistry.js';
import type { ReserveRequest, ReserveResponse } from './Messages.js';
import { type Placement, Placer } from './Placer.js';
import type { CompletionRequest, PlacementPolicy, Reservations } from './services/Services.js';
import { TargetDirectory } from './TargetDirectory.js';

const SEED = 7;
const ENGINES = ['e0', 'e1', 'e2'];
const MEMORY_TOKENS = 100_000;
const GANG_TOKENS = 250_000;
const DEADLINE_MS = 120_000;
const WAIT_MS = 2_000;

/** Grants one reservation per engine. */
class SingleSlotReservations implements Reservations {
  public readonly holders = new Map<string, string>();
  public readonly unreachable = new Set<string>();
  public readonly released: string[] = [];

  public backlogOf(): number {
    return 0;
  }

  public lacksVersion(): boolean {
    return false;
  }

  public reserve(
    { target }: HostedTarget,
    { id }: ReserveRequest,
  ): Promise<Result<ReserveResponse, ServiceError>> {
    if (this.unreachable.has(target.name)) {
      return Promise.resolve(Result.err(linkFailed()));
    }
    const isGranted = !this.holders.has(target.name);
    if (isGranted) {
      this.holders.set(target.name, id);
    }
    return Promise.resolve(Result.ok(responseOf(isGranted)));
  }

  public markStarted(): Promise<void> {
    return Promise.resolve();
  }

  public release({ target }: HostedTarget, id: string): Promise<void> {
    this.released.push(target.name);
    if (this.holders.get(target.name) === id) {
      this.holders.delete(target.name);
    }
    return Promise.resolve();
  }
}

function responseOf(isGranted: boolean): ReserveResponse {
  return {
    isGranted,
    hasVersion: true,
    isLeaving: false,
    estimateMs: 0,
    retryAfterMs: 50,
    hint: { freeTokens: 0, backlogMs: [0, 0, 0], running: 0 },
  };
}

function linkFailed(): ServiceError {
  return new ServiceError(ErrorKind.LinkFailed, 'no response', {
    remedy: 'retry',
    notRun: NotRun.Unknown,
  });
}

function recordingEngine(held: HeldItem[]): Engine {
  const done = (): ReturnType<Engine['hold']> => Promise.resolve(Result.ok(undefined));
  return {
    hold: (item: HeldItem) => {
      held.push(item);
      return done();
    },
    free: done,
  } as unknown as Engine;
}

function objects(): ObjectSet {
  const hosts = ENGINES.map((name) => ({
    kind: ObjectKind.Host,
    name: `host-${name}`,
    region: 'r',
    availabilityZone: 'z',
    targets: [
      {
        name,
        kind: 'engine',
        adapter: 'fake',
        address: 'http://127.0.0.1:1',
        versions: ['v'],
        memoryTokens: MEMORY_TOKENS,
        prefillTokensPerSecond: 20_000,
        decodeTokensPerSecond: 50,
      },
    ],
  }));
  return ObjectSet.of(hosts.map((host) => objectSchema.parse(host) as Host));
}

describe('Placer', () => {
  let clock: ManualClock;
  let reservations: SingleSlotReservations;
  let placer: Placer;
  let held: HeldItem[];

  function requestOf(id: string, promptTokens: number): CompletionRequest {
    return {
      id,
      workspace: { name: 'w', weight: 1 } as Workspace,
      route: { name: 'r', policy: 'given', versions: [{ version: 'v', weight: 100 }] } as Route,
      prompt: [{ digest: id, tokens: promptTokens }],
      promptTokens,
      maxTokens: 10,
      deadline: clock.now() + DEADLINE_MS,
    };
  }

  function place(id: string, tokens: number): Promise<Result<Placement, ServiceError>> {
    return placer.place(requestOf(id, tokens), new Set(), new AbortController().signal);
  }

  beforeEach(() => {
    clock = new ManualClock();
    reservations = new SingleSlotReservations();
    held = [];
    const self = memberOf('n', '10.0.0.1:1');
    const membership = new FixedMembership(self, [self]);
    const engines = new Registry<() => Engine>('engine adapter');
    engines.register('fake', () => recordingEngine(held));
    const random = new SeededRandom(SEED);
    const directory = new TargetDirectory({
      clock,
      configuration: { set: objects(), onChange: new Emitter().event } as unknown as Configuration,
      membership,
      hostList: { list: () => Promise.resolve(Result.ok([])) },
      adapters: { engines, services: new Registry('service adapter') },
      timeLine: new TimeLine(clock, 'n'),
    });
    placer = new Placer({
      clock,
      random,
      directory,
      reservations,
      attempts: new AttemptRegistry(new MemoryNetwork(clock, random).join(self.peerAddress)),
      policies: new Registry<() => PlacementPolicy>('placement policy'),
      membership,
    });
  });

  describe('with a gang', () => {
    it('holds a share on every member except the leader', async () => {
      const placed = await place('a', GANG_TOKENS);
      expect(placed.isOk && placed.value.followers).toHaveLength(ENGINES.length - 1);
      expect(held).toHaveLength(ENGINES.length - 1);
    });

    it('releases all reservations when one member refuses', async () => {
      reservations.holders.set('e2', 'someone');
      const waiting = place('a', GANG_TOKENS);
      await clock.advance(1);
      expect([...reservations.holders.keys()]).toEqual(['e2']);
      reservations.holders.clear();
      await clock.advance(WAIT_MS);
      expect((await waiting).isOk).toBe(true);
    });

    it('does not deadlock with another gang', async () => {
      const both = [place('a', GANG_TOKENS), place('b', GANG_TOKENS)];
      await clock.advance(WAIT_MS);
      const first = await Promise.race(both);
      expect(first.isOk).toBe(true);
      if (first.isOk) {
        await placer.release(first.value);
      }
      await clock.advance(WAIT_MS);
      expect((await Promise.all(both)).every(({ isOk }) => isOk)).toBe(true);
    });
  });

  describe('with an unreachable owner', () => {
    it('uses another engine and releases what the owner may have granted', async () => {
      reservations.unreachable.add('e0');
      const placed = await place('a', 1_000);
      expect(placed.isOk && placed.value.leader.target.name).toBe('e1');
      expect(reservations.released).toContain('e0');
    });
  });
});
