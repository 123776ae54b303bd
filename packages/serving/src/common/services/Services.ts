/** The interfaces of the serving layer. */
import type { Registry, ServiceError } from '@tanagerdyke/kernel';
import type {
  EngineFrame,
  EnginePriority,
  LengthClass,
  PromptSegment,
} from '@tanagerdyke/contracts';
import type { HostedTarget, Route, Workspace } from '@tanagerdyke/configuration';
import type { Result } from 'true-myth';
import type { ReserveRequest, ReserveResponse } from '../Messages.js';

/** An admitted completion request. */
export interface CompletionRequest {
  readonly id: string;
  readonly workspace: Workspace;
  readonly route: Route;
  readonly prompt: readonly PromptSegment[];
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** In milliseconds on the monotonic clock of this node. */
  readonly deadline: number;
}

/** Frames of a completion in order, ending with a frame marked as last or with an error. */
export type CompletionFrames = AsyncIterable<Result<EngineFrame, ServiceError>>;

/** Serves the completions of an entry node. */
export interface CompletionServer {
  complete(request: CompletionRequest, signal: AbortSignal): CompletionFrames;
}

/** Requests and releases reservations on behalf of an entry node. */
export interface Reservations {
  /** Prefill backlog of a target in the last hint, less the time since that hint. */
  backlogOf(target: string, priority: EnginePriority): number;
  /** Whether an engine was recently reported not to have a version loaded. */
  lacksVersion(target: string, version: string): boolean;
  reserve(
    hostedTarget: HostedTarget,
    request: ReserveRequest,
  ): Promise<Result<ReserveResponse, ServiceError>>;
  /** Notifies the owner that the prefill of a reservation ended. */
  markStarted(hostedTarget: HostedTarget, id: string): Promise<void>;
  /** Releases a reservation. */
  release(hostedTarget: HostedTarget, id: string): Promise<void>;
}

/** An engine that may serve a request, with the inputs of the policy. */
export interface Candidate {
  readonly hostedTarget: HostedTarget;
  /**
   * Prefill backlog ahead of a request of this priority: the one in the last hint, less the time
   * since that hint.
   */
  readonly backlogMs: number;
  /** Whether it is preferred for prompts with the first segment of this one. */
  readonly isAffine: boolean;
  /** Whether the length split assigns it to long prompts. */
  readonly isForLong: boolean;
}

/** The properties of a request that a policy uses. */
export interface PlacementQuery {
  readonly lengthClass: LengthClass;
  readonly promptTokens: number;
  /** Prefill time on an idle engine with the highest prefill speed. */
  readonly idlePrefillMs: number;
  readonly workspace: string;
}

/** Orders the candidates; the placer tries them in this order. */
export interface PlacementPolicy {
  rank(query: PlacementQuery, candidates: readonly Candidate[]): readonly Candidate[];
}

/** Inputs of a policy that do not depend on the request. */
export interface PolicyEnvironment {
  readonly random: () => number;
  readonly availabilityZone: string;
}

/** Policy factories by the policy name in a route. */
export type PolicyRegistry = Registry<(environment: PolicyEnvironment) => PlacementPolicy>;
