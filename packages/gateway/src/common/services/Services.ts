/** The contracts of the gateway: what an adapter to a platform provides. */
import type { ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';
import type {
  AddressQuestion,
  CallerRequest,
  ForwardingConfiguration,
  ForwardingMarks,
  RawHeaders,
  TargetAnswer,
  TargetEntry,
} from '../Messages.js';

/** One change of a keyed topic; without a value the key is gone. */
export interface KeyedRecord {
  readonly key: string;
  readonly offset: number;
  readonly value: Buffer | undefined;
}

/** The newest record of every key. */
export interface KeyedSnapshot {
  readonly records: readonly KeyedRecord[];
  /** Offset after the last record that it may reflect. */
  readonly end: number;
}

/** Records in order. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset to read on from. */
  readonly end: number;
}

/** A keyed topic of the platform's log. Errors: `PlatformUnavailable`, `RecordsExpired`. */
export interface KeyedTopic {
  readonly name: string;
  newest(timeoutMs: number): Promise<Result<KeyedSnapshot, ServiceError>>;
  /** Waits up to `waitMs` for a record from offset `from` on. */
  read(from: number, waitMs: number, timeoutMs: number): Promise<Result<KeyedPage, ServiceError>>;
}

/** Where nodes leave their peer addresses for each other. */
export interface NodeRegistry {
  announce(
    name: string,
    peerAddress: string,
    timeoutMs: number,
  ): Promise<Result<void, ServiceError>>;
  /** Peer addresses of all nodes that ever announced themselves. */
  list(timeoutMs: number): Promise<Result<readonly string[], ServiceError>>;
}

/** Decodes what the platform's topics hold. */
export interface RecordDecoder {
  configuration(value: Buffer): Result<ForwardingConfiguration, ServiceError>;
  target(id: string, value: Buffer): Result<TargetEntry, ServiceError>;
  /** Whether a record of the configuration topic holds the configuration. */
  isConfiguration(key: string): boolean;
}

/** Names and formats of requests and answers. */
export interface Dialect {
  readCaller(headers: RawHeaders): CallerRequest;
  /** The caller's end-to-end headers with the gateway's own set. */
  markForwarded(headers: RawHeaders, marks: ForwardingMarks): string[];
  readAnswer(status: number, headers: RawHeaders): TargetAnswer;
  readonly readyPath: string;
  readonly addressPath: string;
  readAddressQuestion(query: URLSearchParams): AddressQuestion;
  writeAddresses(addresses: readonly string[], timeToLiveMs: number): string;
}

/** Memory to set aside on an engine. */
export interface EngineReservation {
  readonly id: string;
  readonly tokens: number;
  /** The engine frees it by itself after this time. */
  readonly holdMs: number;
}

/** Memory that is set aside on engines under an id of the caller's choice. */
export interface EngineReservations {
  /** Reserves or renews. Errors: `Overloaded` when the engine has no room, `TargetFailed`. */
  reserve(
    target: TargetEntry,
    reservation: EngineReservation,
    timeoutMs: number,
  ): Promise<Result<void, ServiceError>>;
  /** Ends a reservation; also ok when there is none. */
  release(target: TargetEntry, id: string, timeoutMs: number): Promise<Result<void, ServiceError>>;
}
