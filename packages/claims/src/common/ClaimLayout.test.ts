/**
 * Tests that at most one attempt wins a key while the number of shards changes, although each node
 * adopts the new layout at another time and responses of the log may be lost.
 */
import {
  AppendFault,
  FixedMembership,
  MemoryLog,
  MemoryNetwork,
  memberOf,
} from '@tanagerdyke/fakes';
import { type Logger, ManualClock, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { type ClaimLayout, ClaimLedger, ClaimVerdict } from './ClaimLedger.js';
import { type ClaimEntry, EntryKind } from './Messages.js';

const SILENT: Logger = { log: () => undefined };
const KEY = 'w/01890a5d-ac96-774b-bcce-b302099a8057';
const KEY_TIME_MS = Number.parseInt('01890a5dac96', 16);
const NAMES = ['a', 'b', 'c'];
const WINDOW = { windowMs: 600_000 };
const OLD: ClaimLayout = { retiringShards: [], shards: 2, ...WINDOW };
const BOTH: ClaimLayout = { retiringShards: [2], shards: 4, ...WINDOW };
const NEW: ClaimLayout = { retiringShards: [], shards: 4, ...WINDOW };
/** Pairs of layouts that nodes may have at the same time. */
const CHANGES = [
  [OLD, BOTH],
  [BOTH, NEW],
] as const;

interface PlannedClaim {
  /** Index of the node that claims. */
  readonly node: number;
  readonly atMs: number;
  readonly deadlineMs: number;
}

interface Scenario {
  readonly change: readonly [ClaimLayout, ClaimLayout];
  /** When each node switches to the second layout. */
  readonly changeAtMs: readonly number[];
  readonly claims: readonly PlannedClaim[];
  readonly fault: AppendFault;
  readonly appendDelayMs: number;
}

const timeMs = fc.integer({ min: 0, max: 400 });
const scenarios: fc.Arbitrary<Scenario> = fc.record({
  change: fc.constantFrom(...CHANGES),
  changeAtMs: fc.array(timeMs, { minLength: NAMES.length, maxLength: NAMES.length }),
  claims: fc.array(
    fc.record({
      node: fc.nat(NAMES.length - 1),
      atMs: timeMs,
      deadlineMs: fc.integer({ min: 100, max: 3_000 }),
    }),
    { minLength: 2, maxLength: 5 },
  ),
  fault: fc.constantFrom(AppendFault.None, AppendFault.LoseAnswer),
  appendDelayMs: fc.nat(60),
});

interface Cluster {
  readonly clock: ManualClock;
  readonly log: MemoryLog;
  readonly ledgers: readonly ClaimLedger[];
  /** The current layout of each node. */
  readonly layouts: ClaimLayout[];
}

function createCluster(initialLayouts: readonly ClaimLayout[]): Cluster {
  const clock = new ManualClock(KEY_TIME_MS);
  const log = new MemoryLog(clock);
  const network = new MemoryNetwork(clock, new SeededRandom(1));
  const members = NAMES.map((name, i) => memberOf(name, `127.0.0.1:${i + 1}`));
  const layouts = [...initialLayouts];
  const ledgers = members.map((self, i) => {
    const ledger = new ClaimLedger({
      clock,
      log,
      logger: SILENT,
      timeLine: new TimeLine(clock, self.name),
      transport: network.join(self.peerAddress),
      membership: new FixedMembership(self, members),
      layout: () => layouts[i] ?? OLD,
    });
    ledger.start();
    return ledger;
  });
  return { clock, log, ledgers, layouts };
}

function claimOf(attempt: string): ClaimEntry {
  const head = { kind: EntryKind.Claim as const, key: KEY, attempt, incarnation: 1 };
  return { ...head, node: 'a', bodyDigest: 'b' };
}

/**
 * Runs a scenario and returns the attempts that won and the one that each node finds at the end.
 */
async function run(scenario: Scenario): Promise<ScenarioResult> {
  const { clock, log, ledgers, layouts } = createCluster(NAMES.map(() => scenario.change[0]));
  log.appendFault = scenario.fault;
  log.appendDelayMs = scenario.appendDelayMs;
  const winners: string[] = [];
  const claim = async (index: number, { node, deadlineMs }: PlannedClaim): Promise<void> => {
    const attempt = `t${index}`;
    const verdict = await ledgers[node]?.claim(claimOf(attempt), clock.now() + deadlineMs);
    if (verdict === ClaimVerdict.Won) {
      winners.push(attempt);
    }
  };
  scenario.changeAtMs.forEach((atMs, i) => {
    clock.schedule(atMs, () => {
      layouts[i] = scenario.change[1];
    });
  });
  scenario.claims.forEach((planned, index) => {
    clock.schedule(planned.atMs, () => void claim(index, planned));
  });
  await clock.advance(20_000);
  const found: (string | undefined)[] = [];
  for (const ledger of ledgers) {
    void ledger.find(KEY, clock.now()).then(({ state }) => found.push(state?.attempt));
  }
  await clock.advance(1_000);
  ledgers.forEach((ledger) => {
    ledger.dispose();
  });
  return { winners, found };
}

interface ScenarioResult {
  readonly winners: readonly string[];
  readonly found: readonly (string | undefined)[];
}

describe('ClaimLedger', () => {
  describe('a change of the layout', () => {
    it('lets at most one attempt win a key, and every node finds the winner', async () => {
      await fc.assert(
        fc.asyncProperty(scenarios, async (scenario) => {
          const { winners, found } = await run(scenario);
          expect(winners.length).toBeLessThanOrEqual(1);
          expect(found).toEqual(NAMES.map(() => winners[0]));
        }),
        { seed: 4, numRuns: 60 },
      );
    });

    it('releases the key in the retiring layout when an attempt loses in the new one', async () => {
      const { clock, ledgers } = createCluster([NEW, BOTH, BOTH]);
      const verdicts: (ClaimVerdict | undefined)[] = [];
      const claim = async (node: number, attempt: string): Promise<void> => {
        void ledgers[node]?.claim(claimOf(attempt), clock.now() + 1_000).then((verdict) => {
          verdicts.push(verdict);
        });
        await clock.advance(2_000);
      };
      await claim(0, 'first');
      await claim(1, 'second');
      void ledgers[0]?.release(KEY, 'first');
      await clock.advance(2_000);
      await claim(2, 'third');
      expect(verdicts).toEqual([ClaimVerdict.Won, ClaimVerdict.Lost, ClaimVerdict.Won]);
    });
  });
});
