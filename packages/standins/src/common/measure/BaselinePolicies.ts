/**
 * Baseline placement policies that the shipped policies are compared with. The policies defined
 * here use neither prompt length nor prefix affinity. Those that compare load have only the
 * engines' own load reports, which are published with a delay.
 */
import type {
  Candidate,
  PlacementPolicy,
  PlacementQuery,
  PolicyEnvironment,
  PolicyRegistry,
} from '@tanagerdyke/serving';
import { WeightedPolicy } from '@tanagerdyke/serving';

/** Names of the baselines, as a route refers to them. */
export enum Baseline {
  RoundRobin = 'round-robin',
  RandomTwo = 'random-two-choices',
  LaggedLeastLoaded = 'least-loaded-lagged',
  ShortestFirst = 'shortest-prompt-first',
  SharedPool = 'shared-pool',
  /** Shipped reservations; long and short prompts get separate targets however long the wait. */
  HardSplit = 'hard-split',
}

/** Separation weight at which targets of the other role rank last whatever their wait. */
const HARD_SPLIT_WEIGHT = 400;

/** Provides the last load report of each engine. */
export interface LoadSource {
  /** Prefill tokens that were queued at the engine; 0 before its first report. */
  queuedPrefillTokens(target: string): number;
}

/** Ranks the engines in rotating order. */
class RoundRobinPolicy implements PlacementPolicy {
  private _next = 0;

  public rank(_query: PlacementQuery, candidates: readonly Candidate[]): readonly Candidate[] {
    const start = this._next++ % Math.max(1, candidates.length);
    return [...candidates.slice(start), ...candidates.slice(0, start)];
  }
}

/** Picks two random engines and prefers the one with the smaller reported queue. */
class RandomTwoPolicy implements PlacementPolicy {
  constructor(
    private readonly _environment: PolicyEnvironment,
    private readonly _loads: LoadSource,
  ) {}

  public rank(_query: PlacementQuery, candidates: readonly Candidate[]): readonly Candidate[] {
    const shuffled = shuffle(this._environment, candidates);
    const [first, second, ...rest] = shuffled;
    return first === undefined || second === undefined
      ? shuffled
      : [...sortByLoad([first, second], this._loads), ...rest];
  }
}

/** Ranks by reported queue; engines with equal queues are in random order. */
class LaggedLeastLoadedPolicy implements PlacementPolicy {
  constructor(
    private readonly _environment: PolicyEnvironment,
    private readonly _loads: LoadSource,
  ) {}

  public rank(_query: PlacementQuery, candidates: readonly Candidate[]): readonly Candidate[] {
    return sortByLoad(shuffle(this._environment, candidates), this._loads);
  }
}

/** Registers a policy for each baseline. */
export function registerBaselines(registry: PolicyRegistry, loads: LoadSource): void {
  registry.register(Baseline.RoundRobin, () => new RoundRobinPolicy());
  registry.register(Baseline.RandomTwo, (environment) => new RandomTwoPolicy(environment, loads));
  registry.register(
    Baseline.LaggedLeastLoaded,
    (environment) => new LaggedLeastLoadedPolicy(environment, loads),
  );
  registry.register(
    Baseline.ShortestFirst,
    (environment) => new LaggedLeastLoadedPolicy(environment, loads),
  );
  registry.register(
    Baseline.HardSplit,
    (environment) => new WeightedPolicy(environment, HARD_SPLIT_WEIGHT),
  );
  registry.register(Baseline.SharedPool, (environment) => new WeightedPolicy(environment, 0));
}

function sortByLoad(candidates: readonly Candidate[], loads: LoadSource): readonly Candidate[] {
  return [...candidates].sort(
    (a, b) =>
      loads.queuedPrefillTokens(a.hostedTarget.target.name) -
      loads.queuedPrefillTokens(b.hostedTarget.target.name),
  );
}

function shuffle(
  environment: PolicyEnvironment,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, key: environment.random() }))
    .sort((a, b) => a.key - b.key)
    .map(({ candidate }) => candidate);
}
