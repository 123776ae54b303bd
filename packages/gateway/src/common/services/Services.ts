/** Interfaces that an adapter to a platform implements for the gateway. */
import type { ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';
import type {
  AddressQuery,
  CallerRequest,
  ForwardingConfiguration,
  GatewayHeaders,
  RawHeaders,
  TargetAnswer,
  TargetEntry,
} from '../Messages.js';

/** One change of a keyed topic; a record without a value removes its key. */
export interface KeyedRecord {
  readonly key: string;
  readonly offset: number;
  readonly value: Buffer | undefined;
}

/** The newest record of every key, without the removed keys. */
export interface KeyedSnapshot {
  /** Epoch of the log; `undefined` when the platform does not state it. */
  readonly epoch: number | undefined;
  readonly records: readonly KeyedRecord[];
  /** End offset: the snapshot reflects every record before it, and possibly later ones. */
  readonly end: number;
}

/** Consecutive records, in the order of their offsets. */
export interface KeyedPage {
  /** Epoch of the log; `undefined` when the platform does not state it. */
  readonly epoch: number | undefined;
  readonly records: readonly KeyedRecord[];
  /** Offset to continue reading from. */
  readonly end: number;
  /** End of the log when it was read; after `end` if more records follow. */
  readonly logEnd: number;
}

/** One of several calls for the same, of which the first answer counts. */
export interface CallAttempt {
  /** Whether no connection that is open may be used, as all of them may have gone silent. */
  readonly needsNewConnection: boolean;
  /** Ends the call and closes its connection. */
  readonly signal: AbortSignal;
  /**
   * To be called when an answer other than a rejection begins, and for each further part of it, with
   * the bytes of it that have arrived.
   */
  readonly onProgress: (receivedBytes: number) => void;
}

/**
 * A topic of the platform's log whose records replace earlier ones of the same key. `timeoutMs` is
 * the time until an answer begins; one that has begun is received as long as it goes on arriving.
 * Errors: `PlatformUnavailable`, `RecordsExpired`.
 */
export interface KeyedTopic {
  readonly name: string;
  /** Reads the newest record of every key. */
  readSnapshot(
    timeoutMs: number,
    attempt?: CallAttempt,
  ): Promise<Result<KeyedSnapshot, ServiceError>>;
  /** Reads records from offset `from` on, waiting up to `waitMs` when there are none yet. */
  read(
    from: number,
    waitMs: number,
    timeoutMs: number,
    attempt?: CallAttempt,
  ): Promise<Result<KeyedPage, ServiceError>>;
}

/** Registry of the nodes' peer addresses on the platform. */
export interface NodeRegistry {
  announce(
    name: string,
    peerAddress: string,
    timeoutMs: number,
    attempt?: CallAttempt,
  ): Promise<Result<void, ServiceError>>;
  /** Peer addresses of all nodes that have ever announced themselves, including stopped ones. */
  list(timeoutMs: number, attempt?: CallAttempt): Promise<Result<readonly string[], ServiceError>>;
}

/** A quarantine as it is stored. */
export interface StoredQuarantine {
  /** A part of prompts, or the fingerprint of a request. */
  readonly cause: string;
  /** End of the quarantine, in ms since the Unix epoch. */
  readonly expiresAt: number;
}

/** Registry of quarantines on the platform, which outlasts a restart of all nodes. */
export interface QuarantineRegistry {
  store(quarantine: StoredQuarantine, timeoutMs: number): Promise<Result<void, ServiceError>>;
  remove(cause: string, timeoutMs: number): Promise<Result<void, ServiceError>>;
  /** All that were stored and not removed, including expired ones. */
  list(
    timeoutMs: number,
    attempt?: CallAttempt,
  ): Promise<Result<readonly StoredQuarantine[], ServiceError>>;
}

/** Decodes the records of the platform's topics. */
export interface RecordDecoder {
  configuration(value: Buffer): Result<ForwardingConfiguration, ServiceError>;
  target(id: string, value: Buffer): Result<TargetEntry, ServiceError>;
  /** Whether records of the configuration topic with this key hold the configuration. */
  isConfiguration(key: string): boolean;
  /**
   * The availability zone that a record of the configuration topic with this key evacuates;
   * `undefined` if it does not evacuate one.
   */
  evacuatedZone(key: string): string | undefined;
}

/** The platform's HTTP conventions: header names, paths, and formats of requests and answers. */
export interface Dialect {
  /** Parses the headers of a caller's request. */
  parseCallerRequest(headers: RawHeaders): CallerRequest;
  /** Returns the caller's end-to-end headers together with those that the gateway sets. */
  buildForwardedHeaders(headers: RawHeaders, gatewayHeaders: GatewayHeaders): string[];
  /** Parses the status and headers of a target's answer. */
  parseTargetAnswer(status: number, headers: RawHeaders): TargetAnswer;
  readonly readyPath: string;
  readonly addressPath: string;
  /** Parses the query of a request for addresses. */
  parseAddressQuery(query: URLSearchParams): AddressQuery;
  /** Returns the body of the response to a request for addresses. */
  formatAddresses(addresses: readonly string[], timeToLiveMs: number): string;
}

/** A request to reserve memory on an engine. */
export interface EngineReservation {
  readonly id: string;
  readonly tokens: number;
  /** The engine frees the reservation after this time unless it is renewed. */
  readonly timeToLiveMs: number;
}

/** What an engine states of a reservation, as of some hundred ms ago. */
export interface ReservationUse {
  /** Whether a request uses the reserved memory. */
  readonly isUsed: boolean;
  /** Requests that wait at the engine, this one or others. */
  readonly waiting: number;
}

/** Reserves memory on engines, under ids that the gateway chooses. */
export interface EngineReservations {
  /**
   * Creates or renews a reservation. Errors: `Overloaded` when the engine lacks capacity,
   * `TargetFailed`, with `retryAfterMs` if the engine asks for a pause.
   */
  reserve(
    target: TargetEntry,
    reservation: EngineReservation,
    timeoutMs: number,
  ): Promise<Result<void, ServiceError>>;
  /** Releases a reservation; succeeds also when it does not exist. */
  release(target: TargetEntry, id: string, timeoutMs: number): Promise<Result<void, ServiceError>>;
  /** Reads what an engine states of a reservation. Errors: `TargetFailed`. */
  inspect(
    target: TargetEntry,
    id: string,
    timeoutMs: number,
  ): Promise<Result<ReservationUse, ServiceError>>;
}
