/**
 * Measures how long the gateway's scheduler takes for one decision: 500 active requests on 150
 * engines, a fifth of them in prefill, reported by 100 nodes. Three requests change between two
 * decisions, as each request is reported when it starts, begins to generate and ends. Each placed
 * prompt is removed again, so that every decision finds about the same load.
 */
import {
  AccountState,
  ActiveRequestTable,
  CostEstimates,
  DecisionLog,
  EngineScheduler,
  type PromptRequest,
  RateLimits,
  type TargetEntry,
  TargetHealth,
  type ZoneChange,
} from '@tanagerdyke/gateway';
import { type Clock, Emitter, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import { quantile } from './Quantiles.js';

const ENGINES = 150;
const ACTIVE_REQUESTS = 500;
const NODES = 100;
const PREFILL_SHARE = 0.2;
const DECISIONS = 600;
const CHANGES_PER_DECISION = 3;
/** Nodes without updates time out later. */
const RENEWAL_MS = 1_000;
const ZONES = ['a', 'b', 'c'];

const PROFILE = {
  slots: 8,
  memoryTokens: 450_000,
  stepMs: 0.925,
  msPerSequence: 0.007,
  msPerThousandContextTokens: 0.00254,
  prefillTokensPerMs: 256,
  msPerMillionPairs: 0.0917,
  chunkTokens: 2_048,
  stride: 46,
};

/** Kinds of prompts, by their tokens. */
const KINDS = [
  { promptTokens: 5_000, latencyTargetMs: 300, pauseTargetMs: 200 },
  { promptTokens: 45_000, latencyTargetMs: 1_500, pauseTargetMs: 500 },
  { promptTokens: 270_000, latencyTargetMs: 4_000, pauseTargetMs: 800 },
] as const;

/** Time of a decision on prompts of one kind. */
export interface PlacementTime {
  readonly promptTokens: number;
  readonly medianMs: number;
  readonly p95Ms: number;
}

/** Measures the decisions on prompts of each kind. */
export async function measurePlacementTime(
  clock: Clock,
  seed: number,
): Promise<readonly PlacementTime[]> {
  const random = new SeededRandom(seed);
  const metrics = new Metrics();
  const table = new ActiveRequestTable(clock, 'self');
  const engines = Array.from({ length: ENGINES }, (_each, index) => engineEntry(index));
  const countNodes = (): { live: number; max: number } => ({ live: NODES, max: NODES });
  const log = new DecisionLog(clock, 'self', () => true);
  const scheduler = new EngineScheduler({
    clock,
    random,
    targets: {
      acceptingTargets: () => engines,
      evacuatedTargets: () => [],
      onEvacuation: new Emitter<ZoneChange>().event,
    },
    activeRequests: table,
    health: new TargetHealth(clock),
    rateLimits: new RateLimits({
      clock,
      random,
      log,
      metrics,
      coldTargets: { find: () => undefined, hasCold: false },
      countNodes,
    }),
    isFirstCoordinator: () => true,
    costs: new CostEstimates({ clock, metrics }),
  });
  const times: PlacementTime[] = [];
  for (const kind of KINDS) {
    const tookMs: number[] = [];
    let renewedAt = Number.NEGATIVE_INFINITY;
    for (let index = 0; index < DECISIONS; index++) {
      if (clock.now() - renewedAt > RENEWAL_MS) {
        renewedAt = clock.now();
        for (let request = 0; request < ACTIVE_REQUESTS; request++) {
          setRequest(table, request, random, renewedAt);
        }
      }
      for (let change = 0; change < CHANGES_PER_DECISION; change++) {
        setRequest(table, random.integer(ACTIVE_REQUESTS), random, clock.now());
      }
      const request = requestOf(kind, `decided-${index}`, clock.now());
      const { signal } = new AbortController();
      const startedAt = clock.now();
      const decided = scheduler.decide(request, startedAt, signal, AccountState.Complete);
      tookMs.push(clock.now() - startedAt);
      await decided;
      table.remove(request.node, request.id);
    }
    const { promptTokens } = kind;
    times.push({
      promptTokens,
      medianMs: rounded(quantile(tookMs, 0.5)),
      p95Ms: rounded(quantile(tookMs, 0.95)),
    });
  }
  scheduler.dispose();
  return times;
}

function setRequest(
  table: ActiveRequestTable,
  index: number,
  random: SeededRandom,
  now: number,
): void {
  const { pauseTargetMs, promptTokens } = random.next() < 0.8 ? KINDS[0] : KINDS[1];
  table.set(`n${index % NODES}`, {
    id: String(index),
    targets: [`e${random.integer(ENGINES)}`],
    isMemoryShared: false,
    partPrefillMs: promptTokens / PROFILE.prefillTokensPerMs,
    startedAt: now - random.integer(1_000),
    dueAt: now + 500,
    expectedEndAt: now + random.integer(3_000),
    isGenerating: random.next() >= PREFILL_SHARE,
    pauseTargetMs,
    value: 2,
    memoryTokens: promptTokens + 1_600,
    contextTokens: promptTokens,
  });
}

function requestOf(kind: (typeof KINDS)[number], id: string, now: number): PromptRequest {
  return {
    ...kind,
    id,
    node: 'self',
    availabilityZone: 'a',
    cell: { service: 'm', availabilityZone: undefined },
    profile: PROFILE,
    outputTokens: 1_600,
    expected: { outputTokens: 800, generationMs: 900 },
    dueAt: now + kind.latencyTargetMs,
    deadlineAt: now + 15_000,
    workspace: 'w',
    isReturning: false,
    excluded: new Set(),
    suspects: new Set(),
  };
}

function engineEntry(index: number): TargetEntry {
  return {
    id: `e${index}`,
    service: 'm',
    address: `e${index}:80`,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    slots: PROFILE.slots,
    isDraining: false,
    startedAt: undefined,
    coldMs: 0,
  };
}

function rounded(ms: number): number {
  return Math.round(ms * 1_000) / 1_000;
}
