/**
 * Factories of the components that implement the guarantees of the system. A proof run replaces one
 * of them by a naive implementation, to show that the proof detects its failures.
 */
import {
  AtMostOnceCaller,
  type AtMostOnceCallerOptions,
  type AtMostOnceCall,
} from '@tanagerdyke/claims';
import { ConfigurationFollower, type FollowerOptions } from '@tanagerdyke/configuration';
import type { ServiceAnswer } from '@tanagerdyke/contracts';
import type { ServiceError } from '@tanagerdyke/kernel';
import {
  CompletionService,
  type CompletionOptions,
  type CompletionServer,
  type DirectoryOptions,
  EngineReconciler,
  type ReconcilerOptions,
  TargetDirectory,
} from '@tanagerdyke/serving';
import type { Result } from 'true-myth';

/** Calls a plain service at most once per idempotency key. */
export interface AtMostOnceClient {
  call(call: AtMostOnceCall): Promise<Result<ServiceAnswer, ServiceError>>;
}

/** The factory of each replaceable component. */
export interface MechanismFactories {
  readonly createAtMostOnceClient: (options: AtMostOnceCallerOptions) => AtMostOnceClient;
  readonly createFollower: (options: FollowerOptions) => ConfigurationFollower;
  readonly createReconciler: (options: ReconcilerOptions) => EngineReconciler;
  readonly createDirectory: (options: DirectoryOptions) => TargetDirectory;
  readonly createCompletions: (options: CompletionOptions) => CompletionServer;
}

/** The factories that the daemon uses. */
export const DEFAULT_MECHANISMS: MechanismFactories = {
  createAtMostOnceClient: (options) => new AtMostOnceCaller(options),
  createFollower: (options) => new ConfigurationFollower(options),
  createReconciler: (options) => new EngineReconciler(options),
  createDirectory: (options) => new TargetDirectory(options),
  createCompletions: (options) => new CompletionService(options),
};
