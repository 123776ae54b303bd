/**
 * Determines the engines that a request may use and the order in which they are tried, from the
 * versions of its route, the versions that engines have loaded, the split by prompt length, prefix
 * affinity and the policy of the route.
 */
import type { RandomSource } from '@tanagerdyke/kernel';
import type { LengthClass } from '@tanagerdyke/contracts';
import type { HostedTarget, Route } from '@tanagerdyke/configuration';
import { type Membership, rankByRendezvous } from '@tanagerdyke/mesh';
import { PRIORITY_OF_CLASS } from './LengthClasses.js';
import type { LengthSplit } from './LengthSplit.js';
import type { PromptPrefix } from './Messages.js';
import type {
  Candidate,
  CompletionRequest,
  PlacementPolicy,
  PolicyRegistry,
  Reservations,
} from './services/Services.js';
import type { TargetDirectory } from './TargetDirectory.js';
import { chooseVersion } from './VersionChoice.js';

/** Number of engines that are preferred for prompts with the same first segment. */
const AFFINITY_TARGETS = 2;
const MS_PER_SECOND = 1_000;

/** Dependencies of `EngineRanking`. */
export interface RankingOptions {
  readonly random: RandomSource;
  readonly directory: TargetDirectory;
  readonly reservations: Reservations;
  readonly policies: PolicyRegistry;
  readonly membership: Membership;
  readonly split: LengthSplit;
}

/** The request for which engines are ranked. */
export interface RankingInput {
  readonly request: CompletionRequest;
  readonly version: string;
  readonly lengthClass: LengthClass;
  readonly prefixes: readonly PromptPrefix[];
}

/** Ranks the engines for the requests of one entry node. */
export class EngineRanking {
  private readonly _policies = new Map<string, PlacementPolicy>();

  constructor(private readonly _options: RankingOptions) {}

  /**
   * Chooses the version for a request by `draw`, a number in [0, 1). The same draw gives the same
   * version until the set of loaded versions changes.
   */
  public chooseVersion(route: Route, draw: number): string {
    const { directory, reservations } = this._options;
    return chooseVersion(route, draw, (version) =>
      directory
        .enginesOf(version)
        .some(({ target }) => !reservations.lacksVersion(target.name, version)),
    );
  }

  /** The engines of a version except those that failed or lack it; all if none would remain. */
  public enginesOf(version: string, failedTargets: ReadonlySet<string>): readonly HostedTarget[] {
    const { directory, reservations } = this._options;
    const all = directory.enginesOf(version);
    const healthy = all.filter(
      ({ target }) =>
        !failedTargets.has(target.name) && !reservations.lacksVersion(target.name, version),
    );
    return healthy.length > 0 ? healthy : all;
  }

  /** The engines in the order in which the placer tries them. */
  public rank(input: RankingInput, engines: readonly HostedTarget[]): readonly Candidate[] {
    const { request, lengthClass, version, prefixes } = input;
    const { reservations, split } = this._options;
    const longTargets = split.longTargets(version, engines);
    const preferredTargets = affinityTargets(prefixes, engines);
    const candidates = engines.map((hostedTarget) => ({
      hostedTarget,
      backlogMs: reservations.backlogOf(hostedTarget.target.name, PRIORITY_OF_CLASS[lengthClass]),
      isAffine: preferredTargets.includes(hostedTarget.target.name),
      isForLong: longTargets.has(hostedTarget.target.name),
    }));
    const { promptTokens, workspace, route } = request;
    const idlePrefillMs = idlePrefillTimeMs(promptTokens, engines);
    const query = { lengthClass, promptTokens, idlePrefillMs, workspace: workspace.name };
    return this._policy(route.policy).rank(query, candidates);
  }

  private _policy(name: string): PlacementPolicy {
    let policy = this._policies.get(name);
    if (policy === undefined) {
      const { membership, policies, random } = this._options;
      const environment = {
        random: () => random.next(),
        availabilityZone: membership.self.availabilityZone,
      };
      const found = policies.find(name);
      policy = found.isOk ? found.value(environment) : FALLBACK_POLICY;
      this._policies.set(name, policy);
    }
    return policy;
  }
}

/** Keeps the given order; used when no policy is registered under the name in the route. */
const FALLBACK_POLICY: PlacementPolicy = { rank: (_query, candidates) => candidates };

/** Prefill time on an idle engine with the highest prefill speed. */
export function idlePrefillTimeMs(promptTokens: number, engines: readonly HostedTarget[]): number {
  const fastest = Math.max(...engines.map(({ target }) => target.prefillTokensPerSecond));
  return (promptTokens / fastest) * MS_PER_SECOND;
}

/** Prefill and decode time on an idle engine, each at the highest speed among the engines. */
export function idleRunTimeMs(
  request: CompletionRequest,
  engines: readonly HostedTarget[],
): number {
  const fastestDecode = Math.max(...engines.map(({ target }) => target.decodeTokensPerSecond));
  const decodeMs = (request.maxTokens / fastestDecode) * MS_PER_SECOND;
  return idlePrefillTimeMs(request.promptTokens, engines) + decodeMs;
}

/** The engines preferred for prompts with this first segment; none for unsegmented prompts. */
function affinityTargets(
  prefixes: readonly PromptPrefix[],
  engines: readonly HostedTarget[],
): readonly string[] {
  const [firstPrefix] = prefixes;
  if (firstPrefix === undefined || prefixes.length < 2) {
    return [];
  }
  const names = engines.map(({ target }) => target.name);
  return rankByRendezvous(firstPrefix.prefix, names).slice(0, AFFINITY_TARGETS);
}
