/** Tests of at-most-once calls over an in-memory log and network. */
import type { Service, ServiceAnswer, ServiceCall } from '@tanagerdyke/contracts';
import {
  AppendFault,
  FixedMembership,
  MemoryLog,
  MemoryNetwork,
  memberOf,
  type MemoryTransport,
} from '@tanagerdyke/fakes';
import {
  ErrorKind,
  InvariantMonitor,
  type Logger,
  ManualClock,
  Metrics,
  NotRun,
  SeededRandom,
  ServiceError,
  TimeLine,
} from '@tanagerdyke/kernel';
import { type Member } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AnswerStore } from './AnswerStore.js';
import type { AtMostOnceCall, AtMostOnceCallResult } from './AtMostOnceCall.js';
import { AtMostOnceCaller } from './AtMostOnceCaller.js';
import { ClaimLedger } from './ClaimLedger.js';
import { EntryKind, KeyStatus } from './Messages.js';

const SILENT: Logger = { log: () => undefined };
const KEY = 'w/01890a5d-ac96-774b-bcce-b302099a8057';
const KEY_TIME_MS = Number.parseInt('01890a5dac96', 16);
const WINDOW_MS = 600_000;
const NAMES = ['a', 'b', 'c'];

/** A service that counts executions per key and answers after a delay. */
class CountingService implements Service {
  public readonly executions: string[] = [];
  public delayMs = 100;
  public body = 'done';
  /** Returned to the caller of the service instead of the answer. */
  public failure: ServiceError | undefined;

  constructor(private readonly _clock: ManualClock) {}

  public async call({ key }: ServiceCall): Promise<Result<ServiceAnswer, ServiceError>> {
    if (this.failure?.notRun === NotRun.True) {
      return Result.err(this.failure);
    }
    this.executions.push(key ?? '');
    await this._clock.sleep(this.delayMs);
    return this.failure === undefined
      ? Result.ok({ status: 200, body: this.body })
      : Result.err(this.failure);
  }

  public lookUp(key: string): Promise<Result<ServiceAnswer | undefined, ServiceError>> {
    const hasRun = this.executions.includes(key);
    return Promise.resolve(Result.ok(hasRun ? { status: 200, body: this.body } : undefined));
  }
}

interface TestNode {
  readonly ledger: ClaimLedger;
  readonly caller: AtMostOnceCaller;
  readonly transport: MemoryTransport;
}

