/**
 * Tests of claims over an in-memory log: log order, lost responses, outages, abandoned attempts.
 */
import {
  AppendFault,
  FixedMembership,
  MemoryLog,
  MemoryNetwork,
  memberOf,
} from '@tanagerdyke/fakes';
import { type Logger, ManualClock, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import type { Member, Transport } from '@tanagerdyke/mesh';
import { beforeEach, describe, expect, it } from 'vitest';
import { ClaimLedger, ClaimVerdict } from './ClaimLedger.js';
import { type ClaimEntry, EntryKind, KeyStatus } from './Messages.js';

const SILENT: Logger = { log: () => undefined };
const KEY = 'w/01890a5d-ac96-774b-bcce-b302099a8057';
const DEADLINE_MS = 5_000;

function claimOf(attempt: string): ClaimEntry {
  return {
    kind: EntryKind.Claim,
    key: KEY,
    attempt,
    node: 'a',
    incarnation: 1,
    bodyDigest: 'b',
  };
}

describe('ClaimLedger', () => {
  let clock: ManualClock;
  let log: MemoryLog;
  let network: MemoryNetwork;
  let members: readonly Member[];

  function createLedger(member: Member): ClaimLedger {
    const transport: Transport = network.join(member.peerAddress);
    const timeLine = new TimeLine(clock, member.name);
    const ledger = new ClaimLedger({
      clock,
      log,
      logger: SILENT,
      timeLine,
      transport,
      membership: new FixedMembership(member, members),
      layout: () => ({ retiringShards: [], shards: 2, windowMs: 600_000 }),
    });
    ledger.start();
    return ledger;
  }

  /** Creates a ledger for every member and returns the first one. */
  function createFirstLedger(): ClaimLedger {
    const [first] = members.map(createLedger);
    if (first === undefined) {
      throw new Error('no members');
    }
    return first;
  }

  beforeEach(() => {
    clock = new ManualClock(Number.parseInt('01890a5dac96', 16));
    log = new MemoryLog(clock);
    network = new MemoryNetwork(clock, new SeededRandom(1));
    members = ['a', 'b', 'c'].map((name, index) => memberOf(name, `127.0.0.1:${index + 1}`));
  });

  /** Advances the clock until the promise resolves. */
  async function settle<T>(promise: Promise<T>): Promise<T> {
    let result: { value: T } | undefined;
    void promise.then((value) => {
      result = { value };
    });
    for (let step = 0; step < 200 && result === undefined; step++) {
      await clock.advance(50);
    }
    if (result === undefined) {
      throw new Error('did not settle within 10 s');
    }
    return result.value;
  }

  describe('claim', () => {
    it('lets exactly one of several nodes win a key', async () => {
      const ledgers = members.map(createLedger);
      const verdicts = await settle(
        Promise.all(ledgers.map((ledger, i) => ledger.claim(claimOf(`t${i}`), DEADLINE_MS))),
      );
      expect(verdicts.filter((verdict) => verdict === ClaimVerdict.Won)).toHaveLength(1);
      expect(verdicts.filter((verdict) => verdict === ClaimVerdict.Lost)).toHaveLength(2);
    });

    it('is won by reading it back when the response of the log is lost', async () => {
      const ledger = createFirstLedger();
      log.appendFault = AppendFault.LoseAnswer;
      const verdict = await settle(ledger.claim(claimOf('t'), DEADLINE_MS));
      expect(verdict).toBe(ClaimVerdict.Won);
    });

    it('is refused while the log is down', async () => {
      const ledger = createFirstLedger();
      await clock.advance(100);
      log.isDown = true;
      const verdict = await settle(ledger.claim(claimOf('t'), DEADLINE_MS));
      expect(verdict).toBe(ClaimVerdict.Refused);
    });

    it('voids an abandoned attempt, so that the next one may win', async () => {
      const ledger = createFirstLedger();
      await clock.advance(100);
      log.appendDelayMs = DEADLINE_MS + 1_000;
      const verdict = await settle(ledger.claim(claimOf('late'), clock.now() + 1_000));
      expect(verdict).toBe(ClaimVerdict.Abandoned);
      log.appendDelayMs = 0;
      await clock.advance(20_000);
      const next = await settle(ledger.claim(claimOf('next'), clock.now() + DEADLINE_MS));
      expect(next).toBe(ClaimVerdict.Won);
    });
  });

  describe('find', () => {
    it('waits while the key is claimed and returns the outcome that another node records', async () => {
      const ledgers = members.map(createLedger);
      const [first, second] = ledgers;
      if (first === undefined || second === undefined) {
        throw new Error('no ledgers');
      }
      await settle(first.claim(claimOf('t'), DEADLINE_MS));
      const waiting = second.find(KEY, clock.now() + DEADLINE_MS);
      void first.recordOutcome(KEY, 't', { status: 200, body: 'done' });
      expect(await settle(waiting)).toMatchObject({
        state: { status: KeyStatus.Done, answer: { body: 'done' } },
        isComplete: true,
      });
    });
  });
});
