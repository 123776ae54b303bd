/**
 * The gateway's own types for its configuration, its targets and the requests of callers. Adapters
 * decode the platform's formats into them. Durations are in milliseconds, lengths and memory in
 * tokens.
 */

/** Whether a request may be executed more than once. */
export enum CallKind {
  Idempotent = 'idempotent',
  NonIdempotent = 'non-idempotent',
  /** An event stream; repeatable only if its route is resumable. */
  Stream = 'stream',
}

/** The part of a route's traffic that goes to one service. */
export interface RouteShare {
  readonly service: string;
  /** Relative to the sum of the weights of the route's shares. */
  readonly weight: number;
}

/** Where requests for a host and path prefix are forwarded to, and how. */
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a request may take, even if the caller's deadline is later. */
  readonly timeoutMs: number;
  /** Target for the time to the complete answer, or to the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Target for the longest pause between two events of a stream. */
  readonly pauseTargetMs: number;
  /** How many targets one attempt of a caller may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without a caller's key. */
  readonly allowsAnonymous: boolean;
  /** Whether a stream may be continued by another target after its last event. */
  readonly isResumable: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Regions whose targets may get the requests; `undefined` when all may. */
  readonly allowedRegions: readonly string[] | undefined;
  readonly shares: readonly RouteShare[];
}

/** Capacity and speed of the engines of a service. */
export interface EngineProfile {
  /** Requests that an engine generates tokens for concurrently. */
  readonly slots: number;
  readonly memoryTokens: number;
  /** Base time of one token step, without the time that sequences and context add. */
  readonly stepMs: number;
  /** Time that each sequence adds to a step. */
  readonly msPerSequence: number;
  /** Time that each thousand tokens of context add to a step. */
  readonly msPerThousandContextTokens: number;
  readonly prefillTokensPerMs: number;
  /** Prefill time for each million pairs of a token and an earlier one. */
  readonly msPerMillionPairs: number;
  /** Prefill tokens processed per step. */
  readonly chunkTokens: number;
  /** Token steps per pass, while at least one sequence is generating. */
  readonly stride: number;
}

/** What a target tolerates while it is cold, that is slow after its start. */
export interface WarmUp {
  /** Time after its start for which a target is cold. */
  readonly durationMs: number;
  /** Requests per second that a cold target accepts from all nodes together. */
  readonly requestsPerSecond: number;
}

/** A group of targets that run the same program. */
export interface TargetService {
  readonly name: string;
  /** Connections that one target accepts from all its clients together. */
  readonly maxConnections: number;
  /** `undefined` when the targets are never cold. */
  readonly warmUp: WarmUp | undefined;
  /** Present when the targets are model engines. */
  readonly engine: EngineProfile | undefined;
}

/** Limits on the requests of callers. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time within which the headers of a request must arrive. */
  readonly headerTimeoutMs: number;
  /** Time after which a connection without requests is closed. */
  readonly idleTimeoutMs: number;
}

/** The workspace of a customer, with the keys of its callers. */
export interface CallerWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** `undefined` when none is configured. */
  readonly priority: number | undefined;
  /** Regions whose targets may get its requests; `undefined` when all may. */
  readonly allowedRegions: readonly string[] | undefined;
}

/** The whole configuration of the gateway. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly TargetService[];
  /**
   * Whether callers need the key of a workspace. They do as well when no workspace has a key, or when
   * there is none any more.
   */
  readonly requiresKeys: boolean;
  readonly workspaces: readonly CallerWorkspace[];
  readonly limits: RequestLimits;
}

/** A target as described by its record in the targets' topic. */
export interface TargetEntry {
  /** Identifies one instance of a target, from its start to its end. */
  readonly id: string;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Start time of the instance, in ms since the Unix epoch; `undefined` when it is not stated. */
  readonly startedAt: number | undefined;
  /** How much longer the target stays cold, when the record was written; 0 when it is warm. */
  readonly coldMs: number;
}

/** Alternating names and values of headers, in the order received. */
export type RawHeaders = readonly string[];

/** What the headers of a caller's request state. */
export interface CallerRequest {
  readonly attemptId: string | undefined;
  readonly host: string;
  /** Time left until the caller's deadline; `undefined` when the caller states none. */
  readonly remainingMs: number | undefined;
  readonly key: string | undefined;
  /** 0 when the caller does not state the length of its prompt. */
  readonly promptTokens: number;
  /** 0 when the caller does not state the length of the answer. */
  readonly outputTokens: number;
  /** The caller's own estimate of the length of the answer; `undefined` when it states none. */
  readonly expectedOutputTokens: number | undefined;
  /** Id of the last event that the caller has received; `undefined` when it has received none. */
  readonly lastEventId: string | undefined;
  /** Ids of the parts of the prompt that other prompts may have, too. */
  readonly sharedParts: readonly string[];
  /** Id of the part that no other prompt has; `undefined` for a request without parts. */
  readonly ownPart: string | undefined;
}

/** What the status and headers of a target's answer state. */
export interface TargetAnswer {
  readonly status: number;
  readonly attemptId: string | undefined;
  /** Whether the target states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the target states that its address now belongs to another target. */
  readonly isMisdirected: boolean;
  /** Whether the target states that it is leaving and takes no new requests. */
  readonly isLeaving: boolean;
  /**
   * Time for which the target asks this node to send it nothing, with a refusal; `undefined` if it
   * asks for no pause.
   */
  readonly pauseMs: number | undefined;
  /** `IP:port` of the target that failed, if it is not the one that sent the answer. */
  readonly failedAddress: string | undefined;
  /**
   * Requests per second that the target accepts from all nodes together, until an answer states
   * otherwise; `undefined` when it states no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /** How much longer the target stays cold; `undefined` when it does not state that. */
  readonly coldMs: number | undefined;
}

/** Values of the headers that the gateway adds to a forwarded request. */
export interface GatewayHeaders {
  readonly targetId: string;
  readonly remainingMs: number;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly enginePriority: number | undefined;
  /**
   * Engines that prefill parts of the prompt for the target, with their reservations. Under a
   * reservation, the target itself is listed too.
   */
  readonly readers: readonly PromptReader[];
}

/** An engine that prefills a part of a prompt. */
export interface PromptReader {
  /** `IP:port`. */
  readonly address: string;
  /** Id of the reservation that holds the memory of the part; `undefined` without one. */
  readonly reservation: string | undefined;
}

/** The location of a caller that requests addresses. */
export interface AddressQuery {
  readonly region: string;
  readonly availabilityZone: string;
}
