/**
 * What the gateway knows of its configuration, its targets and the requests of callers, after an
 * adapter has decoded them. Durations are milliseconds, lengths and memory are tokens.
 */

/** What may be repeated of a request. */
export enum CallKind {
  Idempotent = 'idempotent',
  NonIdempotent = 'non-idempotent',
  /** An event stream; repeatable only where its route is resumable. */
  Stream = 'stream',
}

/** A part of a route's traffic. */
export interface RouteShare {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of a host and path prefix go, and how. */
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time to the whole answer, or to the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Longest pause between two events of a stream. */
  readonly pauseTargetMs: number;
  /** Targets that one attempt of a caller may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no caller's key. */
  readonly isOpen: boolean;
  readonly isResumable: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
}

/** How fast the engines of a service work. */
export interface EngineProfile {
  /** Requests that an engine generates for at once. */
  readonly slots: number;
  readonly memoryTokens: number;
  /** Time of one token step, before its sequences. */
  readonly stepMs: number;
  /** Time that each sequence adds to a step. */
  readonly sequenceMs: number;
  /** Time that each thousand tokens of context add to a step. */
  readonly contextThousandMs: number;
  readonly prefillTokensPerMs: number;
  /** Prefill time for each million pairs of a token and an earlier one. */
  readonly pairsMillionMs: number;
  /** Prefill tokens of one step. */
  readonly chunkTokens: number;
  /** Token steps of one pass, while any sequence generates. */
  readonly stride: number;
}

/** A group of targets that run the same program. */
export interface TargetService {
  readonly name: string;
  /** Connections that one target takes from all callers together. */
  readonly maxConnections: number;
  /** Present when the targets are model engines. */
  readonly engine: EngineProfile | undefined;
}

/** What callers may send. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer with its keys. */
export interface CallerWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
}

/** The whole configuration of the gateway. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly TargetService[];
  readonly workspaces: readonly CallerWorkspace[];
  readonly limits: RequestLimits;
}

/** What a target says of itself. */
export interface TargetEntry {
  /** Names one life of a target. */
  readonly id: string;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Start of this life, in milliseconds since the Unix epoch. */
  readonly bornAt: number | undefined;
}

/** Name and value of each header by turns, as they came. */
export type RawHeaders = readonly string[];

/** What a caller said of its request. */
export interface CallerRequest {
  readonly attemptId: string | undefined;
  readonly host: string;
  /** Time that the caller waits from now on. */
  readonly waitsMs: number | undefined;
  readonly key: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The caller has the events up to this one. */
  readonly lastEventId: string | undefined;
}

/** What a target's answer says beside its body. */
export interface TargetAnswer {
  readonly status: number;
  readonly attemptId: string | undefined;
  /** Whether the target states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the target states that another target has its address now. */
  readonly isMisdirected: boolean;
  /** `IP:port` of the target at fault, where another one than the sender is. */
  readonly failedAddress: string | undefined;
}

/** What the gateway adds to a request that it forwards. */
export interface ForwardingMarks {
  readonly targetId: string;
  readonly waitsMs: number;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly enginePriority: number | undefined;
  /** Other engines that read parts of the prompt, with the reservations that they read into. */
  readonly readers: readonly PromptReader[];
}

/** An engine that reads a part of a prompt. */
export interface PromptReader {
  /** `IP:port`. */
  readonly address: string;
  /** The reservation that holds the part's memory. */
  readonly reservation: string | undefined;
}

/** Where a caller asks for addresses from. */
export interface AddressQuestion {
  readonly region: string;
  readonly availabilityZone: string;
}
