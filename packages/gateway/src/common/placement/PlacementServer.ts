/**
 * Answers the placement requests of other nodes as the coordinator of a cell. An entry node repeats
 * its request until it has the decision, so a copy gets the same answer. A prompt whose entry node
 * no longer repeats the request leaves the queue.
 */
import { type Clock, DisposableOwner, runInBackground } from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser, type Transport } from '@tanagerdyke/mesh';
import { LRUCache } from 'lru-cache';
import type { EngineProfile } from '../Messages.js';
import type { EngineScheduler } from './EngineScheduler.js';
import { AccountState } from './EngineSelection.js';
import type { ActiveRequestTable } from './ActiveRequestTable.js';
import {
  CANCEL_METHOD,
  decodeRequest,
  encodeDecision,
  parseCancellation,
  parsePlacementRequest,
  PLACE_METHOD,
  PLACED_METHOD,
  type WireCancellation,
  type WirePlacementAnswer,
  type WirePlacementRequest,
} from './PlacementCodec.js';

/** A waiting prompt whose request was not repeated for this long is withdrawn. */
const REPEAT_TIMEOUT_MS = 300;
/** Decisions are kept this long for copies of their request. */
const DECISION_TTL_MS = 2_000;
const MAX_DECISIONS = 2_000;

const parseRequest = notificationParser(PLACE_METHOD, parsePlacementRequest);
const parseCancel = notificationParser(CANCEL_METHOD, parseCancellation);

export interface PlacementServerOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly scheduler: EngineScheduler;
  readonly activeRequests: ActiveRequestTable;
  /** Profile of the engines of a service; `undefined` if this node has no record of it. */
  readonly findProfile: (service: string) => EngineProfile | undefined;
}

/** A request that is not decided yet. */
interface OpenRequest {
  readonly withdrawn: AbortController;
  repeatedAt: number;
}

/** Decides the requests of other nodes and sends them the decisions. */
export class PlacementServer extends DisposableOwner {
  private readonly _open = new Map<string, OpenRequest>();
  private readonly _decisions: LRUCache<string, WirePlacementAnswer>;

  constructor(private readonly _options: PlacementServerOptions) {
    super();
    const { clock, transport } = _options;
    this._decisions = new LRUCache({
      max: MAX_DECISIONS,
      ttl: DECISION_TTL_MS,
      perf: { now: () => clock.now() },
    });
    this.register(
      transport.onDatagram((payload) => {
        this._receive(payload);
      }),
    );
  }

  private _receive(payload: string): void {
    const request = parseRequest(payload);
    if (request !== undefined) {
      runInBackground('placement.request', () => this._handleRequest(request));
      return;
    }
    const cancellation = parseCancel(payload);
    if (cancellation !== undefined) {
      this._cancel(cancellation);
    }
  }

  private async _handleRequest(wire: WirePlacementRequest): Promise<void> {
    const { clock, findProfile, scheduler } = this._options;
    const key = keyOf(wire);
    const decided = this._decisions.get(key);
    const open = this._open.get(key);
    if (decided !== undefined) {
      this._send(wire, decided);
      return;
    }
    if (open !== undefined) {
      open.repeatedAt = clock.now();
      this._send(wire, { id: wire.id, state: 'waiting' });
      return;
    }
    const profile = findProfile(wire.service);
    if (profile === undefined) {
      return;
    }
    const opened = { withdrawn: new AbortController(), repeatedAt: clock.now() };
    this._open.set(key, opened);
    runInBackground('placement.withdrawal', () => this._withdrawUnrepeated(opened));
    const now = clock.now();
    const { signal } = opened.withdrawn;
    const prompt = decodeRequest(wire, profile, now);
    const decision = await scheduler
      .decide(prompt, now + wire.waitMs, signal, AccountState.Complete)
      .finally(() => this._open.delete(key));
    const isWithdrawn = opened.withdrawn.signal.aborted;
    opened.withdrawn.abort();
    if (!isWithdrawn) {
      const answer = encodeDecision(wire.id, decision);
      this._decisions.set(key, answer);
      this._send(wire, answer);
    }
  }

  private async _withdrawUnrepeated(open: OpenRequest): Promise<void> {
    const { clock } = this._options;
    const { signal } = open.withdrawn;
    while (!signal.aborted) {
      const remainingMs = open.repeatedAt + REPEAT_TIMEOUT_MS - clock.now();
      if (remainingMs <= 0) {
        open.withdrawn.abort();
      } else {
        await clock.sleep(remainingMs, signal);
      }
    }
  }

  private _cancel(cancellation: WireCancellation): void {
    const key = keyOf(cancellation);
    this._open.get(key)?.withdrawn.abort();
    if (this._decisions.get(key)?.state === 'placed') {
      this._options.activeRequests.remove(cancellation.node, cancellation.id);
    }
  }

  private _send({ from }: WirePlacementRequest, answer: WirePlacementAnswer): void {
    this._options.transport.sendDatagram(from, encodeNotification(PLACED_METHOD, answer));
  }
}

function keyOf({ id, node }: WireCancellation): string {
  return `${node} ${id}`;
}
