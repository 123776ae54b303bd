/** The service interfaces of the mesh layer: communication between nodes, and membership. */
import type { Disposable, Event, ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';
import type { Member } from '../Messages.js';

/** Handles requests of one method. `params` comes from the peer as sent and must be validated. */
export type RequestHandler = (params: unknown) => Promise<Result<unknown, ServiceError>>;

export type DatagramHandler = (payload: string) => void;

/** What the links of a node carry, in both directions and for all peers. */
export interface LinkTraffic {
  /** Bytes received so far. */
  readonly receivedBytes: number;
  /** Bytes that wait in the process to be sent. */
  readonly queuedBytes: number;
}

/** How often the peer may handle a request. */
export enum Delivery {
  AtMostOnce = 'at-most-once',
  /** It is sent again over a new link when its link goes silent. */
  AtLeastOnce = 'at-least-once',
}

/** Requests over persistent links, and datagrams that may be lost. Addresses are `IP:port`. */
export interface Transport extends Disposable {
  readonly address: string;
  readonly traffic: LinkTraffic;
  /**
   * Calls a peer, at most once unless stated otherwise. Errors: those of its handler, and
   * `LinkFailed` (the peer may have acted).
   */
  request(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
    delivery?: Delivery,
  ): Promise<Result<unknown, ServiceError>>;
  handle(method: string, handler: RequestHandler): Disposable;
  sendDatagram(address: string, payload: string): void;
  onDatagram(handler: DatagramHandler): Disposable;
}

/** The members of the system according to this node. */
export interface Membership extends Disposable {
  readonly self: Member;
  /** Members that are not dead and have not left, this node included. */
  readonly live: readonly Member[];
  /** Live members that accept new requests: ready and not draining. */
  readonly serving: readonly Member[];
  find(name: string): Member | undefined;
  /** When this node last detected a pause of its own, in monotonic time; -Infinity if never. */
  readonly resumedAt: number;
  /** When this node last received a probe message, in monotonic time; -Infinity if never. */
  readonly lastContactAt: number;
  /** Fires when a member appears or its status, incarnation or state changes. */
  readonly onChange: Event<Member>;
  /** Changes the state of this node and disseminates it. */
  publish(state: Partial<Member['state']>): void;
  /** Notifies peers that this node leaves, so that it isn't suspected. */
  leave(): Promise<void>;
}
