/**
 * The interfaces to the systems that tanagerdyke uses but is not part of. They are narrow, so that
 * supporting another type of engine or platform takes one new adapter. All methods return a
 * `Result`; a rejected promise is a bug in the adapter.
 */
import type { Registry, ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';
import type {
  EngineFrame,
  EngineOrder,
  EngineRequest,
  HeldItem,
  HostState,
  LoadReport,
  CacheEvent,
  LogPage,
  ServiceAnswer,
  ServiceCall,
  TargetAddress,
} from '../Messages.js';

/** The platform's append-only log. */
export interface PlatformLog {
  /**
   * Appends one record and returns its offset. Errors: `PlatformUnavailable` (not appended),
   * `AppendUnknown` (may have been appended), `RateLimited` (not appended), `TooLarge`.
   */
  append(stream: string, payload: string): Promise<Result<number, ServiceError>>;
  /**
   * Reads records from `fromOffset` on, waiting up to `waitMs` for the first one. Errors:
   * `PlatformUnavailable`, and `RecordsExpired` if `fromOffset` precedes the retained records.
   */
  read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMs: number,
  ): Promise<Result<LogPage, ServiceError>>;
}

/** The platform's list of live and leaving hosts. Only a hint, because it may be out of date. */
export interface HostList {
  list(): Promise<Result<readonly HostState[], ServiceError>>;
}

/** The rate-limited store from which engines load weights. */
export interface WeightStore {
  /** Maximum number of loads per minute across the whole fleet. */
  loadsPerMinute(): Promise<Result<number, ServiceError>>;
}

/** The adapter of one model engine. */
export interface Engine {
  /**
   * Starts or resumes a stream. Frames arrive in order with consecutive positions; the last one
   * is marked. If the engine fails, the stream ends early with an error.
   */
  generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncIterable<Result<EngineFrame, ServiceError>>;
  /** The latest load report, which may be out of date. */
  load(): Promise<Result<LoadReport, ServiceError>>;
  /** Cache events from `sequence` on; gaps in the sequence numbers mean lost events. */
  cacheEvents(sequence: number): Promise<Result<readonly CacheEvent[], ServiceError>>;
  /** All items that the engine holds: streams, imports, exports, pins and gang shares. */
  held(): Promise<Result<readonly HeldItem[], ServiceError>>;
  /** Reserves memory under the id of `item`, which the requester sets; idempotent. */
  hold(item: HeldItem): Promise<Result<void, ServiceError>>;
  /** Cancels and frees items by identifier; idempotent, ignores unknown identifiers. */
  free(identifiers: readonly string[]): Promise<Result<void, ServiceError>>;
  /** Exports the KV cache of a held item under a new identifier. */
  exportCache(identifier: string, exportItem: HeldItem): Promise<Result<void, ServiceError>>;
  /** Imports an exported KV cache from another engine under a new identifier. */
  importCache(
    source: string,
    exportId: string,
    item: HeldItem,
  ): Promise<Result<void, ServiceError>>;
  /** Sends an order. Engines that check fencing refuse an old number with `FencingRefused`. */
  order(order: EngineOrder): Promise<Result<void, ServiceError>>;
}

/** The adapter of one plain service. */
export interface Service {
  /** Calls once, without retries. `notRun` of `TargetFailed` tells whether a byte was sent. */
  call(call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, ServiceError>>;
  /**
   * Looks up the outcome of an idempotency key, if the service supports that; `undefined` means
   * that the service has never received the key.
   */
  lookUp(key: string): Promise<Result<ServiceAnswer | undefined, ServiceError>>;
}

/** Factories of target adapters, by adapter name. */
export interface TargetAdapters {
  readonly engines: Registry<(target: TargetAddress) => Engine>;
  readonly services: Registry<(target: TargetAddress) => Service>;
}
