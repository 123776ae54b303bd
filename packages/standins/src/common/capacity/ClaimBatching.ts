/**
 * Simulates group commit of claims on a manual clock, and measures entries per append, appends per
 * second and submit latency for a given batch wait and number of shards.
 */
import { ClaimShard, type Entry, EntryKind } from '@tanagerdyke/claims';
import { MemoryLog } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { range } from './CapacityObjects.js';
import { median } from './Series.js';

const ARRIVAL_SECONDS = 4;
const MS_PER_SECOND = 1_000;
const SUBMIT_TIMEOUT_MS = 5_000;
const P95_SHARE = 0.95;

/** Parameters of one simulation. */
export interface BatchingSetup {
  /** Claims and outcomes per second over all shards. */
  readonly entriesPerSecond: number;
  readonly shards: number;
  readonly batchWaitMs: number;
  /** Time that the log takes to acknowledge an append. */
  readonly appendMs: number;
}

/** Parameters and results of one simulation. */
export interface BatchingResult extends BatchingSetup {
  readonly appendsPerSecond: number;
  readonly entriesPerAppend: number;
  readonly medianMs: number;
  readonly p95Ms: number;
}

/** Submits claims at exponentially distributed intervals and measures how they are batched. */
export async function measureBatching(setup: BatchingSetup, seed: number): Promise<BatchingResult> {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const log = new MemoryLog(clock);
  log.appendDelayMs = setup.appendMs;
  const shards = range(setup.shards).map(
    (shard) =>
      new ClaimShard({
        clock,
        log,
        logger: { log: () => undefined },
        stream: `claims/${setup.shards}/${shard}`,
        isExpired: () => false,
        batchWaitMs: setup.batchWaitMs,
      }),
  );
  for (const shard of shards) {
    shard.start();
  }
  const latenciesMs: number[] = [];
  const entryCount = setup.entriesPerSecond * ARRIVAL_SECONDS;
  for (const index of range(entryCount)) {
    const gapMs = (-Math.log(1 - random.next()) * MS_PER_SECOND) / setup.entriesPerSecond;
    await clock.advance(gapMs);
    const startedAt = clock.now();
    const shard = shards[random.integer(shards.length)];
    void shard
      ?.submit(createClaim(index), SUBMIT_TIMEOUT_MS)
      .then(() => latenciesMs.push(clock.now() - startedAt));
  }
  const elapsedSeconds = clock.now() / MS_PER_SECOND;
  await clock.advance(SUBMIT_TIMEOUT_MS);
  for (const shard of shards) {
    shard.dispose();
  }
  latenciesMs.sort((a, b) => a - b);
  return {
    ...setup,
    appendsPerSecond: log.appends / elapsedSeconds,
    entriesPerAppend: entryCount / log.appends,
    medianMs: median(latenciesMs),
    p95Ms: latenciesMs[Math.floor(latenciesMs.length * P95_SHARE)] ?? 0,
  };
}

function createClaim(index: number): Entry {
  return {
    kind: EntryKind.Claim,
    key: `w/${index}`,
    attempt: `attempt-${index}`,
    node: 'entry-000',
    incarnation: 1,
    bodyDigest: 'd',
  };
}