describe('AtMostOnceCaller', () => {
  let clock: ManualClock;
  let log: MemoryLog;
  let network: MemoryNetwork;
  let service: CountingService;
  let invariants: InvariantMonitor;
  let memberships: Map<string, FixedMembership>;
  let nodes: Map<string, TestNode>;

  function start(name: string, seed: number): void {
    const membership = memberships.get(name) ?? raise('no such member');
    const { self } = membership;
    const transport = network.join(self.peerAddress);
    const timeLine = new TimeLine(clock, name);
    const layout = { retiringShards: [], shards: 2, windowMs: WINDOW_MS };
    const ledger = new ClaimLedger({
      clock,
      log,
      logger: SILENT,
      timeLine,
      transport,
      membership,
      layout: () => layout,
    });
    const answers = new AnswerStore(transport, membership);
    const random = new SeededRandom(seed);
    const options = { clock, random, ledger, answers, membership, timeLine, invariants };
    nodes.set(name, { ledger, caller: new AtMostOnceCaller(options), transport });
    ledger.start();
  }

  function node(name: string): TestNode {
    return nodes.get(name) ?? raise(`no node ${name}`);
  }

  /** Stops a process and removes it from the membership of all nodes. */
  function kill(name: string): void {
    const { ledger, transport } = node(name);
    ledger.dispose();
    transport.isFrozen = true;
    for (const membership of memberships.values()) {
      membership.live = membership.live.filter((member) => member.name !== name);
    }
  }

  function callFrom(
    name: string,
    change: Partial<AtMostOnceCall> = {},
  ): Promise<AtMostOnceCallResult> {
    return node(name).caller.call({
      key: KEY,
      path: '/orders',
      body: '{}',
      bodyDigest: 'digest',
      service,
      offersLookUp: false,
      deadline: clock.now() + 10_000,
      ...change,
    });
  }

  /** Advances the clock until the promise resolves. */
  async function settle<T>(promise: Promise<T>, stepMs = 20): Promise<T> {
    let result: { value: T } | undefined;
    void promise.then((value) => {
      result = { value };
    });
    for (let step = 0; step < 2_000 && result === undefined; step++) {
      await clock.advance(stepMs);
    }
    return (result ?? raise('did not settle')).value;
  }

  beforeEach(async () => {
    clock = new ManualClock(KEY_TIME_MS);
    log = new MemoryLog(clock);
    network = new MemoryNetwork(clock, new SeededRandom(1));
    service = new CountingService(clock);
    const timeLine = new TimeLine(clock, 'test');
    invariants = new InvariantMonitor(timeLine, new Metrics(), SILENT);
    const members: readonly Member[] = NAMES.map((name, i) => memberOf(name, `127.0.0.1:${i + 1}`));
    memberships = new Map(members.map((self) => [self.name, new FixedMembership(self, members)]));
    nodes = new Map();
    for (const [i, name] of NAMES.entries()) {
      start(name, i + 10);
    }
    await clock.advance(100);
  });

  afterEach(() => {
    expect(invariants.violations).toBe(0);
  });

  describe('a second call with the same key', () => {
    it('waits for the first one and gets the same whole answer', async () => {
      service.delayMs = 3_000;
      const both = Promise.all([callFrom('a'), callFrom('b')]);
      const [first, second] = await settle(both);
      expect(first.unwrapOr(undefined)).toEqual({ status: 200, body: 'done' });
      expect(second.unwrapOr(undefined)).toEqual({ status: 200, body: 'done' });
      expect(service.executions).toHaveLength(1);
    });

    it('is answered within its own deadline, and not with "not run", while the first one runs', async () => {
      service.delayMs = 8_000;
      const first = callFrom('a');
      await clock.advance(100);
      const deadline = clock.now() + 2_000;
      const second = await settle(callFrom('b', { deadline }));
      expect(clock.now()).toBeLessThanOrEqual(deadline);
      expect(errorOf(second)).toMatchObject({ notRun: NotRun.Unknown });
      expect((await settle(first)).isOk).toBe(true);
    });

    it('fetches a large answer from its holder', async () => {
      service.body = 'x'.repeat(100_000);
      await settle(callFrom('a'));
      const second = await settle(callFrom('b'));
      expect(second.unwrapOr(undefined)?.body).toBe(service.body);
    });

    it('fails with AnswerNotHeld when the node that stores a large answer is gone', async () => {
      service.body = 'x'.repeat(100_000);
      await settle(callFrom('a'));
      await clock.advance(200);
      kill('a');
      const second = await settle(callFrom('b'));
      expect(errorOf(second)).toMatchObject({
        kind: ErrorKind.AnswerNotHeld,
        notRun: NotRun.False,
      });
    });

    it('is refused with a different body, both during and after the first one', async () => {
      const first = callFrom('a');
      await clock.advance(50);
      const during = await settle(callFrom('b', { bodyDigest: 'other' }));
      await settle(first);
      const after = await settle(callFrom('c', { bodyDigest: 'other' }));
      for (const answer of [during, after]) {
        expect(errorOf(answer).kind).toBe(ErrorKind.KeyReused);
      }
    });

    it('may run when the target received no byte of the first one', async () => {
      const remedy = 'start the target';
      const details = { remedy, notRun: NotRun.True };
      service.failure = new ServiceError(ErrorKind.TargetFailed, 'refused', details);
      expect(errorOf(await settle(callFrom('a'))).notRun).toBe(NotRun.True);
      service.failure = undefined;
      expect((await settle(callFrom('b'))).isOk).toBe(true);
      expect(service.executions).toHaveLength(1);
    });
  });

  describe('an unknown outcome', () => {
    const lost = new ServiceError(ErrorKind.TargetFailed, 'cut', { remedy: 'try the look-up' });

    it('is resolved by a look-up at the target', async () => {
      service.failure = lost;
      expect((await settle(callFrom('a', { offersLookUp: true }))).isOk).toBe(true);
      expect((await settle(callFrom('b'))).unwrapOr(undefined)?.body).toBe('done');
    });

    it('stays unknown without a look-up, and the call is never dispatched again', async () => {
      service.failure = lost;
      for (const name of NAMES) {
        expect(errorOf(await settle(callFrom(name))).notRun).toBe(NotRun.Unknown);
      }
      expect(service.executions).toHaveLength(1);
    });

    it('is resolved by the look-up of a later call, for all calls after it', async () => {
      service.failure = lost;
      await settle(callFrom('a'));
      expect((await settle(callFrom('b', { offersLookUp: true }))).isOk).toBe(true);
      await clock.advance(500);
      expect((await settle(callFrom('c'))).isOk).toBe(true);
    });

    it('of a call whose node died is resolved by a look-up well before the deadline', async () => {
      service.delayMs = 60_000;
      void callFrom('a', { deadline: clock.now() + 60_000 });
      await clock.advance(100);
      kill('a');
      const deadline = clock.now() + 10_000;
      const second = await settle(callFrom('b', { offersLookUp: true, deadline }));
      expect(second.unwrapOr(undefined)?.body).toBe('done');
      expect(clock.now()).toBeLessThan(deadline - 5_000);
    });

    it('of a call whose node died is never "not run", even while the log is down', async () => {
      service.delayMs = 60_000;
      void callFrom('a', { deadline: clock.now() + 60_000 });
      await clock.advance(100);
      kill('a');
      expect(errorOf(await settle(callFrom('b'))).notRun).toBe(NotRun.Unknown);
      log.isDown = true;
      expect(errorOf(await settle(callFrom('c'))).notRun).toBe(NotRun.Unknown);
      expect(service.executions).toHaveLength(1);
    });
  });

  describe('a refusal', () => {
    it('while the log is down comes within 1 s with a retry delay, and the call never runs', async () => {
      log.isDown = true;
      const sentAt = clock.now();
      const refused = errorOf(await settle(callFrom('a')));
      expect(refused).toMatchObject({
        kind: ErrorKind.PlatformUnavailable,
        notRun: NotRun.True,
      });
      expect(refused.retryAfterMs).toBeGreaterThan(0);
      expect(clock.now() - sentAt).toBeLessThan(1_000);
      log.isDown = false;
      await clock.advance(20_000);
      expect(service.executions).toHaveLength(0);
    });

    it.each([0, 20, 40, 60, 80, 100, 120])(
      'after a pause %i ms into the claim is "not run" exactly if the call is never dispatched',
      async (intoMs) => {
        network.delayMs = 50;
        for (const [i, name] of NAMES.entries()) {
          const key = `w/01890a5d-ac96-774b-bcce-b302099a805${i}`;
          const call = callFrom(name, { key });
          await clock.advance(intoMs);
          const hasSent = service.executions.includes(key);
          clock.freeze(30_000);
          const answer = await settle(call);
          const isRefused = answer.isErr && answer.error.notRun === NotRun.True;
          expect(isRefused).toBe(!hasSent);
          await clock.advance(60_000);
          expect(service.executions.includes(key)).toBe(hasSent);
        }
      },
    );

    it('after an append that takes effect past the deadline is "not run", and the key is free', async () => {
      log.appendDelayMs = 30_000;
      expect(errorOf(await settle(callFrom('a'))).notRun).toBe(NotRun.True);
      await clock.advance(60_000);
      expect(service.executions).toHaveLength(0);
      log.appendDelayMs = 0;
      expect((await settle(callFrom('b'))).isOk).toBe(true);
    });
  });

  describe('a lost response of the log', () => {
    it('neither fails a call nor dispatches it twice', async () => {
      log.appendFault = AppendFault.LoseAnswer;
      expect((await settle(callFrom('a'))).isOk).toBe(true);
      expect((await settle(callFrom('b'))).isOk).toBe(true);
      expect(service.executions).toHaveLength(1);
    });
  });

  describe('a committer', () => {
    it('that dies during a submit is replaced within the deadline', async () => {
      log.appendDelayMs = 100;
      const calls = NAMES.map((name) => callFrom(name));
      await clock.advance(30);
      node('a').transport.isFrozen = true;
      const answers = await settle(Promise.all(calls.slice(1)));
      expect(answers.every(({ isOk }) => isOk)).toBe(true);
      expect(service.executions).toHaveLength(1);
    });
  });

  describe('a restart', () => {
    it('of all nodes replays the window before a claim is decided', async () => {
      await settle(callFrom('a'));
      await clock.advance(1_000);
      for (const [i, name] of NAMES.entries()) {
        node(name).ledger.dispose();
        start(name, i + 20);
      }
      expect(node('a').ledger.isReady).toBe(false);
      expect((await settle(callFrom('a'))).isOk).toBe(true);
      expect(service.executions).toHaveLength(1);
    });

    it('while the log is down leaves claims undecided and the node not ready', async () => {
      await settle(callFrom('a'));
      await clock.advance(1_000);
      log.isDown = true;
      for (const [i, name] of NAMES.entries()) {
        node(name).ledger.dispose();
        start(name, i + 20);
      }
      expect(errorOf(await settle(callFrom('b'))).notRun).toBe(NotRun.Unknown);
      expect(node('b').ledger.isReady).toBe(false);
    });
  });

  describe('the index', () => {
    it('removes a key after the window, and never grants it again', async () => {
      await settle(callFrom('a'));
      await clock.advance(WINDOW_MS + 200_000);
      const keys = [...nodes.values()].map(({ ledger }) => ledger.indexedKeys);
      expect(keys).toEqual([0, 0, 0]);
      const attempt = { kind: EntryKind.Claim as const, key: KEY, attempt: 'late', node: 'b' };
      const claim = { ...attempt, incarnation: 1, bodyDigest: 'digest' };
      const { ledger } = node('b');
      await settle(ledger.claim(claim, clock.now() + 1_000));
      const { state } = await settle(ledger.find(KEY, clock.now()));
      expect(state?.status).not.toBe(KeyStatus.Claimed);
    });
  });
});

function errorOf(answer: AtMostOnceCallResult): ServiceError {
  return answer.isErr ? answer.error : raise('expected a failure');
}

function raise(message: string): never {
  throw new Error(message);
}
