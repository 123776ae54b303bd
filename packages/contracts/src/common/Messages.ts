/**
 * The messages exchanged with platforms, engines, plain services and callers. Durations are in
 * milliseconds, lengths in tokens, and memory in tokens of KV cache.
 */

/** One record of the platform log. */
export interface LogRecord {
  readonly offset: number;
  readonly payload: string;
}

/** A page of records, with the offsets of the range that the log retains. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset of the first retained record. */
  readonly first: number;
  /** Offset after the last record. */
  readonly tail: number;
}

/** The status of a host in the host list of the platform. */
export enum HostStatus {
  Live = 'live',
  Leaving = 'leaving',
}

/** One entry of the platform's host list. */
export interface HostState {
  readonly name: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly status: HostStatus;
}

/** Name and address of a target. `address` is `http://IP:port`. */
export interface TargetAddress {
  readonly name: string;
  readonly address: string;
}

/** A part of a prompt; segments with the same digest have the same text. */
export interface PromptSegment {
  readonly digest: string;
  readonly tokens: number;
  /** Absent when the engine can identify the segment by its digest. */
  readonly text?: string;
}

/** The priority classes of engines, the most urgent one first. */
export enum EnginePriority {
  Interactive = 0,
  Normal = 1,
  Batch = 2,
}

/** A request to an engine to generate or resume a completion. */
export interface EngineRequest {
  /** Set by the entry node before the request is sent; used to cancel and free it. */
  readonly id: string;
  readonly node: string;
  /** Start of the node's process, in milliseconds of wall time; a restart increases it. */
  readonly incarnation: number;
  readonly version: string;
  readonly prompt: readonly PromptSegment[];
  readonly maxTokens: number;
  /** Position of the first token to deliver; earlier tokens have already been delivered. */
  readonly fromPosition: number;
  readonly priority: EnginePriority;
  /** Id of the held memory for this stream, if it was reserved beforehand. */
  readonly hold?: string;
  /** Addresses of the other members of a gang; empty for a single engine. */
  readonly gang: readonly string[];
  /** Time after which the engine frees the stream by itself. */
  readonly expiresInMs: number;
}

/** Consecutive tokens of a stream. */
export interface EngineFrame {
  /** Id of the request that this frame belongs to. */
  readonly id: string;
  /** Position of the first token of this frame. */
  readonly position: number;
  readonly tokens: readonly string[];
  readonly isLast: boolean;
  /** Digest of all tokens from position 0; on the last frame only. */
  readonly digest?: string;
}

/** The purpose of memory held on an engine. */
export enum HeldKind {
  Stream = 'stream',
  Reservation = 'reservation',
  Export = 'export',
  Import = 'import',
  Pin = 'pin',
  GangShare = 'gang-share',
}

/** Memory held on an engine. */
export interface HeldItem {
  readonly id: string;
  readonly kind: HeldKind;
  readonly node: string;
  /** Start of the node's process, in milliseconds of wall time; a restart increases it. */
  readonly incarnation: number;
  readonly tokens: number;
  /** Remaining time until the engine frees the item by itself. */
  readonly expiresInMs: number;
}

/** The load report of an engine, which may be out of date. */
export interface LoadReport {
  /** Identifies the process of the engine; changes when it restarts. */
  readonly incarnation: string;
  readonly running: number;
  readonly queued: number;
  readonly queuedPrefillTokens: number;
  readonly memoryTokens: number;
  readonly memoryUsedTokens: number;
  readonly versions: readonly string[];
  readonly leaving: boolean;
}

/** The kinds of changes to a prefix cache. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
}

/** A change to a prefix cache. Sequence numbers are consecutive; a gap means lost events. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  readonly prefix: string;
}

/** The kinds of orders that an engine executes. */
export enum OrderKind {
  LoadVersion = 'load-version',
  UnloadVersion = 'unload-version',
  SetRole = 'set-role',
}

/** The prompt lengths that a target is used for. */
export enum TargetRole {
  General = 'general',
  Short = 'short',
  Long = 'long',
}

/** An order to change the versions or the role of an engine. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly version?: string;
  readonly role?: TargetRole;
  /** Fencing number: the offset of the lease record under which the order is sent. */
  readonly fencing: number;
}

/** A call to a plain service. */
export interface ServiceCall {
  /** Identifies this attempt; another attempt of the same call has another id. */
  readonly id: string;
  readonly path: string;
  /** The idempotency key, scoped by workspace in at-most-once calls; absent if none was sent. */
  readonly key?: string;
  readonly body: string;
}

/** The complete answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly body: string;
}

/** Classes of requests by prompt length; a gang request exceeds the memory of any one engine. */
export enum LengthClass {
  Short = 'short',
  Medium = 'medium',
  Long = 'long',
  Gang = 'gang',
}

/** An entry address that a caller may use. */
export interface EntryAddress {
  readonly node: string;
  readonly address: string;
  readonly availabilityZone: string;
}

/** The answer to `GET /v1/addresses`, valid for `timeToLiveMs`. */
export interface AddressAnswer {
  readonly addresses: readonly EntryAddress[];
  readonly timeToLiveMs: number;
}
